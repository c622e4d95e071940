package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/ownership"
)

// Options shape one run.
type Options struct {
	// Binary is papayatided.
	Binary string
	// Dir takes settings and the hosts' output.
	Dir string
	// Seed draws the faults and the requests.
	Seed uint64
	// Faults is how long faults are injected.
	Faults time.Duration
	// CrashRequests has callers ask for requests that end the upstreams that run them.
	CrashRequests bool
	// Evacuate has the far data centre evacuated and taken back, cold, now and
	// then, and upstreams that come back start slowly.
	Evacuate bool
	// Reports has upstreams report rate limits, rests and that they leave.
	Reports bool
	// Hosts, Keyed, Plain and Callers are how many there are of each.
	Hosts, Keyed, Plain, Callers int
}

// Report is what a run saw.
type Report struct {
	// Violations are promises that were not kept.
	Violations []string
	// Faults are what was injected, in order.
	Faults []string
	// Requests and Served count the callers' requests and those answered
	// with success.
	Requests, Served int
	// Recovered is how long after the last fault every key was served
	// through every host.
	Recovered time.Duration
}

const (
	// startTimeout and recoverWithin bound the time until every key is served
	// through every host, from the start and from the last fault's end.
	startTimeout    = 15 * time.Second
	recoveryTimeout = 15 * time.Second
	// quietPeriod is how long callers go on after everything is served again.
	quietPeriod = 2 * time.Second
	// minServedShare is the least share of their requests that is served.
	minServedShare = 0.95
)

// Run makes one run.
func Run(ctx context.Context, opts Options) (*Report, error) {
	slow := desired.SlowStart{}
	if opts.Evacuate {
		slow = slowStart
	}
	w, err := newEnvironment(opts.Keyed, opts.Plain, slow)
	if err != nil {
		return nil, err
	}
	defer w.shutDown()
	var hosts []*Host
	for i := range opts.Hosts {
		h, err := newHost(fmt.Sprint("host-", i), opts.Binary, opts.Dir, w.logAddr)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
		defer h.shutDown()
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	if took, key := awaitServed(hosts, startTimeout); key >= 0 {
		return nil, eris.Errorf("key %d is not served %v after the start; hosts: %s", key, took, hostDiagnostics(hosts))
	}
	return runScenario(ctx, opts, w, hosts), nil
}

// hostDiagnostics tells of each host how its process ended, if it did, and the last line
// that it wrote.
func hostDiagnostics(hosts []*Host) string {
	var out []string
	for _, h := range hosts {
		out = append(out, fmt.Sprintf("%s %v %s", h.Name, h.Failures(), h.lastOutputLine()))
	}
	return strings.Join(out, "; ")
}

// runScenario lets callers, faults and the calm after them run, and checks.
func runScenario(ctx context.Context, opts Options, w *Environment, hosts []*Host) *Report {
	cctx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	c := &callers{hosts: hosts}
	var wg sync.WaitGroup
	wg.Go(func() { c.pollReadiness(cctx) })
	for i := range opts.Callers {
		wg.Go(func() { c.run(cctx, opts.Seed*1000+uint64(i)) })
	}
	in := &injector{env: w, hosts: hosts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), forgeSeed: opts.Seed,
		downtimeRNG: rand.New(rand.NewPCG(opts.Seed, 3)), busy: map[any]bool{}}
	fctx, cancel := context.WithTimeout(ctx, opts.Faults)
	if opts.CrashRequests {
		// They are faults too: what they end is down while they are asked for.
		w.setCrashOn(in.crashUpstream)
		in.wg.Go(func() { c.sendFatalRequests(fctx, opts.Seed) })
	}
	if opts.Evacuate {
		in.wg.Go(func() { in.runEvacuations(fctx, opts.Seed) })
	}
	if opts.Reports {
		in.wg.Go(func() { in.runReports(fctx, opts.Seed) })
	}
	in.run(fctx)
	cancel()
	if opts.Evacuate {
		sleep(ctx, slowStart.Duration+heartbeatInterval) // the last ones to come back are cold until then
	}
	r := &Report{}
	took, key := awaitServed(hosts, recoveryTimeout)
	r.Recovered = took
	if key >= 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("RECOVER: key %d is not served %v after the last fault", key, took))
	}
	calmFrom := time.Now()
	sleep(ctx, quietPeriod)
	stopCallers()
	wg.Wait()
	r.summarize(c, w, in, calmFrom)
	return r
}

// summarize checks what was seen and writes it into the report.
func (r *Report) summarize(c *callers, w *Environment, in *injector, calmFrom time.Time) {
	calm, calmServed := 0, 0
	for _, o := range c.outcomes {
		r.Requests++
		ok := o.err == nil && o.status == http.StatusOK
		if ok {
			r.Served++
		}
		if o.began.After(calmFrom) && !o.canceled {
			calm++
			if ok {
				calmServed++
			}
		}
	}
	if float64(calmServed) < minServedShare*float64(calm) {
		r.Violations = append(r.Violations, fmt.Sprintf("RECOVER: %d of %d requests served once all was calm", calmServed, calm))
	}
	r.Violations = append(r.Violations, checkOutcomes(c.outcomes, w.executions(), in)...)
	r.Violations = append(r.Violations, in.checkFatalRequests(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkColdUpstreams()...)
	r.Violations = append(r.Violations, in.checkReports(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkEvacuated(c.outcomes)...)
	w.mu.Lock()
	r.Violations = append(r.Violations, w.violations...)
	w.mu.Unlock()
	for _, h := range in.hosts {
		r.Violations = append(r.Violations, h.Failures()...)
	}
	for _, f := range in.faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%s to %s %s", f.from.Format(timestampFormat), f.to.Format(timestampFormat), f.description))
	}
}

// probes is how many keys, evenly spread, stand for all.
const probedKeys = 16

// awaitServed waits until the probed keys are served through every host. It
// returns the time that took, and a key that was not served within d or -1.
func awaitServed(hosts []*Host, d time.Duration) (time.Duration, int) {
	start := time.Now()
	hc := &http.Client{Timeout: time.Second}
	defer hc.CloseIdleConnections()
	for i := 0; i < probedKeys*len(hosts); {
		o := &outcome{id: fmt.Sprint("probe-", time.Now().UnixNano()), host: hosts[i%len(hosts)]}
		key := i / len(hosts) * (ownership.KeySpaceSize / probedKeys)
		o.roundTrip(context.Background(), hc, http.MethodGet, readHost, normalPath, nil, key)
		if o.err == nil && o.status == http.StatusOK {
			i++
			continue
		}
		if time.Since(start) > d {
			return time.Since(start), key
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start), -1
}
