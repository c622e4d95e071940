package shares

import (
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// demandWindow is the time over which demand is summed.
	demandWindow = time.Second
	// minDemandWindow is the shortest observation from which a host's demand is known. In
	// less, a single request counts as a high rate.
	minDemandWindow = 200 * time.Millisecond
	// hostTTL is how long a host that does not call counts as present.
	hostTTL = 1200 * time.Millisecond
	// priorSeconds is the weight of the mean over the hosts in a host's demand, in seconds
	// of observation. A small host gets two requests of a class a second; without a prior,
	// one that got none by chance would have no share in the next second.
	priorSeconds = 0.25
)

// demandRecord is what a host stated in one call.
type demandRecord struct {
	at time.Time
	// covers is the time since the call before; 0 if there was none.
	covers  time.Duration
	classes []Demand
}

// grant is the sum of a host's shares of a service, in seconds per second.
type grant struct {
	perSecond float64
	until     time.Time
}

// hostState is what the divider knows of a host.
type hostState struct {
	lastCall time.Time
	records  []demandRecord
	// granted holds the shares in force by service, targets those that the host is to have.
	granted map[string]grant
	targets map[desired.Class]float64
}

// add adds a record and drops those that have left the window.
func (h *hostState) add(demand []Demand, now time.Time) {
	r := demandRecord{at: now, classes: demand}
	if !h.lastCall.IsZero() {
		r.covers = now.Sub(h.lastCall)
	}
	h.lastCall = now
	old := 0
	for old < len(h.records) && now.Sub(h.records[old].at) >= demandWindow {
		old++
	}
	h.records = append(h.records[old:], r)
}

// rates returns the requests per second by class; nil if they are not known yet. promised
// receives the host's promised returns.
func (h *hostState) rates(promised map[desired.Class]float64, now time.Time) map[desired.Class]float64 {
	var covered time.Duration
	out := map[desired.Class]float64{}
	for _, r := range h.records {
		if r.covers == 0 || now.Sub(r.at) >= hostTTL {
			continue
		}
		covered += r.covers
		for _, d := range r.classes {
			out[d.Class] += float64(d.Arrived)
		}
	}
	if n := len(h.records); n > 0 {
		for _, d := range h.records[n-1].classes {
			promised[d.Class] += float64(d.Promised)
		}
	}
	if covered < minDemandWindow {
		return nil
	}
	for c := range out {
		out[c] /= covered.Seconds()
	}
	return out
}
