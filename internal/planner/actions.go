package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Action is a call to make. Its result is handed back to the planner by the
// method named after it.
type Action interface{ action() }

// AcquireLease proves or seeks the planner's seat; see Planner.JoinDone.
type AcquireLease struct {
	TTL    time.Duration
	SentAt bootclock.Time
}

// ReleaseLease ends this host's membership of the group that holds the seat.
type ReleaseLease struct{}

// Retire asks the host that planned before this one to send no more grants;
// see Planner.RetireDone.
type Retire struct {
	Service string
	// Host is its name, Addr where its peers reach it.
	Host, Addr string
	// Term is the one that this host has recorded.
	Term int64
}

// Append records a table if the ownership stream ends at At; see
// Planner.AppendDone.
type Append struct {
	Table          *ownership.Table
	ExpectedOffset int64
	// Cause says why the table changed, for the log.
	Cause string
}

// Grant gives or renews keys; see Planner.GrantDone.
type Grant struct {
	Service, Addr string
	Range         ownership.Range
	TTL           time.Duration
	SentAt        bootclock.Time
	// ExistingConnOnly grants go over a connection that is open already, or not at
	// all; see the package comment.
	ExistingConnOnly bool
	// server is where it was counted when it was sent.
	server *serverState
}

// Release takes keys back; see Planner.ReleaseDone.
type Release struct {
	Service, Addr string
	Range         ownership.Range
}

func (*ReleaseLease) action() {}
func (*Retire) action()       {}
func (*AcquireLease) action() {}
func (*Append) action()       {}
func (*Grant) action()        {}
func (*Release) action()      {}
