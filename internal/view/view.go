// Package view holds this host's current state of the fleet: the desired state,
// the upstreams and the ownership tables. It is published as an immutable
// snapshot that request handling reads without locks.
package view

import (
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ownership"
)

// View is one immutable snapshot. Each part is nil or empty until its stream has
// been read.
type View struct {
	Desired   *desired.State
	Upstreams *catalogue.Snapshot
	// Tables holds the ownership tables by service name.
	Tables map[string]*ownership.Table
	// UpdatedAt is when the view was published.
	UpdatedAt time.Time
	// changed is closed when this view is replaced by a newer one.
	changed chan struct{}
}

// Changed returns a channel that is closed when a newer view is published.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Owner returns the upstream that owns the key of a service, and the fencing
// token of its grant. The upstream is nil if the key has no owner, or the owner
// is not a known upstream.
func (v *View) Owner(service string, key int) (*catalogue.Upstream, int64) {
	t := v.Tables[service]
	if t == nil {
		return nil, 0
	}
	r := t.Find(key)
	return v.Upstreams.ByID[r.Owner], r.FencingToken
}

// Publisher holds the current view. Load is safe for concurrent use; Publish must
// be called by one goroutine only.
type Publisher struct {
	current atomic.Pointer[View]
}

// NewPublisher returns a publisher that holds an empty view.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.current.Store(&View{Upstreams: catalogue.NewSnapshot(nil), Tables: map[string]*ownership.Table{}, changed: make(chan struct{})})
	return p
}

// Load returns the current view.
func (p *Publisher) Load() *View { return p.current.Load() }

// Publish applies change to a shallow copy of the current view and makes the copy
// the current view.
func (p *Publisher) Publish(change func(*View)) {
	old := p.current.Load()
	v := *old
	v.changed = make(chan struct{})
	v.UpdatedAt = time.Now()
	change(&v)
	p.current.Store(&v)
	close(old.changed)
}
