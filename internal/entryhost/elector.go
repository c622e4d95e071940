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
	// joined holds for each member whether it has joined and not left.
	joined []bool
	// fleetSize returns the number of hosts, as far as it is known.
	fleetSize func() int
}

func newPlannerElector(store metastore.Store, host string) *plannerElector {
	return &plannerElector{store: store, memberNames: []string{host, host + "/2"}, generations: make([]int64, groupMembersPerHost),
		joined: make([]bool, groupMembersPerHost), fleetSize: func() int { return 1 }}
}

// electionResult is the result of a lease request.
type electionResult struct {
	// held reports whether this host holds the planner lease, in the given era of the log.
	held bool
	era  int64
	// rebalanced reports whether the group has changed since this host's last request. A partition
	// that the change has moved is assigned only once its previous member has joined again.
	rebalanced bool
}

// tryAcquireOrRenew acquires or renews the planner lease. It must not be called concurrently.
func (e *plannerElector) tryAcquireOrRenew(ctx context.Context, ttl time.Duration) (electionResult, error) {
	active, held, rebalanced := e.activeMembers(), false, false
	for i, name := range e.memberNames[:active] {
		result, err := e.store.JoinElection(ctx, name, ttl, e.generations[i])
		if err != nil {
			return electionResult{era: e.era}, err
		}
		if result.Era != e.era {
			e.era = result.Era
			clear(e.generations)
		}
		rebalanced = rebalanced || result.Generation != e.generations[i]
		e.generations[i], e.joined[i] = result.Generation, true
		if held = result.Held; held {
			break
		}
	}
	e.leaveInactive(ctx, active)
	return electionResult{held, e.era, rebalanced}, nil
}

// activeMembers returns how many members the host has at the current fleet size. Its first
// request is always for one member, because the host usually learns the size from the planner
// before its second.
func (e *plannerElector) activeMembers() int {
	if !e.joined[0] || e.fleetSize() >= singleMemberFleetSize {
		return 1
	}
	return len(e.memberNames)
}

// leaveInactive removes members that the host no longer needs from the group. Until their
// memberships lapsed, the group could assign the lease to one of them, and no host would know
// that it holds it. A failed call is repeated after the next request.
func (e *plannerElector) leaveInactive(ctx context.Context, active int) {
	for i := active; i < len(e.memberNames); i++ {
		if e.joined[i] && e.store.LeaveElection(ctx, e.memberNames[i]) == nil {
			e.joined[i] = false
		}
	}
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
