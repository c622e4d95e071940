package entryhost

import (
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/inflight"
)

// ownEvery is how often a host that others follow adds what it has itself.
const ownEvery = 200 * time.Millisecond

// inFlightAggregator shares what the hosts of a data centre have at upstreams, on the host
// that the others follow.
type inFlightAggregator struct {
	name, home string
	board      *balance.Picker
	sum        *inflight.Aggregator

	mu    sync.Mutex
	ownAt time.Time
}

func newInFlightAggregator(name, home string, board *balance.Picker, upstreams func() *catalogue.Snapshot) *inFlightAggregator {
	return &inFlightAggregator{name: name, home: home, board: board, sum: inflight.New(upstreams, time.Now())}
}

// report takes in what a host that follows this one has, and adds what this host
// has itself.
func (u *inFlightAggregator) report(caller fleet.Host, its []balance.LoadStats) {
	if caller.DataCentre != u.home {
		return
	}
	now := time.Now()
	u.sum.Record(caller.Name, its, now)
	if u.ownDue(now) {
		u.sum.Record(u.name, u.board.FlushLoadStats(), now)
		u.board.SetPeerLoads(u.sum.PeerLoads(u.name, u.board.Subset().IDs, now), now)
	}
}

func (u *inFlightAggregator) ownDue(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.ownAt) < ownEvery {
		return false
	}
	u.ownAt = now
	return true
}

// othersInFlight returns what the hosts of the caller's data centre have but itself at
// each of the upstreams, if that is this host's too.
func (u *inFlightAggregator) othersInFlight(caller fleet.Host, ids []string) []balance.PeerLoad {
	if caller.DataCentre != u.home {
		return nil
	}
	return u.sum.PeerLoads(caller.Name, ids, time.Now())
}
