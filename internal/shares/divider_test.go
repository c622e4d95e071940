package shares

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

var (
	payments = desired.Class{Service: "pay", Priority: 1, Objective: 600 * time.Millisecond}
	browsing = desired.Class{Service: "pay", Priority: 2, Objective: 5 * time.Second}
	// classWork is the true work of a request in seconds.
	classWork = map[desired.Class]float64{payments: 0.16, browsing: 0.93}
	epoch     = time.Unix(1e9, 0)
)

// simHost is a host of a simulated data centre that calls the divider every callInterval.
type simHost struct {
	name     string
	gate     *Gate
	lastCall time.Time
	frozen   bool
	// held is the work per second that it has shares for until heldUntil.
	held      float64
	heldUntil time.Time
}

const callInterval = 333 * time.Millisecond

// sim is a data centre whose hosts get requests at the given rates, divided evenly. The
// upstreams answer what fits into the room.
type sim struct {
	t     *testing.T
	d     *Divider
	hosts []*simHost
	rates map[desired.Class]float64
	room  Room
	// promised is the number of promised returns of each host to each class.
	promised int
	// rooms holds the rooms that shares in force may have been computed from.
	rooms   []roomSample
	now     time.Time
	rand    *rand.Rand
	changes []Change
}

func newSim(t *testing.T, hosts int, rates map[desired.Class]float64, slots float64) *sim {
	s := &sim{t: t, rates: rates, room: Room{slots, slots}, now: epoch, rand: rand.New(rand.NewPCG(1, 2))}
	s.newDivider()
	for range hosts {
		s.addHost()
	}
	return s
}

func (s *sim) newDivider() {
	s.d = NewDivider()
	s.d.OnChange = func(c Change) { s.changes = append(s.changes, c) }
}

func (s *sim) addHost() *simHost {
	h := &simHost{name: fmt.Sprint("h", len(s.hosts)), gate: NewGate(), lastCall: s.now.Add(-time.Duration(s.rand.Int64N(int64(callInterval))))}
	s.hosts = append(s.hosts, h)
	return h
}

// run advances the clock and checks, after each call, that the shares held by all hosts do
// not exceed the largest room of the last grantTTL.
func (s *sim) run(d time.Duration) {
	s.t.Helper()
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(10 * time.Millisecond) {
		s.rooms = append(s.rooms, roomSample{s.now, s.room.Capacity * utilisation})
		for s.now.Sub(s.rooms[0].at) >= grantTTL+updateInterval {
			s.rooms = s.rooms[1:]
		}
		for _, h := range s.hosts {
			if !h.frozen && s.now.Sub(h.lastCall) >= callInterval {
				s.call(h)
			}
		}
	}
}

func (s *sim) call(h *simHost) {
	s.t.Helper()
	elapsed := s.now.Sub(h.lastCall).Seconds()
	h.lastCall = s.now
	var demand []Demand
	for _, c := range []desired.Class{payments, browsing} {
		arrived := s.rates[c] / float64(len(s.hosts)) * elapsed
		answered := s.round(arrived * min(1, s.room.Capacity*utilisation/(s.rates[payments]*classWork[payments]+s.rates[browsing]*classWork[browsing])))
		demand = append(demand, Demand{Class: c, Arrived: s.round(arrived), Answered: answered, Latency: seconds(float64(answered) * classWork[c]), Promised: s.promised})
	}
	s.d.Record(h.name, demand, s.now)
	shares := s.d.Shares(h.name, map[string]Room{"pay": s.room}, s.now)
	h.gate.Update(shares, s.now)
	if len(shares) > 0 { // otherwise the previous shares stay in force
		h.held = 0
	}
	for _, e := range shares {
		if e.Scarce {
			h.held += e.PerSecond.Seconds()
			h.heldUntil = s.now.Add(e.Valid)
		}
	}
	if h.held == 0 && len(h.gate.PerSecond(s.now)) > 0 {
		s.t.Fatalf("%v: %s has a share of zero and refuses everything", s.now.Sub(epoch), h.name)
	}
	room := 0.0
	for _, r := range s.rooms {
		room = max(room, r.room)
	}
	if sum := s.held(); sum > room*1.000001 {
		s.t.Fatalf("%v: shares of %.2f exceed the room of %.2f", s.now.Sub(epoch), sum, room)
	}
}

// round rounds x up or down at random, so that the mean is x.
func (s *sim) round(x float64) int { return int(x + s.rand.Float64()) }

// held returns the sum of the shares that have not expired.
func (s *sim) held() float64 {
	sum := 0.0
	for _, h := range s.hosts {
		if s.now.Before(h.heldUntil) {
			sum += h.held
		}
	}
	return sum
}

// given returns the sum of a class's shares over all hosts.
func (s *sim) given(c desired.Class) float64 {
	sum := 0.0
	for _, h := range s.hosts {
		sum += h.gate.PerSecond(s.now)[c]
	}
	return sum
}

