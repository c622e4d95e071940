package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/upstream"
	"github.com/papayatide/papayatide/internal/view"
)

const (
	// maxBufferedBodyBytes is the size of the largest request body that is buffered, so
	// that the request can be retried. Larger bodies are streamed and sent once.
	maxBufferedBodyBytes = 256 << 10
	// streamFingerprintBytes is how much of a streamed body goes into the fingerprint.
	// The body's length does not: a caller may state it in one attempt and send chunks
	// in the next.
	streamFingerprintBytes = 64 << 10
	// firstChunkedBytes is what a body of unknown length reserves first. Each further step
	// doubles the reservation.
	firstChunkedBytes = 16 << 10
	// maxDiscardedBytes is how much of an unread body is read and discarded to keep the caller's
	// connection. Reading more costs more than a new connection.
	maxDiscardedBytes = 64 << 10
)

// bodyBudgets bounds the memory that request bodies use.
type bodyBudgets struct {
	// host is nil if the host's memory is not known. Nothing is limited then.
	host      *bodybudget.Budget
	upstreams *bodybudget.Upstreams
	need      atomic.Pointer[bodyNeed]
	// streamed counts the bodies that were streamed because the host's budget had no room.
	streamed atomic.Int64
	streams  streamGate
}

// bodyNeed is whether bodies are limited at upstreams, how many may be streamed at a time while callers stall,
// and what that was derived from.
type bodyNeed struct {
	state            *desired.State
	upstreams, hosts int
	limited          bool
	maxStreaming     int
}

// SetMemory derives the budgets for buffered bodies of requests and responses from the host's memory.
// Call it after SetHelperClient and before the first request; without it bodies are not limited.
func (d *Dispatcher) SetMemory(memoryMB int) {
	d.client.Responses = bodybudget.NewResponses(memoryMB, upstream.MaxResponseBytes)
	if d.detours.client != nil {
		d.detours.client.Responses = d.client.Responses
	}
	d.bodies.host, d.bodies.upstreams = bodybudget.New(bodybudget.HostLimit(memoryMB)), bodybudget.NewUpstreams()
}

// BodyStats describes the bodies of the requests in flight, as far as they are limited.
type BodyStats struct {
	// HostBytes are reserved of the host's budget of HostLimit bytes. UpstreamBytes are in flight
	// at upstreams.
	HostBytes, HostLimit, UpstreamBytes int64
	// Streamed counts the bodies that were streamed because the host's budget had no room.
	Streamed int64
	// ResponseBytes are reserved for responses.
	ResponseBytes int64
}

// BodyStats returns the present figures.
func (d *Dispatcher) BodyStats() BodyStats {
	b := &d.bodies
	if b.host == nil {
		return BodyStats{}
	}
	return BodyStats{HostBytes: b.host.InUse(), HostLimit: b.host.Limit(), UpstreamBytes: b.upstreams.InUse(), Streamed: b.streamed.Load(),
		ResponseBytes: d.client.Responses.InUse()}
}

// bodyNeed derives whether the bytes of bodies are limited at upstreams: operators expect large ones, and
// those of all requests that this host may have in flight can exceed its budget. It is derived anew only
// when the desired state or the number of hosts or upstreams changes.
func (d *Dispatcher) bodyNeed(v *view.View) *bodyNeed {
	upstreams, hosts := len(v.Upstreams.ByID), int(d.hostCount.Load())
	need := d.bodies.need.Load()
	if need == nil || need.state != v.Desired || need.upstreams != upstreams || need.hosts != hosts {
		inFlight, largest := d.maxInFlight(v), v.Desired.Limits.BodyBytes
		need = &bodyNeed{state: v.Desired, upstreams: upstreams, hosts: hosts, maxStreaming: d.maxStreaming(v, hosts),
			limited: v.Desired.HasLargeBodies() && bodybudget.Needed(largest, inFlight, d.bodies.host.Limit())}
		d.bodies.need.Store(need)
	}
	return need
}

// maxStreaming returns how many bodies this host may stream at a time while callers stall.
func (d *Dispatcher) maxStreaming(v *view.View, hosts int) int {
	slots := 0
	for _, u := range v.Upstreams.ByID {
		slots += u.Slots
	}
	return max(slots/max(hosts, 1)/streamingShare, 1)
}

// maxInFlight returns how many requests this host may have in flight: those that the limits of
// all upstreams admit, and a queue of equal length.
func (d *Dispatcher) maxInFlight(v *view.View) int {
	n := 0.0
	for _, u := range v.Upstreams.ByID {
		if service := v.Desired.Services[u.Service]; service != nil {
			n += 2 * d.admissionLimitRange(u, service).MaxLimit
		}
	}
	return int(n)
}

