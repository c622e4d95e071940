package entryhost

import (
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/usage"
)

// ownEvery is how often a host that others follow adds what it has itself.
const ownEvery = 200 * time.Millisecond

// uses shares what the hosts of a data centre have at upstreams, on the host
// that the others follow.
type uses struct {
	name, home string
	board      *balance.Board
	sum        *usage.Sum

	mu    sync.Mutex
	ownAt time.Time
}

func newUses(name, home string, board *balance.Board, upstreams func() *catalogue.Snapshot) *uses {
	return &uses{name: name, home: home, board: board, sum: usage.New(upstreams, time.Now())}
}

// take takes in what a host that follows this one has, and adds what this host
// has itself.
func (u *uses) take(caller fleet.Host, its []balance.Use) {
	if caller.DataCentre != u.home {
		return
	}
	now := time.Now()
	u.sum.Report(caller.Name, its, now)
	if u.ownDue(now) {
		u.sum.Report(u.name, u.board.Report(), now)
		u.board.Learn(u.sum.Others(u.name, u.board.Using().IDs, now), now)
	}
}

func (u *uses) ownDue(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.ownAt) < ownEvery {
		return false
	}
	u.ownAt = now
	return true
}

// others returns what the hosts of the caller's data centre have but itself at
// each of the upstreams, if that is this host's too.
func (u *uses) others(caller fleet.Host, ids []string) []balance.Others {
	if caller.DataCentre != u.home {
		return nil
	}
	return u.sum.Others(caller.Name, ids, time.Now())
}
