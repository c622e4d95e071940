package ingress

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bodybudget"
)

// Guards against bodies that take memory without a bound: each counts while it is read, a large one is not
// read to its end, and what was taken is given back.
func TestBodiesAreReadWithinTheBudget(t *testing.T) {
	const largest = 100 << 10
	for name, c := range map[string]struct {
		size   int
		length int64
		inUse  int64
		want   error
	}{
		"whole":             {size: 50 << 10, length: 50 << 10},
		"chunked":           {size: 50 << 10, length: -1},
		"empty and chunked": {length: -1},
		"too large":         {size: largest + 1, length: largest + 1, want: ErrBodyTooLarge},
		"chunked too large": {size: largest + 1, length: -1, want: ErrBodyTooLarge},
		"no room":           {size: 50 << 10, length: 50 << 10, inUse: 180 << 10, want: ErrNoRoomForBody},
		"no room, chunked":  {size: 50 << 10, length: -1, inUse: 150 << 10, want: ErrNoRoomForBody},
		"cut":               {size: 10, length: 11, want: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			budget := bodybudget.New(200<<10 + 128<<10)
			budget.Reserve().Grow(c.inUse + 128<<10)
			if c.inUse == 0 {
				budget = bodybudget.New(512 << 10)
			}
			before, reservation, body := budget.InUse(), budget.Reserve(), strings.Repeat("x", c.size)
			data, err := ReadBody(strings.NewReader(body), c.length, largest, reservation)
			if !errors.Is(err, c.want) || err == nil && string(data) != body {
				t.Errorf("%d bytes, %v; want %v", len(data), err, c.want)
			}
			reservation.Release()
			if budget.InUse() != before {
				t.Errorf("%d bytes in use, want %d", budget.InUse(), before)
			}
		})
	}
}

// Guards against calls whose bodies fill the memory of a process although its handlers read them whole.
func TestBodiesOfCallsAreBounded(t *testing.T) {
	limits := BodyLimits{Largest: 10 << 10, Timeout: time.Second, Budget: bodybudget.New(20 << 10)}
	var readErr error
	srv := httptest.NewServer(limits.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, readErr = io.ReadAll(r.Body) })))
	defer srv.Close()
	for size, want := range map[int]error{0: nil, 5 << 10: nil, 8 << 10: ErrNoRoomForBody} {
		resp, err := http.Post(srv.URL, "", io.MultiReader(strings.NewReader(strings.Repeat("x", size))))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if !errors.Is(readErr, want) {
			t.Errorf("body of %d bytes: %v, want %v", size, readErr, want)
		}
	}
	resp, err := http.Post(srv.URL, "", strings.NewReader(strings.Repeat("x", 11<<10)))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || limits.Budget.InUse() != 0 {
		t.Errorf("got %d, %d bytes in use", resp.StatusCode, limits.Budget.InUse())
	}
}
