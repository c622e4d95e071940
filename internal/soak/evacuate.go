package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/platform/standin"
)

const (
	// maxEvacuationGap is the longest pause between two evacuations, evacuateMost
	// how long one lasts at most.
	maxEvacuationGap = 6 * time.Second
	maxEvacuation    = 9 * time.Second
	// evacuationTimeout is how long after the order nothing reaches the data centre.
	evacuationTimeout = 5 * time.Second
	// heartbeatInterval is how often an upstream writes its entry.
	heartbeatInterval = 900 * time.Millisecond
)

// slowStart is that of upstreams that come back, and coldMost what a cold one may
// get in a second by the hosts' settings.
var slowStart = desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}

const maxColdPerSecond = 4*1.5 + 8

// evacuation is an evacuation.
type evacuation struct{ from, to time.Time }

// runEvacuations has the far data centre evacuated and taken back until ctx ends. It
// draws apart from the other faults.
func (in *injector) runEvacuations(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxEvacuationGap))))
		in.awaitLog(ctx)
		from := time.Now()
		in.env.log.Put(metastore.StreamDesired, standin.EvacuationKey(farDC), []byte("{}"))
		sleep(ctx, time.Duration(rng.Int64N(int64(maxEvacuation))))
		in.awaitLog(ctx)
		in.env.endEvacuation(time.Since(from) > evacuationTimeout && !in.env.log.Down())
		in.mu.Lock()
		in.evacuations = append(in.evacuations, evacuation{from, time.Now()})
		in.mu.Unlock()
	}
}

// awaitLog waits until the log service takes the operators' orders, and a little
// for the hosts to read what they missed.
func (in *injector) awaitLog(ctx context.Context) {
	for ctx.Err() == nil && in.env.log.Down() {
		sleep(ctx, heartbeatInterval)
	}
}

// endEvacuation ends the evacuation. Upstreams that had nothing to do for long enough
// have become cold, which their entries tell a little later.
func (w *Environment) endEvacuation(cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.Put(metastore.StreamDesired, standin.EvacuationKey(farDC), nil)
	for _, p := range w.endpoints {
		l := p.current
		if !cold || p.dataCentre != farDC || !l.up {
			continue
		}
		l.coldFrom = time.Now()
		time.AfterFunc(heartbeatInterval, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if l.up && p.current == l {
				w.writeEntry(l, false)
			}
		})
	}
}

// checkColdUpstreams returns what cold upstreams got too much.
func (in *injector) checkColdUpstreams() (bad []string) {
	w := in.env
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slowStart.PerSecond == 0 {
		return nil
	}
	for _, l := range w.incarnations {
		if l.coldFrom.IsZero() {
			continue
		}
		if n := l.PeakInSecond(l.coldFrom, l.coldFrom.Add(w.slowStart.Duration)); float64(n) > maxColdPerSecond {
			bad = append(bad, fmt.Sprintf("%s: FAILBACK: %d requests in a second at %s, cold; at most %v", l.coldFrom.Format(timestampFormat), n, l.ID, maxColdPerSecond))
		}
	}
	return bad
}

// checkEvacuated returns the requests that reached an evacuated data centre through
// a host that nothing had happened to since the order.
func (in *injector) checkEvacuated(outcomes []*outcome) (bad []string) {
	hostOf := map[string]*Host{}
	for _, o := range outcomes {
		hostOf[o.id] = o.host
	}
	in.env.mu.Lock()
	defer in.env.mu.Unlock()
	for _, e := range in.evacuations {
		for _, l := range in.env.incarnations {
			if l.endpoint.dataCentre != farDC {
				continue
			}
			for _, a := range l.Arrivals(e.from.Add(evacuationTimeout), e.to) {
				if h := hostOf[a.ID]; h != nil && in.hostAndLogFaultFree(h, e.from.Add(-settleTime), a.At) {
					bad = append(bad, fmt.Sprintf("%s: EVAC: %s reached %s through %s %v after the order", a.At.Format(timestampFormat), a.ID, l.ID, h.Name, a.At.Sub(e.from)))
				}
			}
		}
	}
	return bad
}

// hostAndLogFaultFree reports whether no fault touched the host or the log service.
func (in *injector) hostAndLogFaultFree(h *Host, from, to time.Time) bool {
	return !in.anyFault(from, to, func(f *fault) bool { return f.host == h || strings.HasPrefix(f.description, "log service") })
}