// within fails the test unless got is within 15% of want: the demand of one second is a
// sample.
func (s *sim) within(what string, got, want float64) {
	s.t.Helper()
	if got < want*0.85 || got > want*1.15 {
		s.t.Errorf("%v: %s is %.2f, want %.2f", s.now.Sub(epoch), what, got, want)
	}
}

// Demand of 60 + 93 in a room of 85: the urgent class must get all that it asks for, the less
// urgent one the rest, and all of the room must be handed out. Without scarcity nothing is.
func TestUrgentClassGetsWhatItAsksFor(t *testing.T) {
	s := newSim(t, 20, map[desired.Class]float64{payments: 375, browsing: 20}, 100)
	s.run(5 * time.Second)
	if len(s.changes) != 0 || s.held() != 0 {
		t.Fatalf("demand of 79 in a room of 85: %v, shares of %.2f", s.changes, s.held())
	}
	s.rates[browsing] = 100
	s.run(5 * time.Second)
	s.within("payments", s.given(payments), 60)
	s.within("browsing", s.given(browsing), 25)
	s.within("shares of all hosts", s.held(), 85)
}

// The urgent class alone exceeds the room: the less urgent one must keep a tenth of it, and
// the urgent one must get that too once the other asks for nothing.
func TestLessUrgentClassKeepsATenth(t *testing.T) {
	s := newSim(t, 20, map[desired.Class]float64{payments: 1000, browsing: 100}, 100)
	s.run(5 * time.Second)
	s.within("payments", s.given(payments), 76.5)
	s.within("browsing", s.given(browsing), 8.5)
	s.rates[browsing] = 0
	s.run(5 * time.Second)
	s.within("payments without browsing", s.given(payments), 85)
}

// Guards against shares that exceed the room while hosts join, freeze and stop, the room varies and the
// divider is replaced, and against shares of a frozen host that are lost after they have expired.
func TestSharesStayWithinRoomWhenHostsComeAndGo(t *testing.T) {
	s := newSim(t, 30, map[desired.Class]float64{payments: 600, browsing: 100}, 100)
	s.run(4 * time.Second)
	for i := range 5 {
		s.addHost()
		s.run(100 * time.Millisecond)
		s.hosts[i].frozen = true
	}
	s.run(3 * time.Second)
	s.within("shares after five hosts froze", s.held(), 85)
	for i := range 5 {
		s.hosts[i].frozen = false
	}
	s.run(time.Second)
	s.room = Room{50, 50}
	s.run(3 * time.Second)
	s.within("shares in half of the room", s.held(), 42.5)
	s.room = Room{120, 120}
	s.run(3 * time.Second)
	s.within("shares in a larger room", s.held(), 102)
	s.newDivider()
	s.run(1050 * time.Millisecond)
	if held := s.held(); held != 0 {
		t.Errorf("a new divider has handed out shares of %.2f before it knew the demand of a second", held)
	}
	for i, h := range s.hosts {
		if ok, _ := h.gate.Admit(browsing, 0, s.now); !ok {
			t.Errorf("host %d refuses requests without a share", i)
		}
	}
	s.run(3 * time.Second)
	s.within("shares of the new divider", s.held(), 102)
}

// Guards against scarcity that starts and ends with every fluctuation: it must last while demand and
// promised returns exceed 0.9 of the room, and for two seconds after.
func TestScarcityEndsLate(t *testing.T) {
	s := newSim(t, 20, map[desired.Class]float64{payments: 375, browsing: 100}, 100)
	s.run(4 * time.Second)
	s.rates[browsing] = 21 // demand of 79.5, 0.94 of the room
	s.run(5 * time.Second)
	if len(s.changes) != 1 || !s.changes[0].Scarce {
		t.Fatalf("changes %v, want only the start", s.changes)
	}
	s.rates[browsing], s.promised = 5, 10 // per host: 200 of each class
	s.run(5 * time.Second)
	s.promised = 0
	s.run(1500 * time.Millisecond)
	if len(s.changes) != 1 {
		t.Fatalf("scarcity ended early: %v", s.changes)
	}
	s.run(1500 * time.Millisecond)
	if len(s.changes) != 2 || s.changes[1].Scarce || s.given(payments) != 0 {
		t.Fatalf("changes %v with %.2f given, want an end", s.changes, s.given(payments))
	}
}

// Queueing raises latencies by the same time for all classes. It must not count as work: the
// demand would seem to grow while the upstreams do as much as before.
func TestQueueingDoesNotCountAsWork(t *testing.T) {
	e := workEstimator{byClass: map[desired.Class]*classEstimate{}}
	const queueing = 0.5
	room := Room{Slots: 153, Capacity: 153} // 375*0.16 + 100*0.93: all slots are busy
	now := epoch
	var got map[desired.Class]float64
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		e.add(Demand{Class: payments, Answered: 37, Latency: seconds(37 * (0.16 + queueing))}, now)
		e.add(Demand{Class: browsing, Answered: 10, Latency: seconds(10 * (0.93 + queueing))}, now)
		got = e.estimate("pay", room, now)
	}
	for c, want := range classWork {
		if got[c] < want*0.9 || got[c] > want*1.1 {
			t.Errorf("priority %d: work %.3f s, want %.3f s", c.Priority, got[c], want)
		}
	}
	if got := e.estimate("pay", Room{}, now); got != nil {
		t.Errorf("estimates %v without upstreams", got)
	}
}

