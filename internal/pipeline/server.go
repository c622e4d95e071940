// Package pipeline runs the requests that a caller has pipelined on one HTTP/1.1
// connection concurrently, and returns their responses in order.
//
// net/http's server remains the server of the connection. A Conn between it and the
// socket hands it the bytes of one request at a time. While a handler runs, the Conn
// reads on and starts the handlers of the requests behind (run-ahead requests), whose
// responses are recorded. When net/http's server reaches such a request, Server
// writes the recorded response. The Conn never changes, drops or reorders bytes.
// Whatever is unusual is left to net/http, and ends the reading ahead.
package pipeline

import (
	"context"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxAhead and maxHeldBytes bound the run-ahead requests and the held-back bytes of
	// a connection, as callers decide how much they pipeline and the smallest hosts
	// have 144 MB.
	maxAhead     = 8
	maxHeldBytes = 64 << 10
	// maxWaitingBytes bounds the recorded responses of a connection that wait for those
	// in front of them. A caller that reads slowly would otherwise fill the memory.
	maxWaitingBytes = 1 << 20
	// aheadPerMB and memoryShare are the run-ahead requests for each megabyte of the host's memory, and the
	// part of it that all connections may hold.
	aheadPerMB, memoryShare = 2, 16
)

var (
	startedTotal = metrics.NewCounter(`papayatide_run_ahead_requests_total`)
	savedSeconds = metrics.NewFloatCounter(`papayatide_run_ahead_saved_seconds_total`)
	// waiting is the number of recorded responses that wait for those in front of them.
	waiting atomic.Int64
	_       = metrics.NewGauge(`papayatide_run_ahead_responses_waiting`, func() float64 { return float64(waiting.Load()) })
)

// Server is the http.Handler of an http.Server. Requests run ahead only if the
// http.Server serves a listener from Listen and uses ConnContext.
type Server struct {
	// Handler serves the requests, also those run ahead.
	Handler http.Handler
	// Idempotent reports whether a request may be run ahead, as running it more than
	// once does no harm. It must be fast.
	Idempotent func(*http.Request) bool
	// Stopping reports whether the process is shutting down. Nothing is run ahead then.
	Stopping func() bool
	// MaxAhead bounds the run-ahead requests of all connections, MaxBytes what they hold: bytes of callers
	// and recorded responses. 0 is no bound.
	MaxAhead, MaxBytes int64
	// undelivered counts the run-ahead requests whose response is not written yet.
	undelivered atomic.Int64
	// bytes are those held, as far as they count against MaxBytes.
	bytes atomic.Int64
}

// SetMemory derives the bounds for all connections from the host's memory.
func (s *Server) SetMemory(memoryMB int) {
	s.MaxAhead, s.MaxBytes = int64(memoryMB)*aheadPerMB, int64(memoryMB)<<20/memoryShare
}

// take counts n bytes. It returns false if there is no room for them.
func (s *Server) take(n int) bool {
	if s.bytes.Add(int64(n)) > s.MaxBytes && s.MaxBytes > 0 {
		s.bytes.Add(int64(-n))
		return false
	}
	return true
}

func (s *Server) give(n int) { s.bytes.Add(int64(-n)) }

// hasRoomAhead reports whether one more request may be run ahead.
func (s *Server) hasRoomAhead() bool { return s.MaxAhead == 0 || s.undelivered.Load() < s.MaxAhead }

type connKey struct{}

// Listen returns a listener whose connections are read ahead.
func (s *Server) Listen(ln net.Listener) net.Listener { return listener{ln, s} }

type listener struct {
	net.Listener
	s *Server
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, s: l.s}, nil
}

// ConnContext stores the connection in the context of its requests. It fits
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// NetConn returns the connection that c wraps, or c itself if it is no Conn.
func NetConn(c net.Conn) net.Conn {
	if pc, ok := c.(*Conn); ok {
		return pc.Conn
	}
	return c
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Drain waits until the responses to all run-ahead requests are written, or ctx ends.
// It must precede http.Server.Shutdown, after which the server closes a connection
// without regard to the requests behind the one being served.
func (s *Server) Drain(ctx context.Context) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for s.undelivered.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		s.Handler.ServeHTTP(w, r)
		return
	}
	rec := c.enter(r)
	defer c.exit()
	if rec != nil {
		c.deliver(w, rec)
		return
	}
	live := &liveWriter{ResponseWriter: w, c: c}
	defer live.finish()
	s.Handler.ServeHTTP(live, r)
}

// deliver waits for a run-ahead request that net/http's server has reached, and writes
// its response.
func (c *Conn) deliver(w http.ResponseWriter, rec *record) {
	defer c.delivered(rec)
	reached := time.Now()
	close(rec.reached)
	// The handler ends on its own if the caller disconnects, as its context ends.
	<-rec.done
	saved := reached.Sub(rec.started)
	if rec.finished.Before(reached) {
		saved = rec.finished.Sub(rec.started)
	}
	savedSeconds.Add(saved.Seconds())
	h := w.Header()
	for name, values := range rec.header {
		h[name] = values
	}
	c.holdBackClose(h, c.s.Stopping())
	w.WriteHeader(rec.status)
	_, _ = w.Write(rec.body)
}

// delivered records that a response has been written, which makes room for others.
func (c *Conn) delivered(rec *record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(rec)
	c.runAhead()
}

// liveWriter is the ResponseWriter of a request that was not run ahead.
type liveWriter struct {
	http.ResponseWriter
	c           *Conn
	wroteHeader bool
}

// Unwrap lets http.ResponseController find the underlying writer.
func (w *liveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *liveWriter) WriteHeader(status int) {
	if status >= http.StatusOK && status <= maxStatus { // net/http panics on invalid ones
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *liveWriter) Write(b []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(b)
}

func (w *liveWriter) beforeHeader() {
	if !w.wroteHeader {
		w.wroteHeader = true
		w.c.holdBackClose(w.Header(), false)
	}
}

// finish is deferred to the handler's end. After a panic net/http closes the
// connection; if requests behind have been run ahead, the caller gets 502 instead, so
// that their responses can follow.
func (w *liveWriter) finish() {
	if w.wroteHeader || w.c.aheadCount() == 0 {
		if !w.wroteHeader {
			w.beforeHeader()
		}
		return
	}
	if v := recover(); v != nil {
		logPanic(v)
		clear(w.Header())
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.beforeHeader()
}

// logPanic logs a handler's panic as net/http does.
func logPanic(v any) {
	if v != http.ErrAbortHandler {
		log.Printf("http: panic serving: %v\n%s", v, debug.Stack())
	}
}
