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

// Options configure one run.
type Options struct {
	// Binary is the path of papayatided.
	Binary string
	// Dir is the directory for the hosts' settings and output.
	Dir string
	// Seed seeds the random generators of faults and requests.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// FatalRequests adds fatal requests: each crashes the upstream that runs it.
	FatalRequests bool
	// Evacuate adds evacuations of the far data centre, whose upstreams become
	// cold meanwhile, and slow starts of upstreams that restart.
	Evacuate bool
	// Reports adds upstreams that report rate limits, backoffs and that they are leaving.
	Reports bool
	// HardLoad adds competing classes, uneven upstreams and callers that pipeline, read
	// slowly, disconnect in the middle of a pipeline and upload bodies.
	HardLoad bool
	// PathCuts cuts hosts off from all upstreams. Binary must then be that of package host.
	PathCuts bool
	// LogReturns has the log service return from older copies.
	LogReturns bool
	// KillsBehindCuts kills the planner's process while a cut holds up its grants, which arrive after
	// the cut. Upstreams close idle connections then.
	KillsBehindCuts bool
	// LateWrites has heartbeats of upstreams carried out late, also after they have left.
	LateWrites bool
	// Crowds has clients that do not behave call the hosts, and upstreams send responses that are none or that
	// are cut.
	Crowds bool
	// Hosts, Keyed, Unkeyed and Callers are the numbers of entry hosts, upstreams
	// of the service with keys, upstreams of the service without keys, and callers.
	Hosts, Keyed, Unkeyed, Callers int
}

// Result is the result of a run.
type Result struct {
	// Violations describe the guarantees that did not hold.
	Violations []string
	// Faults describe the injected faults in the order in which they began.
	Faults []string
	// Requests counts the callers' requests, Served those with status 200.
	Requests, Served int
	// ByRoute counts the requests of each route, by its Host header.
	ByRoute map[string]*routeCount
	// Recovered is how long the run waited until every probed key was served through
	// every host, or until recoveryTimeout had passed. The wait begins at the end of
	// the last fault, with Options.Evacuate at the end of the slow starts after it.
	Recovered time.Duration
}

const (
	// startTimeout and recoveryTimeout bound the time until every probed key is
	// served through every host, from the start and from the beginning of the wait
	// that Result.Recovered measures.
	startTimeout    = 15 * time.Second
	recoveryTimeout = 15 * time.Second
	// quietPeriod is how long callers continue without faults after the recovery.
	quietPeriod = 2 * time.Second
	// minServedShare is the share of requests that must be served in quietPeriod.
	minServedShare = 0.95
)

