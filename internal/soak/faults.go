package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// fault is an injected fault. to is zero while the fault lasts.
type fault struct {
	from, to time.Time
	// description names the kind of fault and the host, upstream or link that it
	// affects. Some checks match parts of it.
	description string
	// pathCut is set if host is cut off from all upstreams.
	pathCut bool
	// host is the host whose process or link is affected; nil for faults of
	// upstreams and of the log service.
	host *Host
}

// injector injects faults that it draws from a seed. Faults may overlap.
type injector struct {
	env   *Environment
	hosts []*Host
	rng   *rand.Rand
	// forgeSeed seeds forgeEntries.
	forgeSeed uint64

	wg     sync.WaitGroup
	mu     sync.Mutex
	faults []*fault
	// stopped is set when no more faults may begin.
	stopped bool
	// downtimeRNG draws the downtimes after crashes caused by fatal requests. It is
	// separate from rng, so the other faults of a seed do not depend on them.
	downtimeRNG *rand.Rand
	// crashes are the crashes of upstreams caused by fatal requests, in order.
	crashes []crash
	// reports are the reports that upstreams began to send with their responses.
	reports []report
	// pathCuts are the cuts of hosts from all upstreams that have ended.
	pathCuts []*pathCut
	// evacuations are the times for which farDC was evacuated.
	evacuations []evacuation
	// departures are the upstreams that have left after a heartbeat that was carried out late.
	departures []departure
	// busy holds the hosts, endpoints, proxies and others that a fault affects now.
	// Of two faults on the same one, the first to end would undo the other.
	busy map[any]bool
}

const (
	// maxFaultGap is the longest pause between the starts of two faults.
	maxFaultGap = 900 * time.Millisecond
	// stopGrace is how long a host may take to stop before it is killed, as the
	// platform does.
	stopGrace = 6 * time.Second
)

// faultKinds are the kinds of faults, drawn with equal probability. Their order
// decides which faults a seed draws.
var faultKinds = []struct {
	name   string
	inject func(*injector, context.Context)
}{
	{"kill host", (*injector).killHost},
	{"stop host", (*injector).stopHost},
	{"pause host", (*injector).pauseHost},
	{"kill upstream", (*injector).killUpstream},
	{"drain upstream", (*injector).drainUpstream},
	{"front link", (*injector).frontLink},
	{"log link", (*injector).logLink},
	{"upstream link", (*injector).upstreamLink},
	{"log outage", (*injector).faultLogService},
	{"new desired state", (*injector).publishDesired},
}

// run injects faults until ctx ends, then waits until all faults have ended.
func (in *injector) run(ctx context.Context) {
	in.wg.Go(func() { in.forgeEntries(ctx) })
	for ctx.Err() == nil {
		k := faultKinds[in.rng.IntN(len(faultKinds))]
		k.inject(in, ctx)
		sleep(ctx, time.Duration(in.rng.Int64N(int64(maxFaultGap))))
	}
	in.mu.Lock()
	in.stopped = true
	in.mu.Unlock()
	in.wg.Wait()
}

// runFault records a fault and, in a goroutine, calls begin, waits for d and calls
// end. It does nothing if on, which identifies what the fault affects, is busy.
func (in *injector) runFault(description string, h *Host, on any, d time.Duration, begin, end func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy[on] {
		return
	}
	in.busy[on] = true
	f := &fault{from: time.Now(), description: description, host: h}
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

// randomDuration returns a duration of at least lo and less than hi.
func (in *injector) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(in.rng.Int64N(int64(hi-lo)))
}

func (in *injector) randomHost() *Host { return in.hosts[in.rng.IntN(len(in.hosts))] }

func (in *injector) randomEndpoint() *endpoint {
	return in.env.endpoints[in.rng.IntN(len(in.env.endpoints))]
}

// killHost kills a host's process and starts it again after a while.
func (in *injector) killHost(context.Context) {
	h := in.randomHost()
	in.runFault("kill "+h.Name, h, h, in.randomDuration(100*time.Millisecond, 3*time.Second), h.Kill, func() { in.restart(h) })
}

// stopHost shuts a host's process down gracefully, kills it if it has not exited within
// stopGrace, and starts it again.
func (in *injector) stopHost(context.Context) {
	h := in.randomHost()
	in.runFault("stop "+h.Name, h, h, 0, h.Stop, func() {
		if !h.AwaitExit(stopGrace) {
			h.Kill()
		}
		in.restart(h)
	})
}

// restart starts a host again once its process has exited.
func (in *injector) restart(h *Host) {
	if !h.AwaitExit(exitTimeout) {
		in.addViolation(fmt.Sprintf("%s: killed process has not exited", h.Name))
		return
	}
	if err := h.Start(); err != nil {
		in.addViolation(err.Error())
	}
}

// pauseHost suspends a host's process for a while.
func (in *injector) pauseHost(context.Context) {
	h := in.randomHost()
	in.runFault("pause "+h.Name, h, h, in.randomDuration(100*time.Millisecond, 8*time.Second), h.Pause, func() {
		in.env.recordResume()
		h.Resume()
		in.env.recordResume()
	})
}

// killUpstream kills an upstream and starts it again after a while. Its entry expires
// before or after that.
func (in *injector) killUpstream(context.Context) {
	ep := in.randomEndpoint()
	expireAfter := in.randomDuration(time.Second, 2*time.Second)
	var killed *incarnation
	in.runFault("kill upstream "+ep.proxy.Addr(), nil, ep, in.randomDuration(50*time.Millisecond, 3*time.Second),
		func() {
			killed = in.env.kill(ep)
			time.AfterFunc(expireAfter, func() { in.env.expireEntry(killed) })
		}, func() { in.startUpstream(ep) })
}

