package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// fault is one fault's span and what it touched.
type fault struct {
	from, to time.Time
	what     string
	// host is the one whose process or links it touched; nil for faults of
	// upstreams and of the log service.
	host *Host
}

// injector draws faults from a seed and lets them overlap.
type injector struct {
	world *Environment
	hosts []*Host
	rng   *rand.Rand
	// forgeSeed is that of forgeEntries.
	forgeSeed uint64

	wg     sync.WaitGroup
	mu     sync.Mutex
	faults []*fault
	// over is set once no more faults begin.
	over bool
	// downs draws how long upstreams that a request ended are down, apart from
	// the other faults.
	downs *rand.Rand
	// ended are the ends of upstreams under requests, in order.
	ended []ended
	// reports are what upstreams reported in their answers.
	reports []report
	// empty are the times for which the far data centre was evacuated.
	empty []emptySpan
	// busy holds what a fault is under way on, so that two do not undo each
	// other.
	busy map[any]bool
}

const (
	// gapMost is the longest pause between two faults' starts.
	gapMost = 900 * time.Millisecond
	// graceTime is how long a stopping host may take; the platform kills it
	// then.
	graceTime = 6 * time.Second
)

// kinds are the faults, each drawn as often.
var kinds = []struct {
	name string
	do   func(*injector, context.Context)
}{
	{"kill host", (*injector).killHost},
	{"stop host", (*injector).stopHost},
	{"pause host", (*injector).pauseHost},
	{"kill upstream", (*injector).killUpstream},
	{"drain upstream", (*injector).drainUpstream},
	{"front link", (*injector).frontLink},
	{"log link", (*injector).logLink},
	{"upstream link", (*injector).upstreamLink},
	{"log outage", (*injector).logOutage},
	{"new desired state", (*injector).publish},
}

// run injects faults until ctx ends, and then waits for those under way.
func (in *injector) run(ctx context.Context) {
	in.wg.Go(func() { in.forgeEntries(ctx) })
	for ctx.Err() == nil {
		k := kinds[in.rng.IntN(len(kinds))]
		k.do(in, ctx)
		sleep(ctx, time.Duration(in.rng.Int64N(int64(gapMost))))
	}
	in.mu.Lock()
	in.over = true
	in.mu.Unlock()
	in.wg.Wait()
}

// during runs begin, waits, and runs end, as one fault on a thing that no
// other fault is under way on.
func (in *injector) during(what string, h *Host, on any, d time.Duration, begin, end func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy[on] {
		return
	}
	in.busy[on] = true
	f := &fault{from: time.Now(), what: what, host: h}
	in.faults = append(in.faults, f)
	in.wg.Go(func() {
		begin()
		time.Sleep(d)
		end()
		in.mu.Lock()
		defer in.mu.Unlock()
		f.to = time.Now()
		delete(in.busy, on)
	})
}

func (in *injector) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(in.rng.Int64N(int64(hi-lo)))
}

func (in *injector) host() *Host { return in.hosts[in.rng.IntN(len(in.hosts))] }

func (in *injector) place() *place { return in.world.places[in.rng.IntN(len(in.world.places))] }

func (in *injector) killHost(context.Context) {
	h := in.host()
	in.during("kill "+h.Name, h, h, in.between(100*time.Millisecond, 3*time.Second), h.Kill, func() { in.restart(h) })
}

func (in *injector) stopHost(context.Context) {
	h := in.host()
	in.during("stop "+h.Name, h, h, 0, h.Stop, func() {
		if !h.AwaitExit(graceTime) {
			h.Kill()
		}
		in.restart(h)
	})
}

// restart starts a host again once its process is gone.
func (in *injector) restart(h *Host) {
	if !h.AwaitExit(endPatience) {
		in.breach(fmt.Sprintf("%s: a killed process does not end", h.Name))
		return
	}
	if err := h.Start(); err != nil {
		in.breach(err.Error())
	}
}

func (in *injector) pauseHost(context.Context) {
	h := in.host()
	in.during("pause "+h.Name, h, h, in.between(100*time.Millisecond, 8*time.Second), h.Pause, func() {
		in.world.noteResumed()
		h.Resume()
		in.world.noteResumed()
	})
}

