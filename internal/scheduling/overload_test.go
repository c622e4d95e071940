package scheduling_test

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
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
	"github.com/papayatide/papayatide/internal/inflight"
	"github.com/papayatide/papayatide/internal/scheduling"
)

var (
	payments = desired.Class{Service: "s", Priority: 1, Objective: 600 * time.Millisecond}
	browsing = desired.Class{Service: "s", Priority: 2, Objective: 5 * time.Second}
)

// simUpstream has slots and a bounded queue; its work takes slowness times as long as usual.
type simUpstream struct {
	*catalogue.Upstream
	slots, places chan struct{}
	slowness      float64
}

// serve runs a request; it reports false if slots and queue are full.
func (u *simUpstream) serve(work time.Duration) bool {
	select {
	case u.places <- struct{}{}:
		defer func() { <-u.places }()
	default:
		return false
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	time.Sleep(time.Duration(float64(work) * u.slowness))
	return true
}

// simHost is a host with its own scheduler and picker.
type simHost struct {
	scheduler scheduling.Service
	picker    *balance.Picker
	mu        sync.Mutex
	timeouts  map[desired.Class]*scheduling.Timeouts
}

// callers are what the callers of one class want, and what they got.
type callers struct {
	class           desired.Class
	work, timeout   time.Duration
	perSecond       float64
	total           int
	inTime, late    int
	maxRefusalDelay time.Duration
}

// value is the share of the callers that got a response, a late one counting half.
func (c *callers) value() float64 {
	return (float64(c.inTime) + float64(c.late)/2) / float64(c.total)
}

// overload is a fleet whose callers ask for a multiple of what the upstreams can do.
type overload struct {
	mu        sync.Mutex
	hosts     []*simHost
	upstreams map[string]*simUpstream
	list      []*catalogue.Upstream
	// aggregator combines the load statistics of the hosts.
	aggregator *inflight.Aggregator
}

func newOverload(hosts, upstreams int) *overload {
	o := &overload{upstreams: map[string]*simUpstream{}}
	byID := map[string]*catalogue.Upstream{}
	for i := range upstreams {
		u := &catalogue.Upstream{ID: fmt.Sprint("u", i), Service: "s", DataCentre: "dc", Slots: 6}
		// Speeds from 0.65 to 1.5, a factor of 2.3.
		speed := 0.65 + 0.85*float64(i)/float64(upstreams-1)
		o.upstreams[u.ID] = &simUpstream{u, make(chan struct{}, u.Slots), make(chan struct{}, u.Slots+24), 1 / speed}
		o.list = append(o.list, u)
		byID[u.ID] = u
	}
	snapshot := catalogue.NewSnapshot(byID)
	o.aggregator = inflight.New(func() *catalogue.Snapshot { return snapshot }, time.Now())
	for i := range hosts {
		o.hosts = append(o.hosts, &simHost{picker: balance.NewPicker(fmt.Sprint("h", i)), timeouts: map[desired.Class]*scheduling.Timeouts{payments: {}, browsing: {}}})
	}
	return o
}

// capacity is the work that the upstreams do per second, in seconds.
func (o *overload) capacity() (sum float64) {
	for _, u := range o.upstreams {
		sum += float64(u.Slots) / u.slowness
	}
	return sum
}

// shareLoads gives each host the load of the others, as Follow does.
func (o *overload) shareLoads() {
	now := time.Now()
	for i, h := range o.hosts {
		o.aggregator.Record(fmt.Sprint("h", i), h.picker.FlushLoadStats(), now)
	}
	ids := make([]string, len(o.list))
	for i, u := range o.list {
		ids[i] = u.ID
	}
	for i, h := range o.hosts {
		h.picker.SetClassWork(payments, 160*time.Millisecond)
		h.picker.SetClassWork(browsing, 930*time.Millisecond)
		h.picker.SetPeerLoads(o.aggregator.PeerLoads(fmt.Sprint("h", i), ids, now), now)
	}
}

// place implements scheduling.Place with a host's picker.
type place struct {
	o        *overload
	h        *simHost
	class    desired.Class
	u        *catalogue.Upstream
	ticket   *admission.Ticket
	excluded []string
}

func (p *place) Find(now time.Time) (scheduling.Offer, bool) {
	p.u = p.h.picker.Pick(p.o.list, balance.Criteria{LocalDataCentre: "dc", Excluded: p.excluded}, now)
	o := scheduling.Offer{Slots: p.u.Slots, FreeSlots: p.h.picker.FreeSlots(p.u, now)}
	o.Queueing, o.Work, o.Known = p.h.picker.Estimate(p.u, p.class, now)
	_, o.UrgentWork, _ = p.h.picker.Estimate(p.u, payments, now)
	return o, true
}

func (p *place) Take() bool {
	p.ticket = p.h.picker.Limiter(p.u.ID).TryAcquire(admission.HostLimitRange(p.u.Slots, 530, len(p.o.hosts)))
	return p.ticket != nil
}

// request sends one request through the host; served is false if it was refused.
func (o *overload) request(ctx context.Context, h *simHost, c *callers, work, stated time.Duration) (served bool) {
	arrived := time.Now()
	h.mu.Lock()
	lost := h.timeouts[c.class].Lost(stated, c.timeout)
	h.mu.Unlock()
	p := &place{o: o, h: h, class: c.class}
	for range 2 {
		r := &scheduling.Request{Class: c.class, MostUrgent: payments, Arrived: arrived, Deadline: arrived.Add(stated), Lost: lost}
		if h.scheduler.Admit(ctx, r, p).Outcome != scheduling.Admitted {
			return false
		}
		sent := time.Now()
		send := h.picker.StartSend(p.u, c.class, sent)
		signal, outcome := admission.InTime, balance.Served
		ok := o.upstreams[p.u.ID].serve(work)
		took := time.Since(sent)
		switch {
		case !ok:
			signal, outcome = admission.Overloaded, balance.Overloaded
		case took > c.class.Objective*8/10:
			signal = admission.Late
		}
		h.picker.Done(p.u.ID, outcome, took, time.Now())
		h.picker.FinishSend(send, outcome, took, feedback.Load{}, time.Now())
		p.ticket.Done(signal, took)
		h.scheduler.Released()
		if ok {
			return true
		}
		p.excluded = append(p.excluded, p.u.ID)
	}
	return false
}

// call is one caller: it retries at other hosts until it is served or its timeout is over.
func (o *overload) call(rng *rand.Rand, c *callers, counted bool) {
	start := time.Now()
	work := time.Duration(float64(c.work) * (0.5 + rng.Float64()))
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var served bool
	var slowest time.Duration
	for !served && time.Since(start) < c.timeout-c.work {
		asked := time.Now()
		o.mu.Lock()
		h := o.hosts[rng.IntN(len(o.hosts))]
		o.mu.Unlock()
		if served = o.request(ctx, h, c, work, c.timeout-time.Since(start)); !served {
			slowest = max(slowest, time.Since(asked))
			time.Sleep(c.class.Objective / 4)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if took := time.Since(start); counted {
		c.total++
		c.maxRefusalDelay = max(c.maxRefusalDelay, slowest)
		if served && took <= c.class.Objective {
			c.inTime++
		} else if served && took <= c.timeout {
			c.late++
		}
	}
}

// run plays the callers for d, and counts those that arrive after a warm-up.
func (o *overload) run(d, warmUp time.Duration, classes ...*callers) {
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Since(start) < d {
			o.shareLoads()
			time.Sleep(330 * time.Millisecond)
		}
	})
	for i, c := range classes {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 2))
			for time.Since(start) < d {
				time.Sleep(time.Duration(rng.ExpFloat64() / c.perSecond * float64(time.Second)))
				own := rand.New(rand.NewPCG(rng.Uint64(), 3))
				wg.Go(func() { o.call(own, c, time.Since(start) > warmUp) })
			}
		})
	}
	wg.Wait()
}

