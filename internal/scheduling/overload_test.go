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
	name      string
	scheduler scheduling.Service
	picker    *balance.Picker
	mu        sync.Mutex
	timeouts  map[desired.Class]*scheduling.Timeouts
}

// callers are what the callers of one class want, and what they got.
type callers struct {
	class               desired.Class
	work, timeout       time.Duration
	perSecond           float64
	mu                  sync.Mutex
	total, inTime, late int
	maxRefusalDelay     time.Duration
}

// value is the share of the callers that got a response, a late one counting half.
func (c *callers) value() float64 {
	return (float64(c.inTime) + float64(c.late)/2) / float64(c.total)
}

// fleet has hosts and upstreams, whose speeds differ by a factor of 2.3.
type fleet struct {
	hosts     []*simHost
	upstreams map[string]*simUpstream
	list      []*catalogue.Upstream
	ids       []string
	// aggregator combines the load statistics of the hosts.
	aggregator *inflight.Aggregator
	// capacity is the work that the upstreams do per second, in seconds.
	capacity float64
}

func newFleet(hosts, upstreams int) *fleet {
	f := &fleet{upstreams: map[string]*simUpstream{}}
	byID := map[string]*catalogue.Upstream{}
	for i := range upstreams {
		u := &catalogue.Upstream{ID: fmt.Sprint("u", i), Service: "s", DataCentre: "dc", Slots: 6}
		speed := 0.65 + 0.85*float64(i)/float64(upstreams-1)
		f.upstreams[u.ID] = &simUpstream{make(chan struct{}, u.Slots), make(chan struct{}, u.Slots+24), 1 / speed}
		f.list, f.ids = append(f.list, u), append(f.ids, u.ID)
		byID[u.ID] = u
		f.capacity += float64(u.Slots) * speed
	}
	snapshot := catalogue.NewSnapshot(byID)
	f.aggregator = inflight.New(func() *catalogue.Snapshot { return snapshot }, time.Now())
	for i := range hosts {
		name := fmt.Sprint("h", i)
		f.hosts = append(f.hosts, &simHost{name: name, picker: balance.NewPicker(name), timeouts: map[desired.Class]*scheduling.Timeouts{payments: {}, browsing: {}}})
	}
	return f
}

// shareLoads gives each host the load of the others and the fleet's expected work, as Follow does.
func (f *fleet) shareLoads() {
	now := time.Now()
	for _, h := range f.hosts {
		f.aggregator.Record(h.name, h.picker.FlushLoadStats(), now)
	}
	for _, h := range f.hosts {
		h.picker.SetClassWork(payments, 160*time.Millisecond)
		h.picker.SetClassWork(browsing, 930*time.Millisecond)
		h.picker.SetPeerLoads(f.aggregator.PeerLoads(h.name, f.ids, now), now)
	}
}

// place implements scheduling.Place with a host's picker.
type place struct {
	*simHost
	f      *fleet
	class  desired.Class
	u      *catalogue.Upstream
	ticket *admission.Ticket
}

func (p *place) Find(now time.Time) (scheduling.Offer, bool) {
	p.u = p.picker.Pick(p.f.list, balance.Criteria{LocalDataCentre: "dc"}, now)
	o := scheduling.Offer{Slots: p.u.Slots, FreeSlots: p.picker.FreeSlots(p.u, now)}
	o.Queueing, o.Work, o.Known = p.picker.Estimate(p.u, p.class, now)
	_, o.UrgentWork, _ = p.picker.Estimate(p.u, payments, now)
	return o, true
}

func (p *place) Take() bool {
	p.ticket = p.picker.Limiter(p.u.ID).TryAcquire(admission.HostLimitRange(p.u.Slots, 530, len(p.f.hosts)))
	return p.ticket != nil
}

// request sends one request through the host; it reports false if that or the upstream refused it.
func (f *fleet) request(h *simHost, c *callers, work, stated time.Duration) bool {
	now := time.Now()
	h.mu.Lock()
	lost := h.timeouts[c.class].Lost(stated, c.timeout)
	h.mu.Unlock()
	p := &place{simHost: h, f: f, class: c.class}
	r := &scheduling.Request{Class: c.class, MostUrgent: payments, Arrived: now, Deadline: now.Add(stated), Lost: lost}
	if h.scheduler.Admit(context.Background(), r, p).Outcome != scheduling.Admitted {
		return false
	}
	sent := time.Now()
	send := h.picker.StartSend(p.u, c.class, sent)
	signal, outcome := admission.InTime, balance.Served
	ok := f.upstreams[p.u.ID].serve(work)
	took := time.Since(sent)
	if !ok {
		signal, outcome = admission.Overloaded, balance.Overloaded
	} else if took > c.class.Objective*8/10 {
		signal = admission.Late
	}
	h.picker.Done(p.u.ID, outcome, took, time.Now())
	h.picker.FinishSend(send, outcome, took, feedback.Load{}, time.Now())
	p.ticket.Done(signal, took)
	h.scheduler.Released()
	return ok
}

