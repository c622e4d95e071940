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

// run sends requests through the hosts and counts their outcomes.
func (s simulation) run(seed uint64) results {
	rng := rand.New(rand.NewPCG(seed, 11))
	f := newSimFleet(s.hosts, s.upstreams, s.slots, "u%03d", func(int) float64 { return s.speeds[rng.IntN(len(s.speeds))] })
	f.shareLoads, f.maxAttempts = s.shareLoads, 3
	capacity := 0.0 // requests per second
	for _, u := range f.upstreams {
		capacity += float64(s.slots) * f.servers[u.ID].speed / s.workTime.Seconds()
	}
	var res results
	var mu sync.Mutex
	f.play(rng, capacity*s.load, s.duration, func(b *balance.Picker, elapsed time.Duration) func() {
		work := time.Duration(float64(s.workTime) * (0.6 + 0.8*rng.Float64()))
		return func() {
			start := time.Now()
			ok, _ := f.send(b, balance.Criteria{LocalDataCentre: "dc", RemotePenalty: s.latencyObjective / 4}, s.latencyObjective, work)
			inTime := ok && time.Since(start) <= s.latencyObjective
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !ok:
				res.refused++
			case inTime:
				res.inTime++
			default:
				res.late++
			}
			if elapsed < s.earlyPeriod {
				res.early++
				if inTime {
					res.earlyInTime++
				}
			}
		}
	})
	for _, srv := range f.servers {
		res.queueFull += srv.queueFull
	}
	return res
}

// simFleet is the hosts and upstreams of one data centre.
type simFleet struct {
	pickers   []*balance.Picker
	upstreams []*catalogue.Upstream
	servers   map[string]*simServer
	demand    *simDemand
	// shareLoads makes the hosts exchange their load statistics, reports makes the upstreams
	// report their load.
	shareLoads, reports bool
	// maxAttempts is how many upstreams a request may be sent to.
	maxAttempts int
}

// newSimFleet returns a fleet whose upstreams have IDs of the given format and the given speeds.
func newSimFleet(hosts, upstreams, slots int, id string, speed func(i int) float64) *simFleet {
	f := &simFleet{servers: map[string]*simServer{}, demand: newSimDemand(), maxAttempts: 1}
	for i := range upstreams {
		u := &catalogue.Upstream{ID: fmt.Sprintf(id, i), Service: "s", Slots: slots, DataCentre: "dc"}
		f.upstreams = append(f.upstreams, u)
		f.servers[u.ID] = &simServer{slots: slots, queueLimit: 4 * slots, speed: speed(i)}
	}
	for i := range hosts {
		f.pickers = append(f.pickers, balance.NewPicker(fmt.Sprint("host", i)))
	}
	return f
}

// play makes requests arrive at random hosts for the given time, and waits until all have ended.
// arrive returns what sends one that arrives elapsed after the start.
func (f *simFleet) play(rng *rand.Rand, perSecond float64, duration time.Duration, arrive func(b *balance.Picker, elapsed time.Duration) (send func())) {
	done := make(chan struct{})
	defer close(done)
	if f.shareLoads {
		go f.exchangeLoads(done)
	}
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		wg.Go(arrive(f.pickers[rng.IntN(len(f.pickers))], time.Since(start)))
	}
	wg.Wait()
}

// exchangeInterval is how often a host sends its load statistics and receives the load
// of the others.
const exchangeInterval = 300 * time.Millisecond

// exchangeLoads makes the hosts send their load statistics one after another, each once
// per exchangeInterval.
func (f *simFleet) exchangeLoads(done chan struct{}) {
	agg := newAggregator(time.Now(), f.upstreams...)
	for {
		for i, b := range f.pickers {
			select {
			case <-done:
				return
			case <-time.After(exchangeInterval / time.Duration(len(f.pickers))):
			}
			name := fmt.Sprint(i)
			agg.Record(name, b.FlushLoadStats(), time.Now())
			b.SetPeerLoads(agg.PeerLoads(name, b.Subset().IDs, time.Now()), time.Now())
			f.demand.exchange(name, b, agg, time.Now())
		}
	}
}

// send makes up to maxAttempts attempts at a request. It returns whether the request was served and
// how long the last attempt took.
func (f *simFleet) send(b *balance.Picker, c balance.Criteria, objective, work time.Duration) (ok bool, took time.Duration) {
	start := time.Now()
	for range f.maxAttempts {
		u := b.Pick(f.upstreams, c, time.Now())
		expected := b.ExpectedLatency(u, time.Now())
		if c.Class.Service != "" {
			queueing, atWork, _ := b.Estimate(u, c.Class, time.Now())
			expected = queueing + atWork
		}
		if expected > objective {
			return false, took // the dispatcher refuses it if this is the first attempt
		}
		maxWait := max(objective/2-time.Since(start), 0)
		ticket := b.Limiter(u.ID).Acquire(context.Background(), maxWait, admission.HostLimitRange(u.Slots, 0, len(f.pickers)))
		if ticket == nil {
			return false, took
		}
		sent := time.Now()
		sending := b.StartSend(u, c.Class, sent)
		ok = f.servers[u.ID].serve(work)
		took = time.Since(sent)
		signal, outcome := admission.InTime, balance.Served
		if !ok {
			signal, outcome = admission.Overloaded, balance.Overloaded
		} else if took > objective*8/10 {
			signal = admission.Late
		}
		var report feedback.Load
		if f.reports {
			report = f.servers[u.ID].load()
		}
		b.Done(u.ID, outcome, took, time.Now())
		b.FinishSend(sending, outcome, took, report, time.Now())
		ticket.Done(signal, took)
		if ok {
			return true, took
		}
		c.Excluded = append(c.Excluded, u.ID)
	}
	return false, took
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
