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
	from, to    time.Time
	description string
	// host is the one whose process or links it touched; nil for faults of
	// upstreams and of the log service.
	host *Host
}

// injector draws faults from a seed and lets them overlap.
type injector struct {
	env   *Environment
	hosts []*Host
	rng   *rand.Rand
	// forgeSeed is that of forgeEntries.
	forgeSeed uint64

	wg     sync.WaitGroup
	mu     sync.Mutex
	faults []*fault
	// stopped is set once no more faults begin.
	stopped bool
	// downtimeRNG draws how long upstreams that a request ended are down, apart from
	// the other faults.
	downtimeRNG *rand.Rand
	// crashes are the ends of upstreams under requests, in order.
	crashes []crash
	// reports are what upstreams reported in their answers.
	reports []report
	// evacuations are the times for which the far data centre was evacuated.
	evacuations []evacuation
	// busy holds what a fault is under way on, so that two do not undo each
	// other.
	busy map[any]bool
}

const (
	// maxFaultGap is the longest pause between two faults' starts.
	maxFaultGap = 900 * time.Millisecond
	// stopGrace is how long a stopping host may take; the platform kills it
	// then.
	stopGrace = 6 * time.Second
)

// kinds are the faults, each drawn as often.
var faultKinds = []struct {
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
	{"new desired state", (*injector).publishDesired},
}

// run injects faults until ctx ends, and then waits for those under way.
func (in *injector) run(ctx context.Context) {
	in.wg.Go(func() { in.forgeEntries(ctx) })
	for ctx.Err() == nil {
		k := faultKinds[in.rng.IntN(len(faultKinds))]
		k.do(in, ctx)
		sleep(ctx, time.Duration(in.rng.Int64N(int64(maxFaultGap))))
	}
	in.mu.Lock()
	in.stopped = true
	in.mu.Unlock()
	in.wg.Wait()
}

// runFault runs begin, waits, and runs end, as one fault on a thing that no
// other fault is under way on.
func (in *injector) runFault(what string, h *Host, on any, d time.Duration, begin, end func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy[on] {
		return
	}
	in.busy[on] = true
	f := &fault{from: time.Now(), description: what, host: h}
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

func (in *injector) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(in.rng.Int64N(int64(hi-lo)))
}

func (in *injector) randomHost() *Host { return in.hosts[in.rng.IntN(len(in.hosts))] }

func (in *injector) randomEndpoint() *endpoint {
	return in.env.endpoints[in.rng.IntN(len(in.env.endpoints))]
}

func (in *injector) killHost(context.Context) {
	h := in.randomHost()
	in.runFault("kill "+h.Name, h, h, in.randomDuration(100*time.Millisecond, 3*time.Second), h.Kill, func() { in.restart(h) })
}

func (in *injector) stopHost(context.Context) {
	h := in.randomHost()
	in.runFault("stop "+h.Name, h, h, 0, h.Stop, func() {
		if !h.AwaitExit(stopGrace) {
			h.Kill()
		}
		in.restart(h)
	})
}

// restart starts a host again once its process is gone.
func (in *injector) restart(h *Host) {
	if !h.AwaitExit(exitTimeout) {
		in.addViolation(fmt.Sprintf("%s: a killed process does not end", h.Name))
		return
	}
	if err := h.Start(); err != nil {
		in.addViolation(err.Error())
	}
}

func (in *injector) pauseHost(context.Context) {
	h := in.randomHost()
	in.runFault("pause "+h.Name, h, h, in.randomDuration(100*time.Millisecond, 8*time.Second), h.Pause, func() {
		in.env.recordResume()
		h.Resume()
		in.env.recordResume()
	})
}

func (in *injector) killUpstream(context.Context) {
	p := in.randomEndpoint()
	lapse := in.randomDuration(time.Second, 2*time.Second)
	var dead *incarnation
	in.runFault("kill upstream "+p.proxy.Addr(), nil, p, in.randomDuration(50*time.Millisecond, 3*time.Second),
		func() {
			dead = in.env.kill(p)
			time.AfterFunc(lapse, func() { in.env.expireEntry(dead) })
		}, func() { in.startUpstream(p) })
}

func (in *injector) startUpstream(p *endpoint) {
	if err := in.env.startUpstream(p); err != nil {
		in.addViolation(err.Error())
	}
}

