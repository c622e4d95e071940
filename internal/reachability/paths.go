package reachability

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

const (
	// probeTimeout bounds a probe. Connecting takes 2 ms, and longer on a host without CPU time.
	probeTimeout = 200 * time.Millisecond
	// hedgeDelay is how long the first probe may take before the others begin.
	hedgeDelay = 20 * time.Millisecond
	// maxProbes is how many upstreams are probed before this host counts as cut off, minProbes how
	// many it must know besides the one that failed.
	maxProbes, minProbes = 4, 2
	// verdictTTL is how long a successful probe answers for further failures.
	verdictTTL = 200 * time.Millisecond
	// recheckInterval is the time between the probes of a host that is cut off; each goes to
	// recheckProbes upstreams.
	recheckInterval = 250 * time.Millisecond
	recheckProbes   = 2
	// waitingThreshold is how long requests must wait, and nothing arrive from any upstream, before
	// that is a reason to probe. It doubles with each probe that succeeds, up to
	// maxWaitingThreshold, until something arrives.
	waitingThreshold    = 400 * time.Millisecond
	maxWaitingThreshold = 3200 * time.Millisecond
	// minWaitingUpstreams is the number of upstreams at which requests must wait.
	minWaitingUpstreams = 2
	// heardWindow is how recently something must have arrived from an upstream for open
	// connections to count as working.
	heardWindow = 300 * time.Millisecond
	// watchInterval is how often Run looks at the requests that wait.
	watchInterval = 100 * time.Millisecond
)

// Paths infers whether this host has lost its paths to all upstreams. Then its failed attempts
// show nothing about an upstream. It is safe for concurrent use.
type Paths struct {
	// Probe opens a connection to an upstream, and fails if the upstream does not accept it.
	Probe func(context.Context, *catalogue.Upstream) error
	// Upstreams returns the upstreams that this host knows.
	Upstreams func() *catalogue.Snapshot
	// OnChange is called when this host is cut off, or no longer.
	OnChange func(PathChange)

	localDataCentre string
	cutOff          atomic.Bool

	mu sync.Mutex
	// heardAt is when something last arrived from an upstream, reachedAt when a probe last
	// succeeded, and cutOffAt since when this host is cut off.
	heardAt, reachedAt, cutOffAt time.Time
	threshold                    time.Duration
	sends                        map[*PathSend]struct{}
	// probing is closed when the probes under way have ended; nil if there are none.
	probing chan struct{}
}

// PathChange is a change of whether this host is cut off from all upstreams.
type PathChange struct {
	CutOff bool
	// At is when it was found, HeardAt when something last arrived from an upstream before.
	At, HeardAt time.Time
	// Probed counts the upstreams that were probed, Refused those of them that refused to connect.
	Probed, Refused int
	// Lasted is how long this host was cut off; 0 if CutOff is set.
	Lasted time.Duration
}

// PathSend is an attempt at an upstream.
type PathSend struct {
	paths    *Paths
	upstream string
	at       time.Time
	// abandon ends the attempt; nil if it must not be repeated.
	abandon func()
}

// NewPaths returns the paths of a host in localDataCentre, which is not cut off. Probe and Upstreams
// must be set before the first use.
func NewPaths(localDataCentre string) *Paths {
	return &Paths{localDataCentre: localDataCentre, Upstreams: func() *catalogue.Snapshot { return catalogue.NewSnapshot(nil) }, OnChange: func(PathChange) {},
		Probe:     func(context.Context, *catalogue.Upstream) error { return nil },
		threshold: waitingThreshold, sends: map[*PathSend]struct{}{}}
}

// CutOff reports whether this host has lost its paths to all upstreams.
func (p *Paths) CutOff() bool { return p.cutOff.Load() }

// HeardWithin reports whether something arrived from an upstream in the last d.
func (p *Paths) HeardWithin(d time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heardAt) <= d
}

// Start records an attempt at an upstream; End must be called when it ends. abandon, if not nil,
// is called when this host is found to be cut off and open connections are silent too.
func (p *Paths) Start(upstream string, abandon func(), now time.Time) *PathSend {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &PathSend{paths: p, upstream: upstream, at: now, abandon: abandon}
	p.sends[s] = struct{}{}
	return s
}

// End records the end of the attempt. heard is set if the upstream's host has responded.
func (s *PathSend) End(heard bool, now time.Time) {
	p := s.paths
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sends, s)
	if heard {
		p.heardAt, p.threshold = now, waitingThreshold
	}
}

// Explains reports whether this host's paths are the reason for a failed attempt at an upstream:
// whether it is cut off. It probes other upstreams, unless that is known. refused is set if
// the connection was refused, so that open connections may still work.
func (p *Paths) Explains(ctx context.Context, upstream string, refused bool) bool {
	now := time.Now()
	if p.CutOff() {
		return true
	}
	if !refused && p.HeardWithin(heardWindow, now) {
		return false
	}
	done := p.startProbing(upstream, now)
	if done == nil {
		return p.CutOff()
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return p.CutOff()
}

// startProbing probes upstreams other than the given one, unless probes are under way. It returns a
// channel that is closed when they have ended, nil if the last verdict still holds.
func (p *Paths) startProbing(except string, now time.Time) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing == nil {
		if now.Sub(p.reachedAt) < verdictTTL {
			return nil
		}
		done := make(chan struct{})
		p.probing = done
		go func() {
			p.judge(p.sample(except, maxProbes), now)
			p.mu.Lock()
			p.probing = nil
			p.mu.Unlock()
			close(done)
		}()
	}
	return p.probing
}

