// Package bodybudget accounts for the bytes of request bodies that a host buffers, and for those
// of the requests that it has in flight at each upstream. It decides whether there is room; Read
// reads a body within it.
package bodybudget

import "sync"

// hostMemoryFraction is the part of a host's memory that buffered bodies may use: an eighth. The
// collector may keep as much garbage again, and the rest is for connections and the routing view.
const hostMemoryFraction = 8

// minLargestAtUpstream is the least number of largest bodies that a host may have in flight at an
// upstream: with one, a single upload would block all others from this host.
const minLargestAtUpstream = 2

// HostLimit returns the bytes of bodies that a host with the given memory may buffer.
func HostLimit(memoryMB int) int64 { return int64(memoryMB) << 20 / hostMemoryFraction }

// UpstreamLimit returns the bytes of requests that one of the given number of hosts may have in
// flight at an upstream: its slots and a queue of equal length, each with a body of largest bytes,
// divided among the hosts.
func UpstreamLimit(slots, hosts int, largest int64) int64 {
	bodies := max(2*float64(slots)/float64(max(hosts, 1)), minLargestAtUpstream)
	return int64(bodies * float64(largest))
}

// Needed reports whether inFlight bodies of largest bytes can exceed limit. If largest is zero,
// the size of bodies is not stated, and no budget can be derived from it.
func Needed(largest int64, inFlight int, limit int64) bool {
	return largest > 0 && float64(largest)*float64(inFlight) > float64(limit)
}

// Budget is a number of bytes that requests share. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	inUse int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// InUse returns the bytes that are reserved.
func (b *Budget) InUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse
}

// Reservation holds the bytes that one request has reserved. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow reserves n more bytes. It reserves nothing and returns false if there is no room for all.
func (r *Reservation) Grow(n int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.inUse {
		return false
	}
	b.inUse += n
	r.bytes += n
	return true
}

// Shrink gives back all bytes beyond n.
func (r *Reservation) Shrink(n int64) {
	if n >= r.bytes {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.inUse -= r.bytes - n
	r.bytes = n
}

// Release gives back all bytes. Further calls have no effect.
func (r *Reservation) Release() { r.Shrink(0) }

// Upstreams counts the bytes of the requests that a host has in flight at each upstream. It is safe
// for concurrent use.
type Upstreams struct {
	mu    sync.Mutex
	inUse map[string]int64
}

// NewUpstreams returns an Upstreams with nothing in flight.
func NewUpstreams() *Upstreams { return &Upstreams{inUse: map[string]int64{}} }

// Take counts n bytes at the upstream id. It counts nothing and returns false if that would exceed
// limit. The limit is passed each time because it follows the number of hosts.
func (u *Upstreams) Take(id string, n, limit int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n > limit-u.inUse[id] {
		return false
	}
	u.inUse[id] += n
	return true
}

// Give ends the counting of n bytes at the upstream id.
func (u *Upstreams) Give(id string, n int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inUse[id] -= n; u.inUse[id] <= 0 {
		delete(u.inUse, id)
	}
}

// InUse returns the bytes in flight at all upstreams.
func (u *Upstreams) InUse() (sum int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.inUse {
		sum += n
	}
	return sum
}
