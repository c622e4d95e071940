package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
	"github.com/papayatide/papayatide/platform/standin"
)

const (
	// maxEvacuationGap is the longest pause between two evacuations, maxEvacuation
	// the longest duration of one.
	maxEvacuationGap = 6 * time.Second
	maxEvacuation    = 9 * time.Second
	// evacuationTimeout is the time from the order to evacuate until no more requests
	// reach the data centre. It is the setting evacuate of settingsTemplate.
	evacuationTimeout = 5 * time.Second
	// heartbeatInterval is the interval at which an upstream writes its entry.
	heartbeatInterval = 900 * time.Millisecond
)

// slowStart is the slow start of upstreams that restart or become cold.
var slowStart = desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}

// maxColdPerSecond is how many requests a cold upstream may receive in a second:
// slowStart.PerSecond times the setting slow_start_factor, plus slow_start_slack.
const maxColdPerSecond = 4*1.5 + 8

// evacuation is the time for which farDC was evacuated.
type evacuation struct{ from, to time.Time }

// runEvacuations evacuates farDC and ends the evacuation again until ctx ends. It has
// its own random generator, so the other faults of a seed do not depend on it.
func (in *injector) runEvacuations(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxEvacuationGap))))
		in.awaitLog(ctx)
		from := time.Now()
		in.env.log.Put(metastore.StreamOperators, standin.EvacuationKey(farDC), []byte("{}"))
		sleep(ctx, time.Duration(rng.Int64N(int64(maxEvacuation))))
		in.awaitLog(ctx)
		in.env.endEvacuation(time.Since(from) > evacuationTimeout && !in.env.log.Down())
		in.mu.Lock()
		in.evacuations = append(in.evacuations, evacuation{from, time.Now()})
		in.mu.Unlock()
	}
}

// awaitLog waits until the log service is up. It polls every heartbeatInterval, so after
// an outage the hosts usually have time to read the records that they missed.
func (in *injector) awaitLog(ctx context.Context) {
	for ctx.Err() == nil && in.env.log.Down() {
		sleep(ctx, heartbeatInterval)
	}
}

// endEvacuation ends the evacuation of farDC. If cold is set, the upstreams there were
// idle long enough to become cold; their entries show it one heartbeat later.
func (env *Environment) endEvacuation(cold bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.log.Put(metastore.StreamOperators, standin.EvacuationKey(farDC), nil)
	for _, ep := range env.endpoints {
		inc := ep.current
		if !cold || ep.dataCentre != farDC || !inc.up {
			continue
		}
		inc.coldFrom = time.Now()
		time.AfterFunc(heartbeatInterval, func() {
			env.mu.Lock()
			defer env.mu.Unlock()
			if inc.up && !inc.withdrawn && ep.current == inc {
				env.writeEntry(inc, false)
			}
		})
	}
}

// checkColdUpstreams returns the cold upstreams that received more than
// maxColdPerSecond requests in a second.
func (in *injector) checkColdUpstreams(outcomes []*outcome) (bad []string) {
	env, hostOf := in.env, hostsByRequest(outcomes)
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.slowStart.PerSecond == 0 {
		return nil
	}
	for _, inc := range env.incarnations {
		if inc.coldFrom.IsZero() {
			continue
		}
		if n := inc.PeakInSecond(inc.coldFrom, inc.coldFrom.Add(env.slowStart.Duration)); float64(n) > maxColdPerSecond {
			bad = append(bad, fmt.Sprintf("%s: FAILBACK: %d requests in a second at %s, cold; at most %v; by host, seconds after that: %s", inc.coldFrom.Format(timestampFormat), n, inc.ID, maxColdPerSecond,
				arrivalsByHost(inc.Arrivals(inc.coldFrom, inc.coldFrom.Add(env.slowStart.Duration)), inc.coldFrom, hostOf)))
		}
	}
	return bad
}

// arrivalsByHost lists for each host when its requests arrived, in seconds after from.
func arrivalsByHost(arrivals []rangeowner.Arrival, from time.Time, hostOf map[string]*Host) string {
	times := map[string][]string{}
	for _, a := range arrivals {
		name := "unknown"
		if h := hostOf[a.ID]; h != nil {
			name = h.Name
		}
		times[name] = append(times[name], fmt.Sprintf("%.2f", a.At.Sub(from).Seconds()))
	}
	return fmt.Sprint(times)
}

// checkEvacuated returns the requests that reached farDC later than evacuationTimeout
// after the order to evacuate it, through a host without faults since the order.
func (in *injector) checkEvacuated(outcomes []*outcome) (bad []string) {
	hostOf := hostsByRequest(outcomes)
	in.env.mu.Lock()
	defer in.env.mu.Unlock()
	for _, e := range in.evacuations {
		for _, inc := range in.env.incarnations {
			if inc.endpoint.dataCentre != farDC {
				continue
			}
			for _, a := range inc.Arrivals(e.from.Add(evacuationTimeout), e.to) {
				if h := hostOf[a.ID]; h != nil && in.hostAndLogFaultFree(h, e.from.Add(-settleTime), a.At) {
					bad = append(bad, fmt.Sprintf("%s: EVAC: %s reached %s through %s %v after the order", a.At.Format(timestampFormat), a.ID, inc.ID, h.Name, a.At.Sub(e.from)))
				}
			}
		}
	}
	return bad
}

// hostAndLogFaultFree reports whether no fault affected the host or the log service
// between from and to.
func (in *injector) hostAndLogFaultFree(h *Host, from, to time.Time) bool {
	return !in.anyFault(from, to, func(f *fault) bool { return f.host == h || strings.HasPrefix(f.description, "log service") })
}
