package inflight

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/admission"
	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/feedback"
)

// simServer simulates an upstream with slots and a bounded queue, in virtual time.
type simServer struct {
	mu         sync.Mutex
	busy       int
	queue      []chan struct{}
	slots      int
	queueLimit int
	speed      float64
	// slowMoments makes it three times as slow for a fifth of the time, for slowMoment each.
	slowMoments *rand.Rand
	slowUntil   time.Time
	slow        bool
	// queueFull is how many requests were not served because the queue was full.
	queueFull int
}

// serve processes a request, after queueing for a slot if need be. It returns false
// if the queue is full.
func (s *simServer) serve(work time.Duration) bool {
	s.mu.Lock()
	switch {
	case s.busy < s.slots:
		s.busy++
		s.mu.Unlock()
	case len(s.queue) >= s.queueLimit:
		s.queueFull++
		s.mu.Unlock()
		return false
	default:
		ch := make(chan struct{})
		s.queue = append(s.queue, ch)
		s.mu.Unlock()
		<-ch
	}
	s.process(work)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return true
	}
	s.busy--
	return true
}

// slowMoment is how long a server is slow, or not.
const slowMoment = 400 * time.Millisecond

// factor returns how many times longer work takes now than normal, and until when that is known.
func (s *simServer) factor() (float64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.slowMoments == nil {
		return 1, now.Add(time.Hour)
	}
	if !now.Before(s.slowUntil) {
		s.slow, s.slowUntil = s.slowMoments.Float64() < 0.2, now.Add(slowMoment)
	}
	if s.slow {
		return 3, s.slowUntil
	}
	return 1, s.slowUntil
}

// process spends the time that the server takes for some work.
func (s *simServer) process(work time.Duration) {
	for left := time.Duration(float64(work) / s.speed); left > 0; {
		factor, until := s.factor()
		step := min(time.Until(until), time.Duration(float64(left)*factor)+1)
		time.Sleep(step)
		left -= time.Duration(float64(step) / factor)
	}
}

// load is the server's load report.
func (s *simServer) load() feedback.Load {
	factor, _ := s.factor()
	s.mu.Lock()
	defer s.mu.Unlock()
	return feedback.Load{Running: s.busy, Waiting: len(s.queue), Slots: s.slots, WorkFactor: factor}
}

// simulation describes one data centre: hosts that share the upstreams of one
// service.
type simulation struct {
	hosts, upstreams           int
	slots                      int
	speeds                     []float64
	workTime, latencyObjective time.Duration
	// load is the request rate as a fraction of the capacity of all upstreams.
	load     float64
	duration time.Duration
	// shareLoads makes the hosts exchange their load statistics.
	shareLoads bool
	// earlyPeriod is the time from the start in which requests also count as early.
	earlyPeriod time.Duration
}

// results counts requests by outcome. queueFull counts the attempts that failed because
// an upstream's queue was full; a request may have several.
type results struct {
	inTime, late, refused, queueFull int
	earlyInTime, early               int
}

// maxAttempts is how many upstreams a request may be sent to.
const maxAttempts = 3