// forged are entries that no upstream wrote.
var forgedEntries = [][]byte{[]byte("\xff\x00"), []byte(`{"Service":"keyed"}`), []byte(`{"Service":"keyed","Slots":"many"}`)}

const (
	// forgedTime is how long a forged entry stands: the upstream writes its own
	// again with its next heartbeat.
	forgedTime  = 900 * time.Millisecond
	maxForgeGap = 8 * time.Second
)

// forgeEntries has another writer replace upstreams' entries now and then. It
// draws apart from the other faults, which a seed draws as it always did.
func (in *injector) forgeEntries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(in.forgeSeed, 2))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxForgeGap))))
		p := in.env.endpoints[rng.IntN(len(in.env.endpoints))]
		entry := forgedEntries[rng.IntN(len(forgedEntries))]
		in.runFault("forged entry of "+p.proxy.Addr(), nil, &forgedEntries, forgedTime, func() { in.env.forgeEntry(p, entry, forgedTime) }, func() {})
	}
}

// drainUpstream has an upstream leave as planned.
func (in *injector) drainUpstream(context.Context) {
	p := in.randomEndpoint()
	in.runFault("drain upstream "+p.proxy.Addr(), nil, p, 4*time.Second,
		func() { in.env.writeEntry(p.current, true) },
		func() {
			in.env.expireEntry(in.env.kill(p))
			in.startUpstream(p)
		})
}

func (in *injector) frontLink(context.Context) {
	h := in.randomHost()
	in.faultLink("front link of "+h.Name, h, h.Front)
}

func (in *injector) logLink(context.Context) {
	h := in.randomHost()
	in.faultLink("log link of "+h.Name, h, h.Log)
}

func (in *injector) upstreamLink(context.Context) {
	p := in.randomEndpoint()
	in.faultLink("link of upstream "+p.proxy.Addr(), nil, p.proxy)
}

// faultLink makes a proxy misbehave in one of five ways.
func (in *injector) faultLink(what string, h *Host, p *Proxy) {
	d := in.randomDuration(200*time.Millisecond, 5*time.Second)
	heal := func() { p.Cut() }
	switch in.rng.IntN(5) {
	case 0:
		in.runFault("reset "+what, h, p, 0, p.Reset, func() {})
	case 1:
		delay := in.randomDuration(5*time.Millisecond, 80*time.Millisecond)
		in.runFault("delay "+what, h, p, d, func() { p.SetDelay(delay) }, func() { p.SetDelay(0) })
	case 2:
		in.runFault("silence "+what, h, p, d, func() { p.Cut(toTarget, toCaller) }, heal)
	case 3:
		in.runFault("cut to caller "+what, h, p, d, func() { p.Cut(toCaller) }, heal)
	case 4:
		in.runFault("cut to target "+what, h, p, d, func() { p.Cut(toTarget) }, heal)
	}
}

// logOutage makes the log service fail, forget its history, or both; entries
// lapse meanwhile and are back soon after.
func (in *injector) logOutage(context.Context) {
	log := in.env.log
	back := in.randomDuration(200*time.Millisecond, 1800*time.Millisecond)
	switch in.rng.IntN(3) {
	case 0:
		in.runFault("log service forgets", nil, log, 0, log.Compact, func() {})
	default:
		in.runFault("log service down", nil, log, in.randomDuration(300*time.Millisecond, 6*time.Second), func() { log.SetDown(true) }, func() {
			in.env.expireAndRestoreEntries(back)
			log.SetDown(false)
			// Until they are back no other outage may begin.
			time.Sleep(back)
		})
	}
}

func (in *injector) publishDesired(context.Context) {
	if err := in.env.publish(); err != nil {
		in.addViolation(err.Error())
	}
}

func (in *injector) addViolation(what string) {
	in.env.mu.Lock()
	defer in.env.mu.Unlock()
	in.env.violations = append(in.env.violations, what)
}

// faultFree reports whether no fault touched the host's process, the host's links,
// an upstream or the log service between from and to.
func (in *injector) faultFree(h *Host, from, to time.Time, except string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, f := range in.faults {
		over := !f.to.IsZero() && f.to.Before(from)
		if over || f.from.After(to) || (f.host != nil && f.host != h) || f.description == except {
			continue
		}
		return false
	}
	return true
}
