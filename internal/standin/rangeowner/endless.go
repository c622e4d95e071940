package rangeowner

import (
	"net/http"
	"strings"
)

// EndlessResponse is a response that ends only when the other side closes the connection: First, and then
// Repeated again and again.
type EndlessResponse struct{ First, Repeated string }

// endlessBlockBytes is about how much is written at a time.
const endlessBlockBytes = 64 << 10

// SetEndless has every request for which the upstream is the right one get the response, until it is set to nil.
func (u *Upstream) SetEndless(r *EndlessResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endless = r
}

// serveEndless sends the endless response, if one is set. It returns once the connection is closed.
func (u *Upstream) serveEndless(w http.ResponseWriter) bool {
	u.mu.Lock()
	r := u.endless
	u.mu.Unlock()
	if r == nil {
		return false
	}
	conn := hijack(w)
	defer func() { _ = conn.Close() }()
	block := []byte(strings.Repeat(r.Repeated, 1+endlessBlockBytes/len(r.Repeated)))
	_, err := conn.Write([]byte(r.First))
	for err == nil {
		_, err = conn.Write(block)
	}
	return true
}
