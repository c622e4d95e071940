package loopback

import (
	"net/http"
	"testing"

	"github.com/papayatide/papayatide/internal/standin/ports"
)

// Guards against a restart that fails with the address in use. A stand-in may be
// killed right after its start: if Close runs before Serve, http.Server does not
// have the listener yet and leaves it open until the server's goroutine runs.
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
