package loopback

import (
	"net/http"
	"testing"

	"github.com/papayatide/papayatide/internal/standin/ports"
)

// A stand-in is killed right after its start and started again at the same
// address. A server that was not serving yet when it was closed would keep the
// address until its goroutine runs, and the restart would find it in use.
func TestCloseFreesAddressImmediately(t *testing.T) {
	addr, err := ports.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		srv, err := serve(addr, http.NotFoundHandler(), nil)
		if err != nil {
			t.Fatalf("start %d: %v", i, err)
		}
		if err := srv.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
