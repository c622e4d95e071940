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
const ownReportInterval = 200 * time.Millisecond

// inFlightAggregator shares what the hosts of a data centre have at upstreams, on the host
// that the others follow.
type inFlightAggregator struct {
	host, dataCentre string
	picker           *balance.Picker
	aggregator       *inflight.Aggregator

	mu            sync.Mutex
	ownReportedAt time.Time
}

func newInFlightAggregator(name, home string, board *balance.Picker, upstreams func() *catalogue.Snapshot) *inFlightAggregator {
	return &inFlightAggregator{host: name, dataCentre: home, picker: board, aggregator: inflight.New(upstreams, time.Now())}
}

// report takes in what a host that follows this one has, and adds what this host
// has itself.
func (u *inFlightAggregator) report(caller fleet.Host, its []balance.LoadStats) {
	if caller.DataCentre != u.dataCentre {
		return
	}
	now := time.Now()
	u.aggregator.Record(caller.Name, its, now)
	if u.ownReportDue(now) {
		u.aggregator.Record(u.host, u.picker.FlushLoadStats(), now)
		u.picker.SetPeerLoads(u.aggregator.PeerLoads(u.host, u.picker.Subset().IDs, now), now)
	}
}

func (u *inFlightAggregator) ownReportDue(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.ownReportedAt) < ownReportInterval {
		return false
	}
	u.ownReportedAt = now
	return true
}

// othersInFlight returns what the hosts of the caller's data centre have but itself at
// each of the upstreams, if that is this host's too.
func (u *inFlightAggregator) othersInFlight(caller fleet.Host, ids []string) []balance.PeerLoad {
	if caller.DataCentre != u.dataCentre {
		return nil
	}
	return u.aggregator.PeerLoads(caller.Name, ids, time.Now())
}