// readBody buffers a body of up to maxBufferedBodyBytes and streams a larger one. It returns a
// refusal if the body cannot be read or the host's budget has no room for it.
func (d *Dispatcher) readBody(req *request, r *http.Request) *Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if d.bodies.host != nil {
		return d.readLimitedBody(req, r)
	}
	if req.readUnlimitedBody(r) != nil {
		return refusalWithStatus(CauseBadRequest, http.StatusBadRequest)
	}
	return nil
}

// readUnlimitedBody reads a body without regard to the budget.
func (req *request) readUnlimitedBody(r *http.Request) error {
	outbound := req.outbound
	if r.ContentLength > maxBufferedBodyBytes {
		req.fingerprintBody = make([]byte, streamFingerprintBytes)
		if _, err := io.ReadFull(r.Body, req.fingerprintBody); err != nil {
			return err
		}
		outbound.Stream, outbound.Length = io.MultiReader(bytes.NewReader(req.fingerprintBody), r.Body), r.ContentLength
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes))
	if err != nil {
		return err
	}
	req.fingerprintBody = head
	var next [1]byte
	n, err := r.Body.Read(next[:])
	switch {
	case n > 0:
		req.fingerprintBody = head[:streamFingerprintBytes]
		outbound.Stream, outbound.Length = io.MultiReader(bytes.NewReader(head), bytes.NewReader(next[:n]), r.Body), -1
	case err == nil || errors.Is(err, io.EOF):
		outbound.Body = head
	default:
		return err
	}
	return nil
}

// limitedBody is a request's body and what it holds of the budgets.
type limitedBody struct {
	reader    *callerBody
	hostBytes *bodybudget.Reservation
	need      *bodyNeed
	// largest is the desired state's largest body; 0 if bodies are not limited at upstreams.
	largest int64
	// streaming is set if the body counts as streamed.
	streaming bool
	// upstream is where upstreamBytes are counted; empty if none are.
	upstream      string
	upstreamBytes int64
	// fullUpstreams counts the upstreams that had no room for the body.
	fullUpstreams int
}

var errNoBodyRoom = errors.New("no room for the body")

// readLimitedBody reserves room for the body and reads it.
func (d *Dispatcher) readLimitedBody(req *request, r *http.Request) *Refusal {
	body := &limitedBody{reader: &callerBody{source: r.Body, conn: req.callerConn, left: r.ContentLength, deadline: req.deadline}, hostBytes: d.bodies.host.Reserve()}
	v := d.views.Load()
	if body.need = d.bodyNeed(v); body.need.limited {
		body.largest = v.Desired.Limits.BodyBytes
	}
	req.body = body
	var err error
	switch {
	case r.ContentLength < 0:
		err = d.readChunkedBody(req)
	case r.ContentLength > maxBufferedBodyBytes:
		if req.fingerprintBody, err = body.read(streamFingerprintBytes); err == nil {
			req.outbound.Stream, req.outbound.Length = io.MultiReader(bytes.NewReader(req.fingerprintBody), body.reader), r.ContentLength
		}
	default:
		req.outbound.Body, err = body.read(r.ContentLength)
		req.fingerprintBody = req.outbound.Body
	}
	if errors.Is(err, errNoBodyRoom) && r.ContentLength >= 0 && d.streamForRoom(req, nil, r.ContentLength) {
		err = nil
	}
	if err == nil && req.outbound.Stream != nil && !d.beginStream(body) {
		err = errNoBodyRoom
	}
	switch {
	case err == nil:
		body.reader.startStreaming()
		return nil
	case errors.Is(err, errNoBodyRoom):
		return req.refusal(CauseNoBodyRoom, req.retryAfterOverloaded())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRunRefusal(CauseTimeoutUnsent, withJitter(retryAfterTimeout))
	}
	return refusalWithStatus(CauseBadRequest, http.StatusBadRequest)
}

// read reserves n bytes and reads that many.
func (b *limitedBody) read(n int64) ([]byte, error) {
	if !b.hostBytes.Grow(n) {
		return nil, errNoBodyRoom
	}
	data := make([]byte, n)
	_, err := io.ReadFull(b.reader, data)
	return data, err
}

// readChunkedBody reads a body of unknown length, and reserves room for it in steps.
func (d *Dispatcher) readChunkedBody(req *request) error {
	body := req.body
	var head []byte
	for len(head) < maxBufferedBodyBytes {
		step := max(len(head), firstChunkedBytes)
		if !body.hostBytes.Grow(int64(step)) {
			if d.streamForRoom(req, head, -1) {
				return nil
			}
			return errNoBodyRoom
		}
		grown := make([]byte, len(head)+step)
		n, err := io.ReadFull(body.reader, grown[copy(grown, head):])
		head = grown[:len(head)+n]
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && body.reader.hasEnded() {
			req.outbound.Body, req.fingerprintBody = head, head
			return nil
		}
		if err != nil {
			return err
		}
	}
	req.fingerprintBody = head[:streamFingerprintBytes]
	req.outbound.Stream, req.outbound.Length = io.MultiReader(bytes.NewReader(head), body.reader), -1
	return nil
}

