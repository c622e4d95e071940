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

// Guards against calls whose bodies fill the memory of a process although its handlers read them whole.
func TestBodiesOfCallsAreBounded(t *testing.T) {
	limits := BodyLimits{Largest: 10 << 10, Timeout: time.Second, Budget: bodybudget.New(20 << 10)}
	var readErr error
	srv := httptest.NewServer(limits.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, readErr = io.ReadAll(r.Body) })))
	defer srv.Close()
	for size, want := range map[int]error{0: nil, 5 << 10: nil, 8 << 10: bodybudget.ErrNoRoom} {
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