// Run starts the hosts and the environment, makes one run with the given options and
// stops everything. An error means that the run could not start.
func Run(ctx context.Context, opts Options) (*Result, error) {
	slow := desired.SlowStart{}
	if opts.Evacuate {
		slow = slowStart
	}
	var paceRNG *rand.Rand
	if opts.HardLoad {
		paceRNG = rand.New(rand.NewPCG(opts.Seed, 9))
	}
	idleTimeout := time.Duration(0)
	if opts.KillsBehindCuts {
		idleTimeout = upstreamIdleTimeout
	}
	env, err := newEnvironment(opts.Keyed, opts.Unkeyed, slow, paceRNG, idleTimeout)
	if err != nil {
		return nil, err
	}
	defer env.shutDown()
	var hosts []*Host
	for i := range opts.Hosts {
		h, err := newHost(fmt.Sprint("host-", i), opts.Binary, opts.Dir, env.logAddr)
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
	return runScenario(ctx, opts, env, hosts), nil
}

// hostDiagnostics returns for each host the failures of its process and the last line
// that it wrote.
func hostDiagnostics(hosts []*Host) string {
	var out []string
	for _, h := range hosts {
		out = append(out, fmt.Sprintf("%s %v %s", h.Name, h.Failures(), h.lastOutputLine()))
	}
	return strings.Join(out, "; ")
}

// runScenario runs callers and faults, waits for the recovery, lets the callers run on
// for quietPeriod and checks the outcomes.
func runScenario(ctx context.Context, opts Options, env *Environment, hosts []*Host) *Result {
	cctx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	c := &callers{hosts: hosts}
	var wg sync.WaitGroup
	wg.Go(func() { c.pollReadiness(cctx) })
	for i := range opts.Callers {
		wg.Go(func() { c.run(cctx, opts.Seed*1000+uint64(i)) })
	}
	if opts.HardLoad {
		wg.Go(func() { env.varyPaces(cctx, opts.Seed) })
		for i := range pipeliningCallers {
			wg.Go(func() { c.runPipelining(cctx, opts.Seed*1000+uint64(i)) })
		}
	}
	in := &injector{env: env, hosts: hosts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), forgeSeed: opts.Seed,
		downtimeRNG: rand.New(rand.NewPCG(opts.Seed, 3)), busy: map[any]bool{}}
	fctx, cancel := context.WithTimeout(ctx, opts.FaultDuration)
	if opts.FatalRequests {
		// The crashes count as faults, so the requests stop when the faults stop.
		env.setCrashOn(in.crashUpstream)
		in.wg.Go(func() { c.sendFatalRequests(fctx, opts.Seed) })
	}
	if opts.Evacuate {
		in.wg.Go(func() { in.runEvacuations(fctx, opts.Seed) })
	}
	if opts.Reports {
		in.wg.Go(func() { in.runReports(fctx, opts.Seed) })
	}
	if opts.PathCuts {
		in.wg.Go(func() { in.runPathCuts(fctx, opts.Seed) })
	}
	if opts.LogReturns {
		in.wg.Go(func() { in.runLogReturns(fctx, opts.Seed) })
	}
	if opts.KillsBehindCuts {
		in.wg.Go(func() { in.runKillsBehindCuts(fctx, opts.Seed) })
	}
	if opts.LateWrites {
		in.wg.Go(func() { in.runLateWrites(fctx, opts.Seed) })
	}
	if opts.Crowds {
		in.wg.Go(func() { in.runCrowds(fctx, opts.Seed) })
	}
	in.run(fctx)
	cancel()
	if opts.Evacuate {
		sleep(ctx, slowStart.Duration+heartbeatInterval) // the upstreams that became cold last are warm then
	}
	r := &Result{}
	took, key := awaitServed(hosts, recoveryTimeout)
	r.Recovered = took
	if key >= 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("RECOVER: key %d is not served %v after the last fault and any slow starts after it", key, took))
	}
	if opts.PathCuts {
		in.runCalmPathCuts(ctx, opts.Seed)
	}
	quietFrom := time.Now()
	sleep(ctx, quietPeriod)
	stopCallers()
	wg.Wait()
	r.summarize(c, env, in, quietFrom)
	return r
}

// summarize counts and checks the outcomes and adds them to the result.
func (r *Result) summarize(c *callers, env *Environment, in *injector, quietFrom time.Time) {
	quiet, quietServed := 0, 0
	for _, o := range c.outcomes {
		r.Requests++
		ok := o.err == nil && o.status == http.StatusOK
		if ok {
			r.Served++
		}
		if o.began.After(quietFrom) && !o.responseOptional {
			quiet++
			if ok {
				quietServed++
			}
		}
	}
	if float64(quietServed) < minServedShare*float64(quiet) {
		r.Violations = append(r.Violations, fmt.Sprintf("RECOVER: %d of %d requests served in the quiet period after the faults", quietServed, quiet))
	}
	r.ByRoute = countByRoute(c.outcomes, quietFrom)
	r.Violations = append(r.Violations, env.checkClasses(r.ByRoute)...)
	r.Violations = append(r.Violations, checkOutcomes(c.outcomes, env.runsByRequest(), in)...)
	r.Violations = append(r.Violations, in.checkFatalRequests(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkColdUpstreams(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkReports(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkDepartures(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkEvacuated(c.outcomes)...)
	r.Violations = append(r.Violations, in.checkPathCuts(c.outcomes)...)
	env.mu.Lock()
	r.Violations = append(r.Violations, env.violations...)
	env.mu.Unlock()
	for _, h := range in.hosts {
		r.Violations = append(r.Violations, h.Failures()...)
	}
	for _, f := range in.faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%s to %s %s", f.from.Format(timestampFormat), f.to.Format(timestampFormat), f.description))
	}
}

// probedKeys is the number of keys, evenly spread over the key space, that
// awaitServed requests.
const probedKeys = 16

// awaitServed waits up to d until every probed key has been served through every
// host. It returns the time taken and the first key that was not served, or -1.
func awaitServed(hosts []*Host, d time.Duration) (time.Duration, int) {
	start := time.Now()
	hc := &http.Client{Timeout: time.Second}
	defer hc.CloseIdleConnections()
	for i := 0; i < probedKeys*len(hosts); {
		o := &outcome{id: fmt.Sprint("probe-", time.Now().UnixNano()), host: hosts[i%len(hosts)]}
		key := i / len(hosts) * (ownership.KeySpaceSize / probedKeys)
		o.roundTrip(context.Background(), hc, http.MethodGet, readVHost, normalPath, nil, key)
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
