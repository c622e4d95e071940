// Package view holds what this host believes about the fleet, as one
// immutable snapshot that traffic reads without locks.
package view

import (
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ownership"
)

// View is one snapshot. Its parts are nil or empty until first read.
type View struct {
	Desired   *desired.State
	Upstreams *catalogue.Snapshot
	// Tables are the ownership tables by service.
	Tables map[string]*ownership.Table
	// UpdatedAt is when the newest part was read.
	UpdatedAt time.Time
	// next is closed when a newer view is published.
	next chan struct{}
}

// Changed returns a channel that is closed once the view is out of date.
func (v *View) Changed() <-chan struct{} { return v.next }

// Owner returns the upstream that owns key of service and the fencing token
// of its grant, or nil if nobody known does.
func (v *View) Owner(service string, key int) (*catalogue.Upstream, int64) {
	t := v.Tables[service]
	if t == nil {
		return nil, 0
	}
	r := t.Find(key)
	return v.Upstreams.ByID[r.Owner], r.FencingToken
}

// Publisher publishes views. Publish is called by one goroutine only.
type Publisher struct {
	current atomic.Pointer[View]
}

// NewPublisher returns a holder of an empty view.
func NewPublisher() *Publisher {
	h := &Publisher{}
	h.current.Store(&View{Upstreams: catalogue.NewSnapshot(nil), Tables: map[string]*ownership.Table{}, next: make(chan struct{})})
	return h
}

// Load returns the present view.
func (h *Publisher) Load() *View { return h.current.Load() }

// Publish replaces the view by what change makes of a copy of it.
func (h *Publisher) Publish(change func(*View)) {
	old := h.current.Load()
	v := *old
	v.next = make(chan struct{})
	v.UpdatedAt = time.Now()
	change(&v)
	h.current.Store(&v)
	close(old.next)
}
