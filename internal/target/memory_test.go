package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/rawserver"
)

// Guards against responses of targets that fill the host's memory while others read them slowly: all share a
// budget, and one without room has an unknown outcome.
func TestResponsesShareMemory(t *testing.T) {
	const size = 100 << 10
	s, err := rawserver.Start(func(*http.Request) rawserver.Response {
		return rawserver.Response{Bytes: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)), Keep: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	budget := bodybudget.New(2*size + size/2)
	c := NewClient()
	var held []*bodybudget.Reservation
	for i := range 4 {
		memory := budget.Reserve()
		req := &Request{Method: http.MethodPost, Service: "s", Key: "k", RequestID: "r", ResponseMemory: memory}
		resp, err := c.Forward(context.Background(), &manifest.Upstream{Name: "u", Addr: s.Addr(), Connections: 4}, req)
		if i < 2 {
			if err != nil || len(resp.Body) != size {
				t.Fatalf("response %d: %v", i, err)
			}
			held = append(held, memory)
			continue
		}
		if !errors.Is(err, ErrNoResponse) || !errors.Is(err, bodybudget.ErrNoRoom) {
			t.Errorf("response %d: %v, want no room", i, err)
		}
	}
	for _, m := range held {
		m.Release()
	}
	if n := budget.InUse(); n != 0 {
		t.Errorf("%d bytes in use", n)
	}
}
