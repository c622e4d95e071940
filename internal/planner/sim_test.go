package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/view"
)

// simulation plays several hosts' planners against one log and a set of upstreams in
// virtual time, with faults drawn from a seed. After every step it checks
// that no key is held by two upstreams that are up.
type simulation struct {
	rng       *rand.Rand
	now       bootclock.Time
	start     time.Time
	queue     []simEvent
	hosts     []*simHost
	upstreams []*simUpstream
	log       []*ownership.Table
	// seat is the group's state.
	leaseHolder string
	leaseUntil  bootclock.Time

	opts      Options
	faults    faults
	loadByKey []float64
	// steadyLoad keeps the load as it is.
	steadyLoad bool
	// allowDials makes hosts open connections for grants whenever they like.
	allowDials bool
	// overstayFactor is how much longer than told upstreams hold, as a factor.
	overstayFactor float64
	// granted is set by each grant that an upstream takes.
	granted bool
}

type simEvent struct {
	at bootclock.Time
	do func()
}

type simHost struct {
	name                string
	planner             *Planner
	publisher           *view.Publisher
	recordsRead         int // records of the log seen
	stalledUntil        bootclock.Time
	logUnreachableUntil bootclock.Time // from the log
	unreachableUntil    map[string]bootclock.Time
	// connectedTo are the lives of upstreams to which a connection is open.
	connectedTo map[string]int
	starts      int
}

type simGrant struct {
	from, to     int
	fencingToken int64
	expiresAt    bootclock.Time
}

type simUpstream struct {
	id      string
	up      bool
	listed  bool
	leaving bool
	// incarnation counts its starts. Each forgets the holds and tokens of the one
	// before.
	incarnation int
	// answersLostUntil is until when most of its answers are lost.
	answersLostUntil bootclock.Time
	grants           []simGrant
	tokensSeen       []simGrant // highest token seen, by run of keys
}

const simService = "svc"

func newSimulation(seed uint64, f faults, opts Options) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 17)), now: bootclock.Time(time.Hour), start: time.Unix(1000, 0), opts: opts, faults: f,
		loadByKey: make([]float64, ownership.KeySpaceSize), overstayFactor: 1}
	for i := range 6 {
		s.addUpstream(fmt.Sprintf("u%d", i))
	}
	for i := range 3 {
		h := &simHost{name: fmt.Sprintf("h%d", i), unreachableUntil: map[string]bootclock.Time{}, connectedTo: map[string]int{}}
		s.hosts = append(s.hosts, h)
		s.restartHost(h)
	}
	return s
}

func (s *simulation) addUpstream(id string) {
	s.upstreams = append(s.upstreams, &simUpstream{id: id, up: true, listed: true})
}

// restartHost gives the host a planner that knows nothing.
func (s *simulation) restartHost(h *simHost) {
	h.starts++
	h.recordsRead = 0
	h.publisher = view.NewPublisher()
	opts := s.opts
	opts.Host, opts.PeerAddr = h.name, h.name+":1"
	h.planner = New(opts)
	h.planner.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: s.loadByKey, Capacity: slotsByID(owners)}, 1000
	}
	h.publisher.Publish(func(v *view.View) {
		v.Desired = desired.New(1, nil, map[string]*desired.Service{simService: {Name: simService, Keyed: true}}, desired.Limits{})
	})
}

func (s *simulation) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.queue, at, func(e simEvent, at bootclock.Time) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, simEvent{at, do})
}

func (s *simulation) faultOccurs(perSecond float64, step time.Duration) bool {
	return s.rng.Float64() < perSecond*step.Seconds()
}

func (s *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

const simStep = 20 * time.Millisecond

// run plays for d and returns the first breach of ownership.
func (s *simulation) run(d time.Duration) error {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			do := s.queue[0].do
			s.queue = s.queue[1:]
			do()
			if !s.granted {
				continue // without a new grant no key gets a second holder
			}
			s.granted = false
			if err := s.checkExclusive(); err != nil {
				return err
			}
		}
		s.injectFaults()
		for _, h := range s.hosts {
			s.tickHost(h)
		}
	}
	return nil
}

func (s *simulation) tickHost(h *simHost) {
	if s.now.Before(h.stalledUntil) {
		return
	}
	if !s.now.Before(h.logUnreachableUntil) {
		s.updateView(h)
	}
	for _, a := range h.planner.Tick(s.now, h.publisher.Load()) {
		s.execute(h, a)
	}
}

// updateView brings the host's view up to date.
func (s *simulation) updateView(h *simHost) {
	all := map[string]*catalogue.Upstream{}
	for _, u := range s.upstreams {
		if u.listed {
			id := catalogue.IncarnationID(u.id, int64(u.incarnation))
			all[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: u.id, Slots: 3, Leaving: u.leaving}
		}
	}
	tables := map[string]*ownership.Table{}
	if len(s.log) > 0 {
		tables[simService] = s.log[len(s.log)-1]
	}
	h.planner.AdvanceStreamEnd(int64(len(s.log)))
	h.publisher.Publish(func(v *view.View) {
		v.Upstreams = catalogue.NewSnapshot(all)
		v.Tables = tables
	})
}