// run sends requests through the hosts and counts their outcomes.
func (s simulation) run(seed uint64) results {
	rng := rand.New(rand.NewPCG(seed, 11))
	var upstreams []*catalogue.Upstream
	servers := map[string]*simServer{}
	capacity := 0.0 // requests per second
	for i := range s.upstreams {
		id := fmt.Sprintf("u%03d", i)
		speed := s.speeds[rng.IntN(len(s.speeds))]
		upstreams = append(upstreams, &catalogue.Upstream{ID: id, Service: "s", Slots: s.slots, DataCentre: "dc"})
		servers[id] = &simServer{slots: s.slots, queueLimit: 4 * s.slots, speed: speed}
		capacity += float64(s.slots) * speed / s.workTime.Seconds()
	}
	pickers := make([]*balance.Picker, s.hosts)
	for i := range pickers {
		pickers[i] = balance.NewPicker(fmt.Sprint("host", i))
	}
	done := make(chan struct{})
	defer close(done)
	if s.shareLoads {
		go exchangeLoads(pickers, upstreams, newSimDemand(), done)
	}
	var res results
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for time.Since(start) < s.duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / (capacity * s.load) * float64(time.Second)))
		b := pickers[rng.IntN(s.hosts)]
		work := time.Duration(float64(s.workTime) * (0.6 + 0.8*rng.Float64()))
		early := time.Since(start) < s.earlyPeriod
		wg.Go(func() {
			ok, took := s.sendRequest(b, upstreams, servers, work)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !ok:
				res.refused++
			case took > s.latencyObjective:
				res.late++
			default:
				res.inTime++
			}
			if early {
				res.early++
				if ok && took <= s.latencyObjective {
					res.earlyInTime++
				}
			}
		})
	}
	wg.Wait()
	for _, srv := range servers {
		res.queueFull += srv.queueFull
	}
	return res
}

// exchangeInterval is how often a host sends its load statistics and receives the load
// of the others.
const exchangeInterval = 300 * time.Millisecond

// exchangeLoads makes the hosts send their load statistics one after another, each once
// per exchangeInterval.
func exchangeLoads(pickers []*balance.Picker, upstreams []*catalogue.Upstream, demand *simDemand, done chan struct{}) {
	byID := map[string]*catalogue.Upstream{}
	for _, u := range upstreams {
		byID[u.ID] = u
	}
	snapshot := catalogue.NewSnapshot(byID)
	agg := New(func() *catalogue.Snapshot { return snapshot }, time.Now())
	for {
		for i, b := range pickers {
			select {
			case <-done:
				return
			case <-time.After(exchangeInterval / time.Duration(len(pickers))):
			}
			name := fmt.Sprint(i)
			agg.Record(name, b.FlushLoadStats(), time.Now())
			b.SetPeerLoads(agg.PeerLoads(name, b.Subset().IDs, time.Now()), time.Now())
			demand.exchange(name, b, agg, time.Now())
		}
	}
}

// sendRequest makes up to maxAttempts attempts at a request. It returns whether the
// request was served and how long that took.
func (s simulation) sendRequest(b *balance.Picker, upstreams []*catalogue.Upstream, servers map[string]*simServer, work time.Duration) (bool, time.Duration) {
	start := time.Now()
	c := balance.Criteria{LocalDataCentre: "dc", RemotePenalty: s.latencyObjective / 4}
	for range maxAttempts {
		u := b.Pick(upstreams, c, time.Now())
		if b.ExpectedLatency(u, time.Now()) > s.latencyObjective {
			return false, time.Since(start) // the dispatcher refuses it if this is the first attempt
		}
		maxWait := max(s.latencyObjective/2-time.Since(start), 0)
		ticket := b.Limiter(u.ID).Acquire(context.Background(), maxWait, admission.HostLimitRange(u.Slots, 0, s.hosts))
		if ticket == nil {
			return false, time.Since(start)
		}
		sent := time.Now()
		ok := servers[u.ID].serve(work)
		took := time.Since(sent)
		signal, outcome := admission.InTime, balance.Served
		if !ok {
			signal, outcome = admission.Overloaded, balance.Overloaded
		} else if took > s.latencyObjective*8/10 {
			signal = admission.Late
		}
		b.Done(u.ID, outcome, took, time.Now())
		ticket.Done(signal, took)
		if ok {
			return true, time.Since(start)
		}
		c.Excluded = append(c.Excluded, u.ID)
	}
	return false, time.Since(start)
}