// playOverload plays payments and browsing at 1.3 times the capacity, in which payments have the given share.
func playOverload(t *testing.T, paymentShare float64) (pay, browse *callers) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(12, 20)
		demand := 1.3 * o.capacity()
		pay = &callers{class: payments, work: 160 * time.Millisecond, timeout: 1200 * time.Millisecond}
		browse = &callers{class: browsing, work: 930 * time.Millisecond, timeout: 5 * time.Second}
		pay.perSecond = paymentShare * demand / pay.work.Seconds()
		browse.perSecond = (1 - paymentShare) * demand / browse.work.Seconds()
		o.run(20*time.Second, 5*time.Second, pay, browse)
		for _, c := range []*callers{pay, browse} {
			t.Logf("priority %d: %d callers, %d in time, %d late, value %.3f, slowest refusal after %v", c.class.Priority, c.total, c.inTime, c.late, c.value(), c.maxRefusalDelay)
		}
	})
	return pay, browse
}

// Payments are a quarter of the demand. With one mean latency for both classes, three quarters
// of the payments were refused and no browsing request. The payments must be served, and
// browsing must get most of the rest of the capacity.
func TestPaymentsAreServedBeforeBrowsing(t *testing.T) {
	pay, browse := playOverload(t, 0.27)
	if pay.value() < 0.8 {
		t.Errorf("callers of payments get %.3f of their value, want 0.8", pay.value())
	}
	if browse.value() < 0.5 {
		t.Errorf("callers of browsing get %.3f of their value, want 0.5", browse.value())
	}
	if pay.maxRefusalDelay > payments.Objective || browse.maxRefusalDelay > browsing.Objective/2 {
		t.Errorf("refused only after %v and %v, want at most the objective, and half of it for browsing", pay.maxRefusalDelay, browse.maxRefusalDelay)
	}
}

// Payments alone ask for more than the capacity. By priority alone, browsing would get
// nothing; it must keep about a tenth of the capacity, which is half of its demand. Most of the
// payments must still be served, if late: their callers return after a refusal.
func TestBrowsingKeepsATenthOfTheWork(t *testing.T) {
	pay, browse := playOverload(t, 0.85)
	if browse.value() < 0.4 {
		t.Errorf("callers of browsing get %.3f of their value, want 0.4", browse.value())
	}
	if served := float64(pay.inTime+pay.late) / float64(pay.total); served < 0.6 {
		t.Errorf("%.3f of the payments served, want 0.6", served)
	}
	if pay.value() < 0.36 {
		t.Errorf("callers of payments get %.3f of their value, want 0.36", pay.value())
	}
}
