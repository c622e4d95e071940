package httpclient

import (
	"net"
	"net/http"
)

// New returns a client over t, whose connections are a Conn. It changes t's DialContext.
func New(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = Dial(dial)
	return &http.Client{Transport: t}
}