var (
	// largeFleetDataCentre is one of the five data centres of a fleet of 300 hosts,
	// smallFleetDataCentre one of the three of a fleet of 12.
	largeFleetDataCentre = simulation{hosts: 59, upstreams: 52, slots: 3, speeds: []float64{0.7, 0.7, 1.6}, workTime: 350 * time.Millisecond,
		latencyObjective: time.Second, load: 0.7, duration: 20 * time.Second, earlyPeriod: 3 * time.Second}
	smallFleetDataCentre = simulation{hosts: 4, upstreams: 4, slots: 3, speeds: []float64{0.7, 0.7, 1.6}, workTime: 290 * time.Millisecond,
		latencyObjective: 800 * time.Millisecond, load: 0.7, duration: time.Minute, earlyPeriod: 3 * time.Second}
)

// runSeeds runs the simulation with three seeds and adds up the results.
func (s simulation) runSeeds() *results {
	sum := &results{}
	for seed := range uint64(3) {
		sum.add(s.run(seed))
	}
	return sum
}

// 59 hosts share 52 upstreams, some more than twice as fast as others, at 70% load; each
// host sends an upstream about one request in ten seconds. Hosts must spread out, even
// without shared loads. If all picked the upstream with the lowest expected latency, it
// would be the same one, and little more than half of the requests would be in time.
func TestLargeFleetSpreadsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := largeFleetDataCentre
		unshared := s.runSeeds()
		s.shareLoads = true
		shared := s.runSeeds()
		t.Logf("loads not shared: %s; loads shared: %s", unshared, shared)
		if unshared.inTime < unshared.total()*85/100 {
			t.Errorf("%d of %d in time if hosts do not share their loads", unshared.inTime, unshared.total())
		}
		if shared.inTime < shared.total()*95/100 {
			t.Errorf("%d of %d in time if hosts share their loads", shared.inTime, shared.total())
		}
		if shared.earlyInTime < shared.early*92/100 {
			t.Errorf("%d of %d in time in the first seconds", shared.earlyInTime, shared.early)
		}
	})
}

// The same data centre receives 20% more requests than its upstreams have capacity for.
// If hosts forward all of them, every queue fills up and only about a third of the
// responses are in time. Hosts must immediately refuse requests that would be late, given
// the load of all hosts, so that most others are in time and few find a full queue.
func TestOverloadedLargeFleetRefusesExcessRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := largeFleetDataCentre
		s.shareLoads, s.load = true, 1.2
		r := s.runSeeds()
		t.Logf("%s", r)
		if r.inTime < r.total()*60/100 {
			t.Errorf("%d of %d in time", r.inTime, r.total())
		}
		if r.queueFull > r.total()*4/100 {
			t.Errorf("%d attempts found a full queue", r.queueFull)
		}
	})
}

// In a small fleet each host sends every upstream many requests and infers its load
// from those. Exchanged load statistics must not make its choice worse: each bound is
// one percentage point below the fraction of requests in time without them.
func TestSharedLoadsDoNotHarmSmallFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := smallFleetDataCentre
		s.shareLoads = true
		normal := s.runSeeds()
		s.load = 1.2
		overloaded := s.runSeeds()
		t.Logf("70%% load: %s; 120%% load: %s", normal, overloaded)
		if normal.inTime < normal.total()*98/100 {
			t.Errorf("%d of %d in time at 70%% load", normal.inTime, normal.total())
		}
		if overloaded.inTime < overloaded.total()*70/100 {
			t.Errorf("%d of %d in time at 120%% load", overloaded.inTime, overloaded.total())
		}
	})
}

func (r *results) total() int { return r.inTime + r.late + r.refused }

func (r *results) String() string {
	return fmt.Sprintf("%d in time, %d late, %d refused, %d attempts found a full queue", r.inTime, r.late, r.refused, r.queueFull)
}

func (r *results) add(o results) {
	r.inTime += o.inTime
	r.late += o.late
	r.refused += o.refused
	r.queueFull += o.queueFull
	r.early += o.early
	r.earlyInTime += o.earlyInTime
}
