package entryhost

import (
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/inflight"
	"github.com/papayatide/papayatide/internal/shares"
)

// ownStatsInterval is how often a host that others follow adds its own load
// statistics (balance.LoadStats) to theirs.
const ownStatsInterval = 200 * time.Millisecond

// inFlightAggregator sums the in-flight requests at upstreams over the hosts of
// one data centre. It runs on the host that the others follow.
type inFlightAggregator struct {
	host, dataCentre string
	picker           *balance.Picker
	aggregator       *inflight.Aggregator
	// cutOff reports whether this host has lost its paths to all upstreams. Its load shows nothing then.
	cutOff func() bool

	mu         sync.Mutex
	ownStatsAt time.Time
}

func newInFlightAggregator(host, dataCentre string, picker *balance.Picker, upstreams func() *catalogue.Snapshot) *inFlightAggregator {
	return &inFlightAggregator{host: host, dataCentre: dataCentre, picker: picker, aggregator: inflight.New(upstreams, time.Now()), cutOff: func() bool { return false }}
}

// recordStats records the load statistics of a follower, and every
// ownStatsInterval those of this host. It ignores hosts of other data centres.
func (a *inFlightAggregator) recordStats(caller fleet.Host, stats []balance.LoadStats) {
	if caller.DataCentre != a.dataCentre {
		return
	}
	now := time.Now()
	a.aggregator.Record(caller.Name, stats, now)
	if a.ownStatsDue(now) {
		own := a.picker.FlushLoadStats()
		if a.cutOff() {
			own = nil
		}
		a.aggregator.Record(a.host, own, now)
		a.picker.SetPeerLoads(a.aggregator.PeerLoads(a.host, a.picker.Subset().IDs, now), now)
		a.picker.SetSilenceNotices(a.aggregator.SilenceNotices(now), now)
	}
}

// ownStatsDue reports whether ownStatsInterval has passed, and if so starts it anew.
func (a *inFlightAggregator) ownStatsDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.ownStatsAt) < ownStatsInterval {
		return false
	}
	a.ownStatsAt = now
	return true
}

// peerLoads returns, for each of the upstreams, the load of the other hosts of the
// caller's data centre: their requests in flight, and the estimated time that the
// upstream works on a request, without queueing. It returns nil for a caller in
// another data centre.
func (a *inFlightAggregator) peerLoads(caller fleet.Host, ids []string) []balance.PeerLoad {
	if caller.DataCentre != a.dataCentre {
		return nil
	}
	return a.aggregator.PeerLoads(caller.Name, ids, time.Now())
}

// silenceNotices returns the upstreams that respond to none of several hosts of the caller's data
// centre; nil for a caller in another data centre.
func (a *inFlightAggregator) silenceNotices(caller fleet.Host) []balance.SilenceNotice {
	if caller.DataCentre != a.dataCentre {
		return nil
	}
	return a.aggregator.SilenceNotices(time.Now())
}

// room returns what the upstreams of a service in this data centre can process.
func (a *inFlightAggregator) room(service string, now time.Time) shares.Room {
	return a.aggregator.Room(service, a.dataCentre, now)
}
