package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

type connKey struct{}

// Track has srv report to the connections of a Listener what their requests do. Call it once, after srv's
// Handler and ConnContext are set and before it serves.
func Track(srv *http.Server) {
	next, connContext := srv.Handler, srv.ConnContext
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if ic := unwrap(c); ic != nil {
			ctx = context.WithValue(ctx, connKey{}, ic)
		}
		return ctx
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if ic := unwrap(c); ic != nil && state == http.StateIdle {
			ic.idle()
		}
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(next, w, r) })
}

// unwrap returns the Conn that c is or wraps; nil if there is none.
func unwrap(c net.Conn) *Conn {
	for {
		if ic, ok := c.(*Conn); ok {
			return ic
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

func serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		next.ServeHTTP(w, r)
		return
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	if hasBody {
		r.Body = &body{r.Body, c}
	}
	c.beginRequest(hasBody)
	defer c.endRequest()
	next.ServeHTTP(w, r)
}

// body reports the end of a request's body to its connection.
type body struct {
	io.ReadCloser
	c *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.c.bodyRead()
	}
	return n, err
}