// beginStream counts the body as streamed unless it does already. It returns false if too many are.
func (d *Dispatcher) beginStream(body *limitedBody) bool {
	body.streaming = body.streaming || d.bodies.streams.begin(body.need.maxStreaming, time.Now())
	return body.streaming
}

// streamForRoom has the body streamed because the host's budget has no room for the rest of it; head
// is what has been read. It returns false if too many are, or if the fingerprint is needed before the
// request is sent, to see whether the request crashes its upstream, which takes as many bytes of the body.
func (d *Dispatcher) streamForRoom(req *request, head []byte, length int64) bool {
	reader := req.body.reader
	if !d.beginStream(req.body) {
		return false
	}
	if len(head) >= streamFingerprintBytes {
		req.fingerprintBody = head[:streamFingerprintBytes]
	} else if d.crashes.HasCrashes() {
		return false
	} else {
		reader.startDigest(head)
	}
	req.outbound.Body = nil
	req.outbound.Stream, req.outbound.Length = io.MultiReader(bytes.NewReader(head), reader), length
	d.bodies.streamed.Add(1)
	return true
}

// streamedFingerprint returns the fingerprint of a request whose body is streamed without keeping its
// beginning. Until the beginning has been read, it is one that no other request has: the fingerprint
// of less of the body could be that of another request.
func (req *request) streamedFingerprint(r crashes.Request) crashes.Fingerprint {
	body, final := req.body.reader.fingerprintBody()
	if !final {
		r.Body = []byte("unread body of " + req.outbound.ID)
		return r.Fingerprint()
	}
	r.Body = body
	req.cachedFingerprint = r.Fingerprint()
	return req.cachedFingerprint
}

// hasDigest reports whether the request's fingerprint is computed while its body is streamed.
func (req *request) hasDigest() bool { return req.body != nil && req.body.reader.digest != nil }

// maxFullUpstreams bounds how many upstreams are tried for room for a body, so that the work per
// request does not grow with their number.
const maxFullUpstreams = 3

// reserveAtUpstream counts the request's body at the upstream. If that has no room, it returns a
// refusal, or nil if another upstream is to be chosen.
func (d *Dispatcher) reserveAtUpstream(req *request, u *catalogue.Upstream) (ok bool, refusal *Refusal) {
	body := req.body
	if body == nil || body.largest == 0 {
		return true, nil
	}
	n := int64(len(req.outbound.Body))
	if req.outbound.Stream != nil {
		if n = req.outbound.Length; n < 0 {
			n = body.largest
		}
	}
	limit := bodybudget.UpstreamLimit(u.Slots, int(d.hostCount.Load()), body.largest)
	n = min(n, limit) // a body beyond the stated largest would otherwise never be sent
	if d.bodies.upstreams.Take(u.ID, n, limit) {
		body.upstream, body.upstreamBytes = u.ID, n
		return true, nil
	}
	body.fullUpstreams++
	if req.key >= 0 || req.attempts > 0 || body.fullUpstreams >= maxFullUpstreams {
		return false, req.bodyRefusal()
	}
	req.attempted = append(req.attempted, u.ID)
	return false, nil
}

// releaseAtUpstream ends the counting of the request's body at its upstream.
func (d *Dispatcher) releaseAtUpstream(req *request) {
	if body := req.body; body != nil && body.upstream != "" {
		d.bodies.upstreams.Give(body.upstream, body.upstreamBytes)
		body.upstream = ""
	}
}

// bodyRefusal returns the refusal of a request for whose body no upstream has room.
func (req *request) bodyRefusal() *Refusal {
	return req.refusal(CauseUpstreamBodies, req.retryAfterOverloaded())
}

// callerGoneCause returns why the request's context was canceled, if this host is not stopping.
func (req *request) callerGoneCause() Cause {
	if req.body != nil && req.body.reader.hasStalled() {
		return CauseCallerStalled
	}
	return CauseCallerDisconnected
}

// upstreamsFull reports whether upstreams had no room for the request's body.
func (req *request) upstreamsFull() bool { return req.body != nil && req.body.fullUpstreams > 0 }

// finishBody gives back what the request holds of the budgets. If a part of the body is unread,
// it sees to it that the rest does not delay the response: a rest of up to maxDiscardedBytes is
// read for discardTimeout at most, otherwise the caller's connection is closed.
func (d *Dispatcher) finishBody(req *request, h http.Header) {
	body := req.body
	if body == nil {
		return
	}
	body.hostBytes.Release()
	streamedTo := req.outbound.Stream != nil && (req.lastUpstream != "" || req.passedOn)
	ended, left := body.reader.finish()
	if body.streaming {
		now := time.Now()
		d.bodies.streams.end(body.reader.hasStalled() || !ended && !now.Before(req.deadline), now)
	}
	if !ended && (left < 0 || left > maxDiscardedBytes || streamedTo) {
		h.Set("Connection", "close")
	}
}
