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
	// firstProbeTimeout bounds the first one, which mostly succeeds.
	firstProbeTimeout = 20 * time.Millisecond
	// maxProbes is how many upstreams are probed before this host counts as cut off, localProbes of
	// them in its data centre. minProbes is how many it must know besides the one that failed.
	maxProbes, localProbes, minProbes = 4, 2, 2
	// verdictTTL is how long a successful probe answers for further failures.
	verdictTTL = 200 * time.Millisecond
	// recheckInterval is the time between the probes of a host that is cut off.
	recheckInterval = 250 * time.Millisecond
	// recheckSuccesses is how many of its probes must succeed to end that state.
	recheckSuccesses = 2
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
			p.judge(p.sample(except), now)
			p.mu.Lock()
			p.probing = nil
			p.mu.Unlock()
			close(done)
		}()
	}
	return p.probing
}

// probeResult is the result of the probe of an upstream.
type probeResult struct {
	upstream *catalogue.Upstream
	err      error
}

// judge probes the upstreams, the first one alone, and decides whether this host is cut off.
func (p *Paths) judge(targets []*catalogue.Upstream, began time.Time) {
	if len(targets) < minProbes {
		return
	}
	results := p.probe(targets[:1], firstProbeTimeout)
	if failures(results) > 0 {
		results = append(results, p.probe(targets[1:], probeTimeout)...)
	}
	refused := 0
	for _, r := range results {
		if errors.Is(r.err, syscall.ECONNREFUSED) {
			refused++
		}
	}
	p.mu.Lock()
	now := time.Now()
	silent := p.heardAt.Before(began)
	if !p.lost(results) || refused < failures(results) && !silent {
		p.reachedAt = now
		p.mu.Unlock()
		return
	}
	change := PathChange{CutOff: true, At: now, HeardAt: p.heardAt, Probed: len(results), Refused: refused}
	p.cutOffAt = now
	p.cutOff.Store(true)
	abandoned := p.silentSends(now.Sub(p.heardAt) > heardWindow)
	p.mu.Unlock()
	p.OnChange(change)
	for _, s := range abandoned {
		s.abandon()
	}
}

// failures returns the number of probes that failed.
func failures(results []probeResult) int {
	n := 0
	for _, r := range results {
		if r.err != nil {
			n++
		}
	}
	return n
}

// lost reports whether the results of probes show that this host reaches no upstream, or hardly any:
// at most one of them has succeeded, and that not in this data centre. In a partition between data
// centres those of its own respond.
func (p *Paths) lost(results []probeResult) bool {
	succeeded := len(results) - failures(results)
	return succeeded == 0 || succeeded == 1 && len(results) >= maxProbes && !slices.ContainsFunc(results, func(r probeResult) bool {
		return r.err == nil && r.upstream.DataCentre == p.localDataCentre
	})
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

// probe probes the upstreams at once.
func (p *Paths) probe(targets []*catalogue.Upstream, timeout time.Duration) []probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	results := make(chan probeResult, len(targets))
	for _, u := range targets {
		go func() { results <- probeResult{u, p.Probe(ctx, u)} }()
	}
	var out []probeResult
	for range targets {
		out = append(out, <-results)
	}
	return out
}

// sample returns up to maxProbes upstreams other than the given one: localProbes of this data centre,
// the others of other data centres and services as far as there are any, at random among equals.
func (p *Paths) sample(except string) []*catalogue.Upstream {
	var local, remote []*catalogue.Upstream
	for id, u := range p.Upstreams().ByID {
		switch {
		case id == except || u.Draining() || u.Unlisted:
		case u.DataCentre == p.localDataCentre:
			local = append(local, u)
		default:
			remote = append(remote, u)
		}
	}
	out := pickDiverse(nil, local, localProbes)
	out = pickDiverse(out, remote, maxProbes-len(out))
	return pickDiverse(out, local, maxProbes-len(out))
}

// pickDiverse appends up to n of the candidates that are not in picked yet, and prefers those whose data
// centre and service are not.
func pickDiverse(picked, candidates []*catalogue.Upstream, n int) []*catalogue.Upstream {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for range n {
		var best *catalogue.Upstream
		for _, u := range candidates {
			if !slices.Contains(picked, u) && (best == nil || novelty(u, picked) > novelty(best, picked)) {
				best = u
			}
		}
		if best == nil {
			break
		}
		picked = append(picked, best)
	}
	return picked
}

// novelty returns how much a probe of u adds to those of the others.
func novelty(u *catalogue.Upstream, others []*catalogue.Upstream) int {
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
	suspicious := len(waiting) >= minWaitingUpstreams && now.Sub(p.heardAt) >= p.threshold && now.Sub(p.reachedAt) >= p.threshold
	if suspicious {
		p.threshold = min(2*p.threshold, maxWaitingThreshold)
	}
	p.mu.Unlock()
	if suspicious {
		p.startProbing("", now)
	}
}

// recheck probes upstreams, and ends the state of being cut off unless all but one probe fail: a
// host that reaches a few upstreams would otherwise change its mind every second.
func (p *Paths) recheck() {
	targets := p.sample("")
	results := p.probe(targets, probeTimeout)
	if succeeded := len(results) - failures(results); len(targets) > 0 && succeeded < min(recheckSuccesses, len(targets)) {
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
