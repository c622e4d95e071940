package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Action is a call to make. The caller passes its result to the Planner method
// that is named after it.
type Action interface{ action() }

// AcquireLease requests or renews the planner lease; see
// Planner.AcquireLeaseDone.
type AcquireLease struct {
	TTL    time.Duration
	SentAt bootclock.Time
}

// LeaveElection ends this host's membership in the planner election, whether or
// not the host holds the lease. It is made during a planned shutdown, and by a
// host that is not a candidate while another host is the planner. It has no
// result to pass back.
type LeaveElection struct{}

// Retire asks a previous planner to send no more grants, which Planner.Retire
// handles on its host; see Planner.RetireDone. After a return of the log it also asks for the
// closing of that planner's last term.
type Retire struct {
	Service string
	// Host is the previous planner's name, Addr the address at which its peers reach it.
	Host, Addr string
	// Term is the number of the caller's term. The peer stops planning if its own
	// term of the service is an earlier one.
	Term int64
}

// Append appends a table to the ownership stream if the stream ends at At; see
// Planner.AppendDone.
type Append struct {
	Table *ownership.Table
	At    metastore.Position
	// Cause is the reason for the change, for log messages.
	Cause string
}

// Grant grants or renews a range of keys; see Planner.GrantDone.
type Grant struct {
	Service, Addr string
	Range         ownership.Range
	TTL           time.Duration
	// DecidedAt is when Tick returned the grant.
	DecidedAt bootclock.Time
	// ExistingConnOnly restricts the grant to a connection that is already
	// open; see the package comment.
	ExistingConnOnly bool
	// Indirect has another host send the grant; see the package comment.
	Indirect bool
	// server is the state that counts the grant as in flight.
	server *serverState
	// closing is set for the last renewal of a term that the log's return has ended.
	closing *closing
}

// Release takes a range of keys back; see Planner.ReleaseDone.
type Release struct {
	Service, Addr string
	Range         ownership.Range
	// Indirect has another host send the release.
	Indirect bool
}

func (*LeaveElection) action() {}
func (*Retire) action()        {}
func (*AcquireLease) action()  {}
func (*Append) action()        {}
func (*Grant) action()         {}
func (*Release) action()       {}
