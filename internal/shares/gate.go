package shares

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

// burst is the time for which a host may save up unused shares: about the time between two
// calls, after which the share follows the demand.
const burst = 300 * time.Millisecond

// maxDebt is the time of the less urgent classes' shares that an urgent class may use ahead:
// about that by which its own share lags behind its demand.
const maxDebt = time.Second

// bucket is the token bucket of a class. Tokens are seconds of work.
type bucket struct {
	class        desired.Class
	tokens, rate float64
	// income is what the refill in progress adds.
	income         float64
	work, fraction float64
}

func (b *bucket) size() float64 { return b.rate * burst.Seconds() }

// serviceGate holds the buckets of a scarce service, the most urgent first.
type serviceGate struct {
	buckets    []*bucket
	expiresAt  time.Time
	refilledAt time.Time
}

// Gate enforces this host's shares. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	services map[string]*serviceGate
	work     map[desired.Class]time.Duration
}

// NewGate returns a gate that admits everything.
func NewGate() *Gate {
	return &Gate{services: map[string]*serviceGate{}, work: map[desired.Class]time.Duration{}}
}

// Update replaces the shares of the services in shares, received at now. The shares of the
// other services stay in force until they expire: a new divider hands out none at first.
func (g *Gate) Update(shares []Share, now time.Time) {
	if len(shares) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	updated := map[string]*serviceGate{}
	for _, s := range shares {
		if s.Work > 0 {
			g.work[s.Class] = s.Work
		}
		name := s.Class.Service
		next := updated[name]
		if next == nil {
			next = &serviceGate{refilledAt: now}
			updated[name] = next
		}
		if !s.Scarce {
			continue
		}
		b := &bucket{class: s.Class, rate: s.PerSecond.Seconds(), work: s.Work.Seconds(), fraction: s.AdmittedFraction}
		b.tokens = b.size()
		if old := g.bucket(s.Class, now); old != nil {
			b.tokens = min(old.tokens, b.size())
		}
		if b.fraction < 1 {
			// From now on only its own income pays the class's debt. Paying what it used ahead of
			// others' would have it refuse all requests for up to a second.
			b.tokens = max(b.tokens, -b.work)
		}
		next.buckets = append(next.buckets, b)
		next.expiresAt = now.Add(s.Valid)
	}
	for name, next := range updated {
		slices.SortFunc(next.buckets, func(x, y *bucket) int {
			return cmp.Or(cmp.Compare(x.class.Priority, y.class.Priority), cmp.Compare(x.class.Objective, y.class.Objective))
		})
		if g.services[name] = next; len(next.buckets) == 0 {
			delete(g.services, name)
		}
	}
}

// bucket returns the class's bucket with its tokens at now; nil if the host has no share in
// force.
func (g *Gate) bucket(class desired.Class, now time.Time) *bucket {
	s := g.services[class.Service]
	if s == nil {
		return nil
	}
	if !now.Before(s.expiresAt) {
		delete(g.services, class.Service)
		return nil
	}
	s.refill(now)
	for _, b := range s.buckets {
		if b.class == class {
			return b
		}
	}
	return nil
}

// refill adds the tokens since the last call. The income of less urgent classes first pays the
// debt of a class of which the service has room for all requests. What a full bucket cannot
// take goes to the others, the most urgent first: a share that its class does not use is not
// lost.
func (s *serviceGate) refill(now time.Time) {
	elapsed := now.Sub(s.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	s.refilledAt = now
	for _, b := range s.buckets {
		b.income = b.rate * elapsed
	}
	for _, b := range s.buckets {
		if b.fraction < 1 {
			continue
		}
		for _, other := range slices.Backward(s.buckets) {
			if other.class.Priority > b.class.Priority {
				moved := min(max(-b.tokens-b.income, 0), other.income)
				other.income -= moved
				b.income += moved
			}
		}
	}
	spare := 0.0
	for _, b := range s.buckets {
		b.tokens += b.income
		if over := b.tokens - b.size(); over > 0 {
			b.tokens -= over
			spare += over
		}
	}
	for _, b := range s.buckets {
		moved := min(spare, b.size()-b.tokens)
		b.tokens += moved
		spare -= moved
	}
}

// Admit reports whether a request may be sent, and counts its work (the class's expected work if
// work is 0); if not, wait is the time until the next one may. Without a share in force it admits
// everything. A bucket with any tokens may go into debt by one request.
func (g *Gate) Admit(class desired.Class, work time.Duration, now time.Time) (ok bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.bucket(class, now)
	if own == nil {
		return true, 0
	}
	cost := work.Seconds()
	if cost <= 0 {
		cost = own.work
	}
	s := g.services[class.Service]
	rate, debt := own.rate, 0.0
	if own.fraction >= 1 {
		for _, b := range s.buckets {
			if b.class.Priority > class.Priority {
				rate += b.rate
				debt += b.rate * maxDebt.Seconds()
			}
		}
	}
	if own.tokens > -debt {
		own.tokens -= cost
		return true, 0
	}
	if rate <= 0 {
		return false, s.expiresAt.Sub(now)
	}
	return false, max(seconds((-debt-own.tokens)/rate), time.Millisecond)
}

// Work returns the expected work of a request of the class; false if it is not known. It
// stays known when the divider is lost.
func (g *Gate) Work(class desired.Class) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.work[class]
	return w, ok
}

// AdmittedFraction returns the part of the class's demand, over all hosts, for which the
// service has room; 1 without a share in force.
func (g *Gate) AdmittedFraction(class desired.Class, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b := g.bucket(class, now); b != nil {
		return b.fraction
	}
	return 1
}

// PerSecond returns the shares in force, by class, as work per second.
func (g *Gate) PerSecond(now time.Time) map[desired.Class]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[desired.Class]float64{}
	for _, s := range g.services {
		if now.Before(s.expiresAt) {
			for _, b := range s.buckets {
				out[b.class] = b.rate
			}
		}
	}
	return out
}
