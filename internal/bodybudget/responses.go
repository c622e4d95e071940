package bodybudget

import "errors"

// upstreamFraction is the part of the budget for responses that those of one upstream may use: a
// quarter, so that an upstream whose responses do not end leaves room for those of others.
const upstreamFraction = 4

var (
	// ErrUpstreamShare means that the responses of one upstream use all of their share.
	ErrUpstreamShare = errors.New("responses of the upstream use their share of the memory")
	// ErrHostLimit means that the responses of all upstreams use the whole budget.
	ErrHostLimit = errors.New("responses use all of the memory for them")
)

// Responses bounds the bytes of response bodies that a host buffers, in all and of each upstream. It is
// safe for concurrent use. A nil *Responses bounds nothing.
type Responses struct {
	host          *Budget
	upstreams     *Upstreams
	upstreamLimit int64
}

// NewResponses returns the budget of a host with the given memory, for responses of up to largest bytes.
func NewResponses(memoryMB int, largest int64) *Responses {
	limit := HostLimit(memoryMB)
	return &Responses{host: New(limit), upstreams: NewUpstreams(), upstreamLimit: min(max(limit/upstreamFraction, largest), limit)}
}

// InUse returns the bytes that are reserved.
func (r *Responses) InUse() int64 {
	if r == nil {
		return 0
	}
	return r.host.InUse()
}

// Reserve returns an empty reservation for a response of the upstream id.
func (r *Responses) Reserve(id string) *ResponseReservation {
	if r == nil {
		return nil
	}
	return &ResponseReservation{responses: r, upstream: id, host: r.host.Reserve()}
}

// ResponseReservation holds the bytes that one response has reserved. It is not safe for concurrent
// use. A nil *ResponseReservation has room for everything.
type ResponseReservation struct {
	responses *Responses
	upstream  string
	host      *Reservation
}

// Grow reserves n more bytes, or nothing if it returns ErrUpstreamShare or ErrHostLimit.
func (r *ResponseReservation) Grow(n int64) error {
	if r == nil {
		return nil
	}
	if !r.responses.upstreams.Take(r.upstream, n, r.responses.upstreamLimit) {
		return ErrUpstreamShare
	}
	if !r.host.Grow(n) {
		r.responses.upstreams.Give(r.upstream, n)
		return ErrHostLimit
	}
	return nil
}

// Release gives back all bytes. Further calls have no effect.
func (r *ResponseReservation) Release() {
	if r == nil || r.host.bytes == 0 {
		return
	}
	r.responses.upstreams.Give(r.upstream, r.host.bytes)
	r.host.Release()
}
