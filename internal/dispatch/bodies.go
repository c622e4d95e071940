package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/desired"
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
	// discardTimeout bounds the wait for the rest of a body that is discarded: net/http reads it
	// before it sends the response.
	discardTimeout = time.Second
)

// bodyBudgets bounds the memory that request bodies use.
type bodyBudgets struct {
	// host is nil if the host's memory is not known. Nothing is limited then.
	host *bodybudget.Budget
	need atomic.Pointer[bodyNeed]
}

// bodyNeed is whether bodies are limited, and what that was derived from.
type bodyNeed struct {
	state            *desired.State
	upstreams, hosts int
	limited          bool
}

// SetMemory derives the budget for buffered bodies from the host's memory. Call it before the
// first request; without it bodies are not limited.
func (d *Dispatcher) SetMemory(memoryMB int) {
	d.bodies.host = bodybudget.New(bodybudget.HostLimit(memoryMB))
}

// BodyBytes returns how many bytes bodies have reserved of the host's budget, and its size.
func (d *Dispatcher) BodyBytes() (inUse, limit int64) {
	if d.bodies.host == nil {
		return 0, 0
	}
	return d.bodies.host.InUse(), d.bodies.host.Limit()
}

// limitsBodies reports whether the bodies of all requests that this host may have in flight can
// exceed its budget. It is derived anew only when the desired state or the number of hosts or
// upstreams changes, so that a request costs a few comparisons.
func (d *Dispatcher) limitsBodies(v *view.View) bool {
	if d.bodies.host == nil || v.Desired == nil || v.Desired.Limits.BodyBytes <= 0 {
		return false
	}
	upstreams, hosts := len(v.Upstreams.ByID), int(d.hostCount.Load())
	need := d.bodies.need.Load()
	if need == nil || need.state != v.Desired || need.upstreams != upstreams || need.hosts != hosts {
		need = &bodyNeed{state: v.Desired, upstreams: upstreams, hosts: hosts,
			limited: bodybudget.Needed(v.Desired.Limits.BodyBytes, d.maxInFlight(v), d.bodies.host.Limit())}
		d.bodies.need.Store(need)
	}
	return need.limited
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
	if d.limitsBodies(d.views.Load()) {
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
}

var errNoBodyRoom = errors.New("no room for the body")

// readLimitedBody reserves room for the body and reads it.
func (d *Dispatcher) readLimitedBody(req *request, r *http.Request) *Refusal {
	body := &limitedBody{reader: &callerBody{source: r.Body, conn: req.callerConn, left: r.ContentLength, deadline: req.deadline}, hostBytes: d.bodies.host.Reserve()}
	req.body = body
	var err error
	switch {
	case r.ContentLength < 0:
		err = req.readChunkedBody()
	case r.ContentLength > maxBufferedBodyBytes:
		if req.fingerprintBody, err = body.read(streamFingerprintBytes); err == nil {
			req.outbound.Stream, req.outbound.Length = io.MultiReader(bytes.NewReader(req.fingerprintBody), body.reader), r.ContentLength
		}
	default:
		req.outbound.Body, err = body.read(r.ContentLength)
		req.fingerprintBody = req.outbound.Body
	}
	switch {
	case err == nil:
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
func (req *request) readChunkedBody() error {
	body := req.body
	var head []byte
	for len(head) < maxBufferedBodyBytes {
		step := max(len(head), firstChunkedBytes)
		if !body.hostBytes.Grow(int64(step)) {
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

// finishBody gives back what the request holds of the budgets. If a part of the body is unread,
// it sees to it that the rest does not delay the response: a rest of up to maxDiscardedBytes is
// read for discardTimeout at most, otherwise the caller's connection is closed.
func (req *request) finishBody(h http.Header) {
	body := req.body
	if body == nil {
		return
	}
	body.hostBytes.Release()
	if ended, left := body.reader.finish(); !ended && (left < 0 || left > maxDiscardedBytes || req.outbound.Stream != nil) {
		h.Set("Connection", "close")
	}
}

var errBodyFinished = errors.New("read of a body after the end of its request")

// callerBody reads a request's body from its caller.
type callerBody struct {
	source io.Reader
	// conn is the caller's connection; nil if it is not known, and reads have no deadline then.
	conn net.Conn
	// deadline is that of the request.
	deadline time.Time
	// reading is held during a read of source.
	reading sync.Mutex

	mu sync.Mutex
	// left is the length of the part that is unread, or -1 if it is not known.
	left            int64
	ended, finished bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	if b.finished {
		b.mu.Unlock()
		return 0, errBodyFinished
	}
	b.setReadDeadline(b.deadline)
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left >= 0 {
		b.left -= int64(n)
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	if !b.finished {
		b.setReadDeadline(time.Time{}) // net/http reads on while the request is in flight
	}
	return n, err
}

func (b *callerBody) setReadDeadline(t time.Time) {
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(t) // fails only on a closed connection
	}
}

// hasEnded reports whether the whole body has been read.
func (b *callerBody) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// finish ends a read in progress and prevents further ones. It returns whether the whole body has
// been read, and the length of the rest, -1 if that is not known.
func (b *callerBody) finish() (ended bool, left int64) {
	b.mu.Lock()
	b.finished = true
	if !b.ended {
		b.setReadDeadline(time.Now())
	}
	b.mu.Unlock()
	if b.conn != nil {
		b.reading.Lock() // net/http would wait for the read before it writes the response
		defer b.reading.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && b.left >= 0 && b.left <= maxDiscardedBytes {
		b.setReadDeadline(time.Now().Add(discardTimeout))
	}
	return b.ended, b.left
}