// startUpstream starts the endpoint's next incarnation and records an error as a
// violation.
func (in *injector) startUpstream(ep *endpoint) {
	if err := in.env.startUpstream(ep); err != nil {
		in.addViolation(err.Error())
	}
}

// forgedEntries are invalid entries that no upstream writes.
var forgedEntries = [][]byte{[]byte("\xff\x00"), []byte(`{"Service":"keyed"}`), []byte(`{"Service":"keyed","Slots":"many"}`)}

const (
	// forgedTime is how long a forged entry stays: with its next heartbeat the
	// upstream writes its own entry again.
	forgedTime = 900 * time.Millisecond
	// maxForgeGap is the longest pause between two forged entries.
	maxForgeGap = 8 * time.Second
)

// forgeEntries replaces entries of upstreams by invalid ones until ctx ends. It has
// its own random generator, so the other faults of a seed do not depend on it.
func (in *injector) forgeEntries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(in.forgeSeed, 2))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxForgeGap))))
		ep := in.env.endpoints[rng.IntN(len(in.env.endpoints))]
		entry := forgedEntries[rng.IntN(len(forgedEntries))]
		in.runFault("forged entry of "+ep.proxy.Addr(), nil, &forgedEntries, forgedTime, func() { in.env.forgeEntry(ep, entry, forgedTime) }, func() {})
	}
}

// drainUpstream marks an upstream's entry as leaving, kills the upstream 4 s later and
// starts the next incarnation. The violation DRAIN does not cover this fault: it is about
// upstreams that report in responses that they are leaving.
func (in *injector) drainUpstream(context.Context) {
	ep := in.randomEndpoint()
	in.runFault("drain upstream "+ep.proxy.Addr(), nil, ep, 4*time.Second,
		func() {
			in.env.mu.Lock()
			defer in.env.mu.Unlock()
			in.env.writeEntry(ep.current, true)
		},
		func() {
			in.env.expireEntry(in.env.kill(ep))
			in.startUpstream(ep)
		})
}

// frontLink injects a fault into the connections between callers and a host.
func (in *injector) frontLink(context.Context) {
	h := in.randomHost()
	in.faultLink("front link of "+h.Name, h, h.Front)
}

// logLink injects a fault into the connections of a host to the log service.
func (in *injector) logLink(context.Context) {
	h := in.randomHost()
	in.faultLink("log link of "+h.Name, h, h.Log)
}

// upstreamLink injects a fault into the connections of all hosts to an upstream.
func (in *injector) upstreamLink(context.Context) {
	ep := in.randomEndpoint()
	in.faultLink("link of upstream "+ep.proxy.Addr(), nil, ep.proxy)
}

// faultLink resets or delays the connections of a proxy or drops their data in one or
// both directions. name describes the link; h is its host, or nil for an upstream's. In
// the descriptions, "silence" is a cut in both directions, and caller and target are the
// client and the server of the link.
func (in *injector) faultLink(name string, h *Host, p *Proxy) {
	d := in.randomDuration(200*time.Millisecond, 5*time.Second)
	heal := func() { p.Cut() }
	switch in.rng.IntN(5) {
	case 0:
		in.runFault("reset "+name, h, p, 0, p.Reset, func() {})
	case 1:
		delay := in.randomDuration(5*time.Millisecond, 80*time.Millisecond)
		in.runFault("delay "+name, h, p, d, func() { p.SetDelay(delay) }, func() { p.SetDelay(0) })
	case 2:
		in.runFault("silence "+name, h, p, d, func() { p.Cut(toServer, toClient) }, heal)
	case 3:
		in.runFault("cut to caller "+name, h, p, d, func() { p.Cut(toClient) }, heal)
	case 4:
		in.runFault("cut to target "+name, h, p, d, func() { p.Cut(toServer) }, heal)
	}
}

// faultLogService compacts the log, which drops all but the newest record of each key, or
// makes the log service fail for a while. During an outage all entries of
// upstreams expire; they are written again soon after its end.
func (in *injector) faultLogService(context.Context) {
	log := in.env.log
	restoreAfter := in.randomDuration(200*time.Millisecond, 1800*time.Millisecond)
	switch in.rng.IntN(3) {
	case 0:
		in.runFault("log service forgets", nil, log, 0, log.Compact, func() {})
	default:
		in.runFault("log service down", nil, log, in.randomDuration(300*time.Millisecond, 6*time.Second), func() { log.SetDown(true) }, func() {
			in.env.expireAndRestoreEntries(restoreAfter)
			log.SetDown(false)
			// No other outage may begin until the entries are written again.
			time.Sleep(restoreAfter)
		})
	}
}

// publishDesired publishes the next version of the desired state.
func (in *injector) publishDesired(context.Context) {
	if err := in.env.publish(); err != nil {
		in.addViolation(err.Error())
	}
}

// addViolation records a violation.
func (in *injector) addViolation(violation string) {
	in.env.mu.Lock()
	defer in.env.mu.Unlock()
	in.env.violations = append(in.env.violations, violation)
}

// faultFree reports whether no fault affected the host's process, its links, any
// upstream or the log service between from and to. It ignores faults whose description
// is except.
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
