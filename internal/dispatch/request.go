package dispatch

import (
	"context"
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

// request is one caller's request and the progress of forwarding it.
type request struct {
	outbound *upstream.Request
	route    *desired.Route
	// service is the one of the route's services that the splitter picked.
	service *desired.Service
	// highestPriority is set if no route to the service has a higher priority, that
	// is a lower Priority value. Such requests may use the reserve of the retry budget.
	highestPriority bool
	// callerConn is the caller's connection; nil if it is not known.
	callerConn net.Conn
	// class is the request's class if its service is competing (see desired.State.Competing), else
	// the zero value. urgency is nil unless the service is contended.
	class   desired.Class
	urgency *urgency
	// key is -1 for services that are not keyed.
	key int
	// fingerprintBody is the part of the body that goes into the fingerprint: all of
	// a buffered body, the first streamFingerprintBytes of a streamed one.
	fingerprintBody []byte
	// body is what the body holds of the budgets; nil if it is empty or the host's memory is not known.
	body     *limitedBody
	arrived  time.Time
	deadline time.Time
	// attempts counts the attempts of which the upstream may have received a part,
	// unsentAttempts those of which no byte left this host.
	attempts, unsentAttempts int
	// forwarded is set if another host passes the request on, which has made earlierAttempts.
	forwarded       bool
	earlierAttempts int
	// passedOn is set once an attempt was made through a helper.
	passedOn bool
	// direct is set once no helper could be used although open connections work.
	direct bool
	// mayHaveRun is set once an attempt ended without proof that it was not run.
	mayHaveRun bool
	// lastResponse is the last response of an upstream that ran the request. While
	// the request is retried it is a 5xx response.
	lastResponse *upstream.Result
	// results are those of its attempts, whose memory is released once the caller has the response.
	results []*upstream.Result
	// attempted lists the IDs of the upstreams attempted so far.
	attempted        []string
	lastUpstream     string
	lastErr          error
	lastFencingToken int64
	// ownerWait is the time spent waiting for views with a usable owner.
	ownerWait time.Duration
	// trial is set if the next attempt tests whether a request with a refused
	// fingerprint still crashes its upstream.
	trial bool
	// rejectedWithRoom is set if the last attempt was; see Dispatcher.rejectedWithRoom. repeatedAtOwner is
	// set once the request was sent to its owner again because of it.
	rejectedWithRoom, repeatedAtOwner bool
	// cachedFingerprint is empty until fingerprint is called.
	cachedFingerprint crashes.Fingerprint
}

// releaseResults gives back the memory of the responses.
func (req *request) releaseResults() {
	for _, res := range req.results {
		res.Release()
	}
}

// fingerprint identifies the request's content. It is computed on first use, as
// nearly all requests finish without it.
func (req *request) fingerprint() crashes.Fingerprint {
	if req.cachedFingerprint == "" {
		r := crashes.Request{Method: req.outbound.Method, Host: req.outbound.Host, URI: req.outbound.URI, Key: req.key, Body: req.fingerprintBody}
		if req.hasDigest() {
			return req.streamedFingerprint(r)
		}
		req.cachedFingerprint = r.Fingerprint()
	}
	return req.cachedFingerprint
}

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}

// WithCaller stores the caller's connection in the context of its requests. It fits
// http.Server.ConnContext.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerDisconnected reports whether the caller has closed its connection. A host that
// had no CPU for a second reads requests whose callers have disconnected meanwhile.
// net/http detects the closed connection on another goroutine, possibly only after the
// request was sent. Without this check upstreams work on requests without a caller.
func (req *request) callerDisconnected() bool {
	return req.callerConn != nil && peek.ConnState(req.callerConn) == peek.Closed
}

// parseRequest matches the route, sets the deadline and reads the body. It returns a
// refusal if the request cannot be served, together with the request if that is because of its body
// and the body counts against the budgets.
func (d *Dispatcher) parseRequest(r *http.Request, arrived time.Time) (*request, *Refusal) {
	state := d.views.Load().Desired
	if state == nil {
		return nil, notRunRefusal(CauseNoDesired, retryAfterNoDesired)
	}
	route := state.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, refusalWithStatus(CauseNoRoute, http.StatusNotFound)
	}
	req := &request{route: route, arrived: arrived, key: -1}
	req.callerConn, _ = r.Context().Value(callerConnKey{}).(net.Conn)
	req.deadline = arrived.Add(route.Timeout)
	if ms, err := strconv.Atoi(r.Header.Get(d.headers.TimeoutMs)); err == nil {
		if callerDeadline := arrived.Add(time.Duration(ms) * time.Millisecond); callerDeadline.Before(req.deadline) {
			req.deadline = callerDeadline
		}
	}
	req.deadline = d.shutdown.clampDeadline(req.deadline)
	req.service = state.Services[d.splitter.pick(state.Version, route)]
	req.highestPriority = route.Priority <= state.HighestPriority(req.service.Name)
	if state.Competing(req.service.Name) {
		req.class = route.ClassFor(req.service.Name)
		req.urgency = d.newUrgency(state, route, req.class, r.Header.Get(d.headers.TimeoutMs))
	}
	if req.service.Keyed {
		key, err := strconv.Atoi(r.Header.Get(d.headers.Key))
		if err != nil || key < 0 || key >= ownership.KeySpaceSize {
			return nil, refusalWithStatus(CauseBadKey, http.StatusBadRequest)
		}
		req.key = key
	}
	if !upstream.CanForward(r.RequestURI) {
		return nil, refusalWithStatus(CauseBadRequest, http.StatusBadRequest)
	}
	req.outbound = &upstream.Request{ID: r.Header.Get(d.headers.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: endToEndHeaders(r.Header)}
	refusal := d.readBody(req, r)
	if refusal != nil && req.body == nil {
		return nil, refusal
	}
	return req, refusal
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEndHeaders returns a copy of h with only the headers to forward.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