func (in *injector) killUpstream(context.Context) {
	p := in.place()
	lapse := in.between(time.Second, 2*time.Second)
	var dead *life
	in.during("kill upstream "+p.proxy.Addr(), nil, p, in.between(50*time.Millisecond, 3*time.Second),
		func() {
			dead = in.world.kill(p)
			time.AfterFunc(lapse, func() { in.world.unlist(dead) })
		}, func() { in.revive(p) })
}

func (in *injector) revive(p *place) {
	if err := in.world.revive(p); err != nil {
		in.breach(err.Error())
	}
}

// forged are entries that no upstream wrote.
var forged = [][]byte{[]byte("\xff\x00"), []byte(`{"Service":"keyed"}`), []byte(`{"Service":"keyed","Slots":"many"}`)}

const (
	// forgedFor is how long a forged entry stands: the upstream writes its own
	// again with its next heartbeat.
	forgedFor    = 900 * time.Millisecond
	forgePeriods = 8 * time.Second
)

// forgeEntries has another writer replace upstreams' entries now and then. It
// draws apart from the other faults, which a seed draws as it always did.
func (in *injector) forgeEntries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(in.forgeSeed, 2))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(forgePeriods))))
		p := in.world.places[rng.IntN(len(in.world.places))]
		entry := forged[rng.IntN(len(forged))]
		in.during("forged entry of "+p.proxy.Addr(), nil, &forged, forgedFor, func() { in.world.forge(p, entry, forgedFor) }, func() {})
	}
}

// drainUpstream has an upstream leave as planned.
func (in *injector) drainUpstream(context.Context) {
	p := in.place()
	in.during("drain upstream "+p.proxy.Addr(), nil, p, 4*time.Second,
		func() { in.world.list(p.life, true) },
		func() {
			in.world.unlist(in.world.kill(p))
			in.revive(p)
		})
}

func (in *injector) frontLink(context.Context) {
	h := in.host()
	in.link("front link of "+h.Name, h, h.Front)
}

func (in *injector) logLink(context.Context) {
	h := in.host()
	in.link("log link of "+h.Name, h, h.Log)
}

func (in *injector) upstreamLink(context.Context) {
	p := in.place()
	in.link("link of upstream "+p.proxy.Addr(), nil, p.proxy)
}

// link makes a proxy misbehave in one of five ways.
func (in *injector) link(what string, h *Host, p *Proxy) {
	d := in.between(200*time.Millisecond, 5*time.Second)
	heal := func() { p.Cut() }
	switch in.rng.IntN(5) {
	case 0:
		in.during("reset "+what, h, p, 0, p.Reset, func() {})
	case 1:
		delay := in.between(5*time.Millisecond, 80*time.Millisecond)
		in.during("delay "+what, h, p, d, func() { p.SetDelay(delay) }, func() { p.SetDelay(0) })
	case 2:
		in.during("silence "+what, h, p, d, func() { p.Cut(toTarget, toCaller) }, heal)
	case 3:
		in.during("cut to caller "+what, h, p, d, func() { p.Cut(toCaller) }, heal)
	case 4:
		in.during("cut to target "+what, h, p, d, func() { p.Cut(toTarget) }, heal)
	}
}

// logOutage makes the log service fail, forget its history, or both; entries
// lapse meanwhile and are back soon after.
func (in *injector) logOutage(context.Context) {
	log := in.world.log
	back := in.between(200*time.Millisecond, 1800*time.Millisecond)
	switch in.rng.IntN(3) {
	case 0:
		in.during("log service forgets", nil, log, 0, log.Compact, func() {})
	default:
		in.during("log service down", nil, log, in.between(300*time.Millisecond, 6*time.Second), func() { log.SetDown(true) }, func() {
			in.world.relist(back)
			log.SetDown(false)
			// Until they are back no other outage may begin.
			time.Sleep(back)
		})
	}
}

func (in *injector) publish(context.Context) {
	if err := in.world.publish(); err != nil {
		in.breach(err.Error())
	}
}

func (in *injector) breach(what string) {
	in.world.mu.Lock()
	defer in.world.mu.Unlock()
	in.world.breaches = append(in.world.breaches, what)
}

// calm reports whether no fault touched the host's process, the host's links,
// an upstream or the log service between from and to.
func (in *injector) calm(h *Host, from, to time.Time, except string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, f := range in.faults {
		over := !f.to.IsZero() && f.to.Before(from)
		if over || f.from.After(to) || (f.host != nil && f.host != h) || f.what == except {
			continue
		}
		return false
	}
	return true
}