func (s *simulation) execute(h *simHost, a Action) {
	starts, planner := h.starts, h.planner
	// deliver hands a result back unless the host has restarted; a frozen
	// host gets it when it wakes.
	deliver := func(f func()) {
		s.after(s.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
			wait := max(h.stalledUntil.Sub(s.now), 0)
			s.after(wait, func() {
				if h.starts == starts && h.planner == planner {
					f()
				}
			})
		})
	}
	switch a := a.(type) {
	case *AcquireLease:
		s.acquireLease(h, a, deliver)
	case *Retire:
		s.retire(h, a, deliver)
	case *ReleaseLease:
		if s.leaseHolder == h.name {
			s.leaseUntil = s.now
		}
	case *Append:
		s.append(h, a, deliver)
	case *Grant:
		if a.ExistingConnOnly && !s.allowDials && h.connectedTo[a.Addr] != s.upstream(a.Addr).incarnation {
			deliver(func() { planner.GrantDone(a, ownership.ErrNotSent, s.now) })
			return
		}
		h.connectedTo[a.Addr] = s.upstream(a.Addr).incarnation
		s.callUpstream(h, a.Addr, func(arrived bootclock.Time) error { return s.grant(a, arrived) }, 0, true,
			func(err error) { deliver(func() { planner.GrantDone(a, err, s.now) }) })
	case *Release:
		s.callUpstream(h, a.Addr, func(bootclock.Time) error { return s.release(a) }, s.randomDuration(0, 1500*time.Millisecond), false,
			func(err error) { deliver(func() { planner.ReleaseDone(a, "token", err, s.now) }) })
	}
}

func (s *simulation) acquireLease(h *simHost, a *AcquireLease, deliver func(func())) {
	if s.now.Before(h.logUnreachableUntil) {
		deliver(func() { h.planner.AcquireLeaseDone(a, false, metastore.ErrRejected, s.now) })
		return
	}
	if !s.now.Before(s.leaseUntil) {
		s.leaseHolder = h.name

	}
	held := s.leaseHolder == h.name
	if held {
		s.leaseUntil = s.now.Add(a.TTL)
	}
	deliver(func() { h.planner.AcquireLeaseDone(a, held, nil, s.now) })
}

// retire asks another host. One that stands still does not answer.
func (s *simulation) retire(h *simHost, r *Retire, deliver func(func())) {
	planner := h.planner
	i := slices.IndexFunc(s.hosts, func(other *simHost) bool { return other.name == r.Host })
	peer := s.hosts[i]
	if s.now.Before(peer.stalledUntil) || s.rng.Float64() < s.faults.answerLost {
		s.after(callTimeout, func() { deliver(func() { planner.RetireDone(r, "", false, s.now) }) })
		return
	}
	retired := peer.planner.Retire(r.Service, r.Term, s.now)
	deliver(func() { planner.RetireDone(r, peer.name, retired, s.now) })
}

func (s *simulation) append(h *simHost, a *Append, deliver func(func())) {
	planner := h.planner
	write := func() error {
		if int64(len(s.log)) != a.ExpectedOffset {
			return metastore.ErrConflict
		}
		s.log = append(s.log, a.Table)
		return nil
	}
	done := func(err error) {
		end := int64(len(s.log))
		deliver(func() {
			if t := planner.AppendDone(a, end, err, s.now); t != nil {
				h.publisher.Publish(func(v *view.View) { v.Tables = map[string]*ownership.Table{simService: t} })
			}
		})
	}
	switch x := s.rng.Float64(); {
	case s.now.Before(h.logUnreachableUntil):
		done(metastore.ErrRejected)
	case x < s.faults.appendAnswerLost:
		_ = write()
		done(metastore.ErrNoAnswer)
	case x < s.faults.appendAnswerLost+s.faults.appendLate:
		s.after(s.randomDuration(time.Second, 6*time.Second), func() { _ = write() })
		done(metastore.ErrNoAnswer)
	default:
		done(write())
	}
}

// mutedShare is how many answers of a mute upstream are lost.
const answerOutageLossRate = 0.85

// orderTimeout is how long a host waits for an order's answer.
const callTimeout = 300 * time.Millisecond

// callUpstream delivers an order after a short way, or does not, and hands its
// result to answered. The upstream carries it out on arrival and answers
// after work.
func (s *simulation) callUpstream(h *simHost, id string, do func(arrived bootclock.Time) error, work time.Duration, mayArriveLate bool, done func(error)) {
	if s.now.Before(h.unreachableUntil[id]) || !s.upstream(id).up {
		err := ownership.ErrNotSent
		if s.rng.IntN(3) == 0 {
			err = ownership.ErrNoAnswer
		}
		s.after(callTimeout, func() { done(err) })
		return
	}
	x := s.rng.Float64()
	s.after(s.randomDuration(time.Millisecond, 40*time.Millisecond), func() {
		arrived := s.now
		switch {
		case x < s.faults.answerLost, x < answerOutageLossRate && s.now.Before(s.upstream(id).answersLostUntil):
			_ = do(arrived)
			s.after(callTimeout, func() { done(ownership.ErrNoAnswer) })
		case mayArriveLate && x < s.faults.answerLost+s.faults.callLate:
			s.after(s.randomDuration(2*time.Second, 12*time.Second), func() { _ = do(arrived) })
			s.after(callTimeout, func() { done(ownership.ErrNoAnswer) })
		default:
			err := do(arrived)
			s.after(work, func() { done(err) })
		}
	})
}
