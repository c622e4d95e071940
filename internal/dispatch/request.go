package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/peek"
	"github.com/papayatide/papayatide/internal/upstream"
)

// keptBody is the largest request body kept in memory, so that the request
// can be sent to a second upstream; larger ones are streamed and sent once.
const maxBufferedBodyBytes = 256 << 10

// request is one caller's request on its way.
type request struct {
	outbound *upstream.Request
	route    *desired.Route
	// service is the part of the route's traffic it belongs to.
	service *desired.Service
	// urgent is set if no route to the service ranks higher.
	urgent bool
	// callerConn is the connection it came on; nil if that is not known.
	callerConn net.Conn
	// key is -1 for services that are not keyed.
	key int
	// fingerprintBody is what of the body tells its content apart: all of it, or the first
	// headBytes of one that is streamed.
	fingerprintBody []byte
	arrived         time.Time
	deadline        time.Time
	// Progress.
	attempts, unsentAttempts int
	// mayHaveRun is set once a send ended without word that it did not run.
	mayHaveRun bool
	// lastResponse is the last answer of an upstream that ran the request, a failure
	// if the request is still on its way.
	lastResponse     *upstream.Result
	attempted        []string
	lastUpstream     string
	lastErr          error
	lastFencingToken int64
	ownerWait        time.Duration
	// trial is set if the request's next send shows whether its content, which is
	// refused, still ends servers.
	trial bool
	// cachedFingerprint is the content once it was asked for.
	cachedFingerprint crashes.Fingerprint
}

// fingerprint identifies what the request asks. It is worked out when it is first
// needed, as nearly all requests end without.
func (q *request) fingerprint() crashes.Fingerprint {
	if q.cachedFingerprint == "" {
		q.cachedFingerprint = crashes.Request{Method: q.outbound.Method, Host: q.outbound.Host, URI: q.outbound.URI, Key: q.key, Body: q.fingerprintBody}.Fingerprint()
	}
	return q.cachedFingerprint
}

// callerConnKey is the context's key of the connection that a request came on.
type callerConnKey struct{}

// WithCaller notes the connection that requests come on. It fits the field
// ConnContext of http.Server.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerGone reports whether the caller has closed its connection. A host that
// had no processor for a second reads requests whose callers have left by then;
// the end of their connections is read on another goroutine, which may come
// second, and upstreams worked for nobody.
func (q *request) callerGone() bool {
	return q.callerConn != nil && peek.Conn(q.callerConn) == peek.Closed
}

// parseRequest finds the request's route and reads its body. It returns a refusal
// if the request cannot be served.
func (d *Dispatcher) parseRequest(r *http.Request, arrived time.Time) (*request, *Refusal) {
	st := d.views.Load().Desired
	if st == nil {
		return nil, notRunRefusal(CauseNoDesired, retryAfterNoDesired)
	}
	route := st.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, refusalWithStatus(CauseNoRoute, http.StatusNotFound)
	}
	q := &request{route: route, arrived: arrived, key: -1}
	q.callerConn, _ = r.Context().Value(callerConnKey{}).(net.Conn)
	q.deadline = arrived.Add(route.Timeout)
	if ms, err := strconv.Atoi(r.Header.Get(d.headers.TimeoutMs)); err == nil {
		if own := arrived.Add(time.Duration(ms) * time.Millisecond); own.Before(q.deadline) {
			q.deadline = own
		}
	}
	q.deadline = d.shutdown.clampDeadline(q.deadline)
	q.service = st.Services[d.splitter.pick(route)]
	q.urgent = route.Priority <= st.HighestPriority(q.service.Name)
	if q.service.Keyed {
		key, err := strconv.Atoi(r.Header.Get(d.headers.Key))
		if err != nil || key < 0 || key >= ownership.KeySpaceSize {
			return nil, refusalWithStatus(CauseBadKey, http.StatusBadRequest)
		}
		q.key = key
	}
	q.outbound = &upstream.Request{ID: r.Header.Get(d.headers.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: endToEndHeaders(r.Header)}
	if err := q.readBody(r); err != nil {
		return nil, refusalWithStatus(CauseBadRequest, http.StatusBadRequest)
	}
	return q, nil
}

// headBytes is how much of a streamed body tells it apart from others. Its
// length is no part of that: a caller tells it one time and not the next.
const maxFingerprintBodyBytes = 64 << 10

// readBody keeps a body of up to keptBody bytes and streams a larger one.
func (q *request) readBody(r *http.Request) error {
	up := q.outbound
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > maxBufferedBodyBytes {
		q.fingerprintBody = make([]byte, maxFingerprintBodyBytes)
		if _, err := io.ReadFull(r.Body, q.fingerprintBody); err != nil {
			return err
		}
		up.Stream, up.Length = io.MultiReader(bytes.NewReader(q.fingerprintBody), r.Body), r.ContentLength
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes))
	if err != nil {
		return err
	}
	q.fingerprintBody = head
	var next [1]byte
	n, err := r.Body.Read(next[:])
	switch {
	case n > 0:
		q.fingerprintBody = head[:maxFingerprintBodyBytes]
		up.Stream, up.Length = io.MultiReader(bytes.NewReader(head), bytes.NewReader(next[:n]), r.Body), -1
	case err == nil || errors.Is(err, io.EOF):
		up.Body = head
	default:
		return err
	}
	return nil
}

// hopByHop are the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEndHeaders returns the headers that are passed on.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, named := range h.Values("Connection") {
		for _, f := range splitList(named) {
			out.Del(f)
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
