// Package progress bounds calls by their progress instead of their duration.
//
// A call with a fixed timeout never succeeds if its response takes longer than the timeout
// to transfer: each retry starts the transfer again, and several at once slow each other
// down. A call bounded by this package lasts as long as its response keeps arriving.
package progress

import (
	"context"
	"io"
	"net/http"
	"time"
)

// MaxDuration bounds a call whose response arrives in ever so small parts.
const MaxDuration = 15 * time.Second

// watch ends a context unless data arrives in time.
type watch struct {
	// outer is the watch of the surrounding call, or nil.
	outer *watch
	timer *time.Timer
	idle  time.Duration
}

// watchKey is the context key of the watch.
type watchKey struct{}

// WithTimeout returns a context that ends once no part of a response has arrived for idle,
// counted from now or from the last part. Reader reports the parts, also to the contexts
// of surrounding calls that WithTimeout returned.
func WithTimeout(ctx context.Context, idle time.Duration) (context.Context, context.CancelFunc) {
	outer, _ := ctx.Value(watchKey{}).(*watch)
	ctx, cancel := context.WithTimeout(ctx, MaxDuration)
	w := &watch{outer: outer, idle: idle, timer: time.AfterFunc(idle, cancel)}
	return context.WithValue(ctx, watchKey{}, w), func() {
		w.timer.Stop()
		cancel()
	}
}

// arrived restarts the time of the watch and of those around it.
func (w *watch) arrived() {
	for ; w != nil; w = w.outer {
		w.timer.Reset(w.idle)
	}
}

// reader reports the data that it reads to a watch.
type reader struct {
	io.Reader
	watch *watch
}

// Reader returns a reader of r that reports arriving data to ctx, if that is from WithTimeout.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	if w, ok := ctx.Value(watchKey{}).(*watch); ok {
		return &reader{r, w}
	}
	return r
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.arrived()
	}
	return n, err
}

// Transport is an http.RoundTripper whose response bodies report arriving data to the
// request's context.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{Reader(req.Context(), resp.Body), resp.Body}
	return resp, nil
}