// call is one caller: it retries at other hosts until it is served or its timeout is over.
func (f *fleet) call(rng *rand.Rand, c *callers, counted bool) {
	start, served, slowest := time.Now(), false, time.Duration(0)
	work := time.Duration(float64(c.work) * (0.5 + rng.Float64()))
	for !served && time.Since(start) < c.timeout-c.work {
		asked := time.Now()
		if served = f.request(f.hosts[rng.IntN(len(f.hosts))], c, work, c.timeout-time.Since(start)); !served {
			slowest = max(slowest, time.Since(asked))
			time.Sleep(c.class.Objective / 4)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
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

// simulateOverload sends payments and browsing at 1.3 times the capacity for 20 s, in which
// payments have the given share, and counts the callers that arrive after 5 s. Twenty hosts
// and upstreams are about one data centre of a large deployment.
func simulateOverload(t *testing.T, paymentShare float64) (pay, browse *callers) {
	pay = &callers{class: payments, work: 160 * time.Millisecond, timeout: 1200 * time.Millisecond}
	browse = &callers{class: browsing, work: 930 * time.Millisecond, timeout: 5 * time.Second}
	synctest.Test(t, func(t *testing.T) {
		f, start := newFleet(20, 20), time.Now()
		pay.perSecond = paymentShare * 1.3 * f.capacity / pay.work.Seconds()
		browse.perSecond = (1 - paymentShare) * 1.3 * f.capacity / browse.work.Seconds()
		var wg sync.WaitGroup
		wg.Go(func() {
			for ; time.Since(start) < 20*time.Second; time.Sleep(330 * time.Millisecond) {
				f.shareLoads()
			}
		})
		for i, c := range []*callers{pay, browse} {
			wg.Go(func() {
				for rng := rand.New(rand.NewPCG(uint64(i), 2)); time.Since(start) < 20*time.Second; {
					time.Sleep(time.Duration(rng.ExpFloat64() / c.perSecond * float64(time.Second)))
					own := rand.New(rand.NewPCG(rng.Uint64(), 3))
					wg.Go(func() { f.call(own, c, time.Since(start) > 5*time.Second) })
				}
			})
		}
		wg.Wait()
	})
	for _, c := range []*callers{pay, browse} {
		t.Logf("priority %d: %d callers, %d in time, %d late, value %.3f, slowest refusal after %v", c.class.Priority, c.total, c.inTime, c.late, c.value(), c.maxRefusalDelay)
	}
	return pay, browse
}

// Guards against three quarters of the payments, a quarter of the demand, being refused and no browsing
// request, as by one mean latency; browsing must get most of the rest of the capacity.
func TestPaymentsAreServedBeforeBrowsing(t *testing.T) {
	pay, browse := simulateOverload(t, 0.27)
	if pay.value() < 0.78 {
		t.Errorf("callers of payments get %.3f of their value, want 0.78", pay.value())
	}
	if browse.value() < 0.5 {
		t.Errorf("callers of browsing get %.3f of their value, want 0.5", browse.value())
	}
	if pay.maxRefusalDelay > payments.Objective || browse.maxRefusalDelay > browsing.Objective/2 {
		t.Errorf("refused only after %v and %v, want at most the objective, and half of it for browsing", pay.maxRefusalDelay, browse.maxRefusalDelay)
	}
}

// Guards against browsing getting nothing by priority alone when payments exceed the capacity, and
// against payments not being served, if late, after their callers return.
func TestBrowsingKeepsATenthOfTheWork(t *testing.T) {
	pay, browse := simulateOverload(t, 0.85)
	if browse.value() < 0.4 {
		t.Errorf("callers of browsing get %.3f of their value, want 0.4", browse.value())
	}
	if served := float64(pay.inTime+pay.late) / float64(pay.total); served < 0.6 {
		t.Errorf("%.3f of the payments served, want 0.6", served)
	}
	if pay.value() < 0.42 {
		t.Errorf("callers of payments get %.3f of their value, want 0.42", pay.value())
	}
}
