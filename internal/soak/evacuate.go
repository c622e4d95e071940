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
	// evacuatePeriods is the longest pause between two evacuations, evacuateMost
	// how long one lasts at most.
	evacuatePeriods = 6 * time.Second
	evacuateMost    = 9 * time.Second
	// emptyWithin is how long after the order nothing reaches the data centre.
	emptyWithin = 5 * time.Second
	// beatEvery is how often an upstream writes its entry.
	beatEvery = 900 * time.Millisecond
)

// slowStart is that of upstreams that come back, and coldMost what a cold one may
// get in a second by the hosts' settings.
var slowStart = desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}

const coldMost = 4*1.5 + 8

// emptySpan is an evacuation.
type emptySpan struct{ from, to time.Time }

// evacuations has the far data centre evacuated and taken back until ctx ends. It
// draws apart from the other faults.
func (in *injector) evacuations(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(evacuatePeriods))))
		in.awaitLog(ctx)
		from := time.Now()
		in.world.log.Put(metastore.StreamDesired, standin.EvacuationKey(far), []byte("{}"))
		sleep(ctx, time.Duration(rng.Int64N(int64(evacuateMost))))
		in.awaitLog(ctx)
		in.world.takeBack(time.Since(from) > emptyWithin && !in.world.log.Down())
		in.mu.Lock()
		in.empty = append(in.empty, emptySpan{from, time.Now()})
		in.mu.Unlock()
	}
}

// awaitLog waits until the log service takes the operators' orders, and a little
// for the hosts to read what they missed.
func (in *injector) awaitLog(ctx context.Context) {
	for ctx.Err() == nil && in.world.log.Down() {
		sleep(ctx, beatEvery)
	}
}

// takeBack ends the evacuation. Upstreams that had nothing to do for long enough
// have become cold, which their entries tell a little later.
func (w *Environment) takeBack(cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.Put(metastore.StreamDesired, standin.EvacuationKey(far), nil)
	for _, p := range w.places {
		l := p.life
		if !cold || p.dataCentre != far || !l.up {
			continue
		}
		l.coldFrom = time.Now()
		time.AfterFunc(beatEvery, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if l.up && p.life == l {
				w.list(l, false)
			}
		})
	}
}

// checkCold returns what cold upstreams got too much.
func (in *injector) checkCold() (bad []string) {
	w := in.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slow.PerSecond == 0 {
		return nil
	}
	for _, l := range w.all {
		if l.coldFrom.IsZero() {
			continue
		}
		if n := l.PeakInSecond(l.coldFrom, l.coldFrom.Add(w.slow.Duration)); float64(n) > coldMost {
			bad = append(bad, fmt.Sprintf("%s: FAILBACK: %d requests in a second at %s, cold; at most %v", l.coldFrom.Format(stamp), n, l.ID, coldMost))
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
	in.world.mu.Lock()
	defer in.world.mu.Unlock()
	for _, e := range in.empty {
		for _, l := range in.world.all {
			if l.place.dataCentre != far {
				continue
			}
			for _, a := range l.Arrivals(e.from.Add(emptyWithin), e.to) {
				if h := hostOf[a.ID]; h != nil && in.inTouch(h, e.from.Add(-settleSpan), a.At) {
					bad = append(bad, fmt.Sprintf("%s: EVAC: %s reached %s through %s %v after the order", a.At.Format(stamp), a.ID, l.ID, h.Name, a.At.Sub(e.from)))
				}
			}
		}
	}
	return bad
}

// inTouch reports whether no fault touched the host or the log service.
func (in *injector) inTouch(h *Host, from, to time.Time) bool {
	return !in.touched(from, to, func(f *fault) bool { return f.host == h || strings.HasPrefix(f.what, "log service") })
}
