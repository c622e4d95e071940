package rangeowner

import (
	"net"
	"net/http"
	"strings"
)

// BrokenResponse is a response that violates HTTP, or is cut: Text, in which ID stands for the ID of the
// request, and then the end of the connection, by a reset if Reset is set.
type BrokenResponse struct {
	Text  string
	Reset bool
}

// SetBroken has every request that the upstream runs get the response, until it is set to nil.
func (u *Upstream) SetBroken(r *BrokenResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.broken = r
}

// hijack takes the connection over from net/http.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn
}

// serveBroken sends the broken response, if one is set.
func (u *Upstream) serveBroken(w http.ResponseWriter, id string) bool {
	u.mu.Lock()
	r := u.broken
	u.mu.Unlock()
	if r == nil {
		return false
	}
	conn := hijack(w)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(strings.Replace(r.Text, "ID", id, 1)))
	if tc, ok := conn.(*net.TCPConn); ok && r.Reset {
		_ = tc.SetLinger(0)
	}
	return true
}