// Guards against latencies a third longer, by queues at some upstreams, counting as work, so that the
// gate refuses what fits, and against latencies twice as long, by longer work, not counting.
func TestUnevenQueueingDoesNotCountAsWork(t *testing.T) {
	e := workEstimator{byClass: map[desired.Class]*classEstimate{}}
	now := epoch
	for _, step := range []struct {
		perSecond      int
		latency, lower float64
		upper          float64
	}{{30, 0.16, 0.155, 0.165}, {300, 0.21, 0.155, 0.165}, {300, 0.32, 0.2, 0.23}, {30, 0.32, 0.3, 0.33}} {
		var work float64
		for range 300 {
			now = now.Add(100 * time.Millisecond)
			n := step.perSecond / 10
			e.add(Demand{Class: payments, Answered: n, Latency: seconds(float64(n) * step.latency)}, now)
			work = e.estimate("pay", Room{Slots: 100, Capacity: 100}, now)[payments]
		}
		if work < step.lower || work > step.upper {
			t.Errorf("%d requests/s with a latency of %v s: work %.3f s, want %v to %v", step.perSecond, step.latency, work, step.lower, step.upper)
		}
	}
}

// Guards against a class of long requests that is estimated by the shortest of them, which are answered
// first, and never corrected because the load has risen in the meantime.
func TestFirstResponsesDoNotFixTheEstimate(t *testing.T) {
	e := workEstimator{byClass: map[desired.Class]*classEstimate{}}
	now, work := epoch, 0.0
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		latency := min(0.3+0.1*float64(i), 0.93)
		e.add(Demand{Class: browsing, Answered: 9, Latency: seconds(9 * latency)}, now)
		work = e.estimate("pay", Room{Slots: 100, Capacity: 100}, now)[browsing] // 84 slots in use
	}
	if work < 0.85 || work > 0.95 {
		t.Errorf("work %.3f s, want 0.93 s", work)
	}
}

// Guards against the queueing of a class that accepts long queues being subtracted from the latency
// of one that is refused there, which then seems to take half of its work.
func TestUnequalQueueingDoesNotReduceWork(t *testing.T) {
	e := workEstimator{byClass: map[desired.Class]*classEstimate{}}
	now := epoch
	var got map[desired.Class]float64
	for _, queueing := range []map[desired.Class]float64{{}, {payments: 0.1, browsing: 1}} {
		for range 300 {
			now = now.Add(100 * time.Millisecond)
			for c, n := range map[desired.Class]int{payments: 37, browsing: 10} {
				e.add(Demand{Class: c, Answered: n, Latency: seconds(float64(n) * (classWork[c] + queueing[c]))}, now)
			}
			got = e.estimate("pay", Room{Slots: 153, Capacity: 153}, now) // 370*0.16 + 100*0.93
		}
	}
	for c, want := range classWork {
		if got[c] < want*0.9 || got[c] > want*1.1 {
			t.Errorf("priority %d: work %.3f s, want %.3f s", c.Priority, got[c], want)
		}
	}
}

// Guards against shares that lag more than two seconds behind a rise of 55% within 17 s: until then
// bursts and the shares of the less urgent class serve the difference.
func TestSharesFollowASwingOfDemand(t *testing.T) {
	const swing, rampTime, step = 0.55, 17.0, 50 * time.Millisecond
	for _, hosts := range []int{10, 79, 300} {
		n := float64(hosts)
		s := newSim(t, hosts, map[desired.Class]float64{payments: 4.8 * n, browsing: 2.3 * n}, 0)
		s.room.Slots = n * (4.8*0.16 + 2.3*0.93) // demand of 1.18 of the room
		s.room.Capacity = s.room.Slots
		s.run(5 * time.Second)
		base := s.rates[payments]
		slope := base * swing / rampTime * classWork[payments]
		lag, samples := 0.0, 0.0
		for at := 0.0; at < rampTime; at += step.Seconds() {
			s.rates[payments] = base * (1 + swing*at/rampTime)
			s.run(step)
			lag += (s.rates[payments]*classWork[payments] - s.given(payments)) / slope
			samples++
		}
		lag /= samples
		t.Logf("%d hosts: shares follow %.2f s behind the demand", hosts, lag)
		if lag > 2 {
			t.Errorf("%d hosts: shares follow %.2f s behind the demand", hosts, lag)
		}
	}
}
