package entryhost

import (
	"context"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// groupMembersPerHost is how many members each host has in the log service's
// group. With one each, the planner of a small fleet could lose its lease when
// a host joined; see the package comment.
const groupMembersPerHost = 2

// singleMemberFleetSize is the fleet size from which on one member per host
// suffices.
const singleMemberFleetSize = 24

// plannerElector acquires and renews the planner lease as several members of
// the group.
type plannerElector struct {
	store metastore.Store
	// memberNames are the names of this host's members, generations the group
	// generation that each received last.
	memberNames []string
	// era is that of the last call: generations of an earlier one mean nothing.
	generations []int64
	era         int64
	// fleetSize returns the number of hosts.
	fleetSize func() int
}

func newPlannerElector(store metastore.Store, host string) *plannerElector {
	return &plannerElector{store: store, memberNames: []string{host, host + "/2"}, generations: make([]int64, groupMembersPerHost),
		fleetSize: func() int { return 1 }}
}

// tryAcquireOrRenew acquires or renews the planner lease and reports whether
// this host holds it, and in which era of the log. It must not be called concurrently.
func (e *plannerElector) tryAcquireOrRenew(ctx context.Context, ttl time.Duration) (held bool, era int64, err error) {
	for i, name := range e.activeMemberNames() {
		result, err := e.store.JoinElection(ctx, name, ttl, e.generations[i])
		if err != nil {
			return false, e.era, err
		}
		if result.Era != e.era {
			e.era = result.Era
			clear(e.generations)
		}
		e.generations[i] = result.Generation
		if result.Held {
			return true, e.era, nil
		}
	}
	return false, e.era, nil
}

// activeMemberNames returns the members that the host has at the current fleet
// size.
func (e *plannerElector) activeMemberNames() []string {
	if e.fleetSize() >= singleMemberFleetSize {
		return e.memberNames[:1]
	}
	return e.memberNames
}

// leave removes all members of this host from the group.
func (e *plannerElector) leave(ctx context.Context) error {
	for _, name := range e.memberNames {
		if err := e.store.LeaveElection(ctx, name); err != nil {
			return err
		}
	}
	return nil
}