// judge probes the upstreams, the first one alone, and decides whether this host is cut off.
func (p *Paths) judge(targets []*catalogue.Upstream, began time.Time) {
	if len(targets) < minProbes {
		return
	}
	errs := p.probe(targets, hedgeDelay)
	if errs == nil {
		p.mu.Lock()
		p.reachedAt = time.Now()
		p.mu.Unlock()
		return
	}
	refused := 0
	for _, err := range errs {
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		}
	}
	p.mu.Lock()
	now := time.Now()
	silent := p.heardAt.Before(began)
	if refused < len(errs) && !silent {
		p.reachedAt = now // something arrived while the probes failed
		p.mu.Unlock()
		return
	}
	change := PathChange{CutOff: true, At: now, HeardAt: p.heardAt, Probed: len(errs), Refused: refused}
	p.cutOffAt = now
	p.cutOff.Store(true)
	abandoned := p.silentSends(refused < len(errs) || silent && now.Sub(p.heardAt) > heardWindow)
	p.mu.Unlock()
	p.OnChange(change)
	for _, s := range abandoned {
		s.abandon()
	}
}

// silentSends returns the attempts to abandon; none unless open connections are silent. The caller
// holds mu.
func (p *Paths) silentSends(silent bool) []*PathSend {
	var out []*PathSend
	for s := range p.sends {
		if silent && s.abandon != nil {
			out = append(out, s)
		}
	}
	return out
}

// probe probes the upstreams: the first one, and if that has not succeeded within hedge all others
// at once. It returns nil as soon as one succeeds, and otherwise the errors of all.
func (p *Paths) probe(targets []*catalogue.Upstream, hedge time.Duration) []error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+hedge)
	defer cancel()
	results := make(chan error, len(targets))
	start := func(u *catalogue.Upstream) { go func() { results <- p.Probe(ctx, u) }() }
	start(targets[0])
	timer := time.NewTimer(hedge)
	defer timer.Stop()
	started := 1
	var errs []error
	for len(errs) < len(targets) {
		select {
		case err := <-results:
			if err == nil {
				return nil
			}
			errs = append(errs, err)
		case <-timer.C:
		}
		for ; started < len(targets); started++ {
			start(targets[started])
		}
	}
	return errs
}

// sample returns up to n upstreams other than the given one: first one of this data centre, then
// of other data centres and services as far as there are any, at random among equals.
func (p *Paths) sample(except string, n int) []*catalogue.Upstream {
	var candidates []*catalogue.Upstream
	for id, u := range p.Upstreams().ByID {
		if id != except && !u.Draining() && !u.Unlisted {
			candidates = append(candidates, u)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var out []*catalogue.Upstream
	for len(out) < n && len(candidates) > 0 {
		best := 0
		for i, u := range candidates {
			if p.preference(u, out) > p.preference(candidates[best], out) {
				best = i
			}
		}
		out = append(out, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return out
}

// preference returns how much a probe of u adds to those of the others.
func (p *Paths) preference(u *catalogue.Upstream, others []*catalogue.Upstream) int {
	if len(others) == 0 {
		if u.DataCentre == p.localDataCentre {
			return 1
		}
		return 0
	}
	points := 3
	if slices.ContainsFunc(others, func(o *catalogue.Upstream) bool { return o.DataCentre == u.DataCentre }) {
		points -= 2
	}
	if slices.ContainsFunc(others, func(o *catalogue.Upstream) bool { return o.Service == u.Service }) {
		points--
	}
	return points
}

// Run watches the attempts that wait, and probes while this host is cut off, until ctx ends.
func (p *Paths) Run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	nextRecheck := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if !p.CutOff() {
				p.watch(now)
				nextRecheck = now.Add(recheckInterval)
			} else if !now.Before(nextRecheck) {
				p.recheck()
				nextRecheck = time.Now().Add(recheckInterval)
			}
		}
	}
}

// watch begins probes if attempts wait at several upstreams and nothing has arrived from any.
func (p *Paths) watch(now time.Time) {
	p.mu.Lock()
	waiting := map[string]bool{}
	for s := range p.sends {
		if now.Sub(s.at) >= p.threshold {
			waiting[s.upstream] = true
		}
	}
	suspicious := len(waiting) >= minWaitingUpstreams && now.Sub(p.heardAt) >= p.threshold
	if suspicious {
		p.threshold = min(2*p.threshold, maxWaitingThreshold)
	}
	p.mu.Unlock()
	if suspicious {
		p.startProbing("", now)
	}
}

// recheck probes upstreams, and ends the state of being cut off if one accepts a connection.
func (p *Paths) recheck() {
	targets := p.sample("", recheckProbes)
	if len(targets) > 0 && p.probe(targets, 0) != nil {
		return
	}
	p.mu.Lock()
	now := time.Now()
	p.reachedAt, p.threshold = now, waitingThreshold
	change := PathChange{At: now, HeardAt: p.heardAt, Probed: len(targets), Lasted: now.Sub(p.cutOffAt)}
	p.cutOff.Store(false)
	p.mu.Unlock()
	p.OnChange(change)
}
