package inflight

import (
	"time"

	"github.com/papayatide/papayatide/internal/shares"
)

// Room returns what the upstreams of a service in a data centre can process; zeros if there
// are none. Upstreams without measurements count as of median speed, and cold ones as warm:
// a room that is too small would have requests refused for which there is room.
func (a *Aggregator) Room(service, dataCentre string, now time.Time) shares.Room {
	a.mu.Lock()
	defer a.mu.Unlock()
	upstreams := a.upstreams().ForService(service)
	median := a.estimator.Median(upstreams, now)
	var room shares.Room
	for _, u := range upstreams {
		if u.DataCentre != dataCentre || u.Draining() {
			continue
		}
		room.Slots += float64(u.Slots)
		room.Capacity += float64(u.Slots) * median / a.estimator.Estimate(u, median, now)
	}
	return room
}
