package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/papayatide/papayatide/platform/standin"
)

const (
	// browseVHost and uploadVHost are the Host headers of the further routes to
	// unkeyedService of Options.HardLoad.
	browseVHost, uploadVHost = "browse.example", "upload.example"
	// urgentObjective is the objective of the urgent route, browseObjective that of the
	// others. The latter leaves time for browsing requests at the slowest upstream in a
	// slow moment (270 ms).
	urgentObjective, browseObjective = 300 * time.Millisecond, 500 * time.Millisecond
	// maxUploadBytes is the size of the largest upload.
	maxUploadBytes = 360 << 10
	// browseWork is the work of a browsing request, in that of an urgent one.
	browseWork = 3
	// fastestPace and paceSpread give work times of 13 to 30 ms, whose geometric mean is
	// workTime.
	fastestPace, paceSpread = 0.66, 2.3
	// In each period of slowMoment, one upstream in slowUpstreamOneIn takes slowFactor times
	// as long.
	slowMoment                    = 400 * time.Millisecond
	slowUpstreamOneIn, slowFactor = 5, 3.0
	// minClassFraction is the fraction of the arrivals that each of the two classes of
	// unkeyedService needs for the service to be contended.
	minClassFraction = 0.1
)

// hardLoadRoutes are the routes of Options.HardLoad. Requests of unkeyedVHost are urgent and
// compete with those of browseVHost and uploadVHost.
var hardLoadRoutes = []standin.Route{{Host: readVHost, Service: keyedService, Idempotent: true}, {Host: chargeVHost, Service: keyedService},
	{Host: unkeyedVHost, Service: unkeyedService, Objective: urgentObjective},
	{Host: browseVHost, Service: unkeyedService, Idempotent: true, Priority: 1, Objective: browseObjective},
	{Host: uploadVHost, Service: unkeyedService, Priority: 1, Objective: browseObjective, MaxBodyBytes: maxUploadBytes}}

// pace is how fast an endpoint's upstreams work.
type pace struct {
	// factor multiplies all work times.
	factor      float64
	reportsLoad bool
	// slow is set in slow moments.
	slow atomic.Bool
}

// drawPaces returns the paces of a service's n upstreams, in random order: evenly spread from
// fastestPace to paceSpread times that. Every other one reports its load.
func drawPaces(rng *rand.Rand, n int) []*pace {
	out, reporting := make([]*pace, n), rng.Perm(n)
	for i, rank := range rng.Perm(n) {
		out[i] = &pace{factor: fastestPace * math.Pow(paceSpread, float64(rank)/float64(max(n-1, 1))), reportsLoad: reporting[i]%2 == 0}
	}
	return out
}

// work returns how long a request that starts now takes, and the factor of a slow moment.
func (p *pace) work(r *http.Request) (time.Duration, float64) {
	work, factor := p.factor*float64(workTime), 1.0
	if r.Host == browseVHost {
		work *= browseWork
	}
	if p.slow.Load() {
		factor = slowFactor
	}
	return time.Duration(work * factor), factor
}

// varyPaces draws the slow moments of all upstreams until ctx ends. It has its own random
// generator, so the faults of a seed do not depend on it.
func (env *Environment) varyPaces(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 10))
	for ctx.Err() == nil {
		for _, ep := range env.endpoints {
			ep.pace.slow.Store(rng.IntN(slowUpstreamOneIn) == 0)
		}
		sleep(ctx, slowMoment)
	}
}

// routeCount counts a route's requests, and those in the quiet period whose responses are
// not optional.
type routeCount struct{ all, quiet, quietServed int }

// countByRoute counts the outcomes by the Host header.
func countByRoute(outcomes []*outcome, quietFrom time.Time) map[string]*routeCount {
	out := map[string]*routeCount{}
	for _, o := range outcomes {
		if out[o.vhost] == nil {
			out[o.vhost] = &routeCount{}
		}
		n := out[o.vhost]
		n.all++
		if o.began.After(quietFrom) && !o.responseOptional {
			n.quiet++
			if o.err == nil && o.status == http.StatusOK {
				n.quietServed++
			}
		}
	}
	return out
}

// checkClasses returns the routes that are not served in the quiet period, and a violation if
// too few requests of a class arrived for unkeyedService to be contended. It checks only runs
// with Options.HardLoad.
func (env *Environment) checkClasses(counts map[string]*routeCount) (bad []string) {
	if env.endpoints[0].pace == nil {
		return nil
	}
	arrivals, total := map[int]int{}, 0
	for _, route := range env.routes {
		n := counts[route.Host]
		if n == nil {
			n = &routeCount{}
		}
		// One request may fail on a route with few.
		if n.quietServed == 0 || float64(n.quiet-n.quietServed) > max((1-minServedShare)*float64(n.quiet), 1) {
			bad = append(bad, fmt.Sprintf("RECOVER: %d of %d requests of route %s served in the quiet period after the faults", n.quietServed, n.quiet, route.Host))
		}
		if route.Service == unkeyedService {
			arrivals[route.Priority] += n.all
			total += n.all
		}
	}
	for priority, n := range arrivals {
		if float64(n) < minClassFraction*float64(total) {
			bad = append(bad, fmt.Sprintf("%d of %d requests of %s have priority %d: it was not contended", n, total, unkeyedService, priority))
		}
	}
	return bad
}
