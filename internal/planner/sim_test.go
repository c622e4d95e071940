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

// sim plays several hosts' planners against one log and a set of upstreams in
// virtual time, with faults drawn from a seed. After every step it checks
// that no key is held by two upstreams that are up.
type sim struct {
	rng   *rand.Rand
	now   bootclock.Time
	start time.Time
	queue []event
	hosts []*simHost
	ups   []*simUpstream
	log   []*ownership.Table
	// seat is the group's state.
	seatHolder string
	seatUntil  bootclock.Time

	opts   Options
	faults faults
	byKey  []float64
	// steady keeps the load as it is.
	steady bool
	// keepsOpen makes hosts open connections for grants whenever they like.
	keepsOpen bool
	// overstay is how much longer than told upstreams hold, as a factor.
	overstay float64
	// granted is set by each grant that an upstream takes.
	granted bool
}

type event struct {
	at bootclock.Time
	do func()
}

type simHost struct {
	name        string
	p           *Planner
	v           *view.Holder
	read        int // records of the log seen
	frozenUntil bootclock.Time
	cutUntil    bootclock.Time // from the log
	noWay       map[string]bootclock.Time
	// kept are the lives of upstreams to which a connection is open.
	kept map[string]int
	life int
}

type hold struct {
	from, to int
	fence    int64
	until    bootclock.Time
}

type simUpstream struct {
	id      string
	up      bool
	listed  bool
	leaving bool
	// life counts its starts. Each forgets the holds and tokens of the one
	// before.
	life int
	// muteUntil is until when most of its answers are lost.
	muteUntil bootclock.Time
	holds     []hold
	seen      []hold // highest token seen, by run of keys
}

const simService = "svc"

func newSim(seed uint64, f faults, opts Options) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 17)), now: bootclock.Time(time.Hour), start: time.Unix(1000, 0), opts: opts, faults: f,
		byKey: make([]float64, ownership.Keys), overstay: 1}
	for i := range 6 {
		s.addUpstream(fmt.Sprintf("u%d", i))
	}
	for i := range 3 {
		h := &simHost{name: fmt.Sprintf("h%d", i), noWay: map[string]bootclock.Time{}, kept: map[string]int{}}
		s.hosts = append(s.hosts, h)
		s.restart(h)
	}
	return s
}

func (s *sim) addUpstream(id string) {
	s.ups = append(s.ups, &simUpstream{id: id, up: true, listed: true})
}

// restart gives the host a planner that knows nothing.
func (s *sim) restart(h *simHost) {
	h.life++
	h.read = 0
	h.v = view.NewHolder()
	opts := s.opts
	opts.Host, opts.PeerAddr = h.name, h.name+":1"
	h.p = New(opts)
	h.p.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: s.byKey, Capacity: slotsOf(owners)}, 1000
	}
	h.v.Publish(func(v *view.View) {
		v.Desired = desired.New(1, nil, map[string]*desired.Service{simService: {Name: simService, Keyed: true}}, desired.Limits{})
	})
}

func (s *sim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.queue, at, func(e event, at bootclock.Time) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, event{at, do})
}

func (s *sim) chance(perSecond float64, step time.Duration) bool {
	return s.rng.Float64() < perSecond*step.Seconds()
}

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

const simStep = 20 * time.Millisecond

// run plays for d and returns the first breach of ownership.
func (s *sim) run(d time.Duration) error {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			do := s.queue[0].do
			s.queue = s.queue[1:]
			do()
			if !s.granted {
				continue // without a new grant no key gets a second holder
			}
			s.granted = false
			if err := s.check(); err != nil {
				return err
			}
		}
		s.strike()
		for _, h := range s.hosts {
			s.tickHost(h)
		}
	}
	return nil
}

func (s *sim) tickHost(h *simHost) {
	if s.now.Before(h.frozenUntil) {
		return
	}
	if !s.now.Before(h.cutUntil) {
		s.follow(h)
	}
	for _, a := range h.p.Tick(s.now, h.v.Load()) {
		s.carryOut(h, a)
	}
}

// follow brings the host's view up to date.
func (s *sim) follow(h *simHost) {
	all := map[string]*catalogue.Upstream{}
	for _, u := range s.ups {
		if u.listed {
			id := catalogue.LifeID(u.id, int64(u.life))
			all[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: u.id, Slots: 3, Leaving: u.leaving}
		}
	}
	tables := map[string]*ownership.Table{}
	if len(s.log) > 0 {
		tables[simService] = s.log[len(s.log)-1]
	}
	h.p.StreamEnd(int64(len(s.log)))
	h.v.Publish(func(v *view.View) {
		v.Upstreams = catalogue.NewSnapshot(all)
		v.Tables = tables
	})
}

func (s *sim) carryOut(h *simHost, a Action) {
	life, p := h.life, h.p
	// deliver hands a result back unless the host has restarted; a frozen
	// host gets it when it wakes.
	deliver := func(f func()) {
		s.after(s.between(time.Millisecond, 30*time.Millisecond), func() {
			wait := max(h.frozenUntil.Sub(s.now), 0)
			s.after(wait, func() {
				if h.life == life && h.p == p {
					f()
				}
			})
		})
	}
	switch a := a.(type) {
	case *Join:
		s.join(h, a, deliver)
	case *Retire:
		s.retire(h, a, deliver)
	case *Leave:
		if s.seatHolder == h.name {
			s.seatUntil = s.now
		}
	case *Append:
		s.append(h, a, deliver)
	case *Grant:
		if a.KeptOnly && !s.keepsOpen && h.kept[a.Addr] != s.upstream(a.Addr).life {
			deliver(func() { p.GrantDone(a, ownership.ErrNotSent, s.now) })
			return
		}
		h.kept[a.Addr] = s.upstream(a.Addr).life
		s.order(h, a.Addr, func(arrived bootclock.Time) error { return s.grant(a, arrived) }, 0, true,
			func(err error) { deliver(func() { p.GrantDone(a, err, s.now) }) })
	case *Release:
		s.order(h, a.Addr, func(bootclock.Time) error { return s.release(a) }, s.between(0, 1500*time.Millisecond), false,
			func(err error) { deliver(func() { p.ReleaseDone(a, "token", err, s.now) }) })
	}
}

func (s *sim) join(h *simHost, j *Join, deliver func(func())) {
	if s.now.Before(h.cutUntil) {
		deliver(func() { h.p.JoinDone(j, false, metastore.ErrRefused, s.now) })
		return
	}
	if !s.now.Before(s.seatUntil) {
		s.seatHolder = h.name

	}
	held := s.seatHolder == h.name
	if held {
		s.seatUntil = s.now.Add(j.TTL)
	}
	deliver(func() { h.p.JoinDone(j, held, nil, s.now) })
}

// retire asks another host. One that stands still does not answer.
func (s *sim) retire(h *simHost, r *Retire, deliver func(func())) {
	p := h.p
	i := slices.IndexFunc(s.hosts, func(o *simHost) bool { return o.name == r.Host })
	asked := s.hosts[i]
	if s.now.Before(asked.frozenUntil) || s.rng.Float64() < s.faults.orderLost {
		s.after(orderTimeout, func() { deliver(func() { p.RetireDone(r, "", false, s.now) }) })
		return
	}
	retired := asked.p.Retired(r.Service, r.Term, s.now)
	deliver(func() { p.RetireDone(r, asked.name, retired, s.now) })
}

func (s *sim) append(h *simHost, a *Append, deliver func(func())) {
	p := h.p
	write := func() error {
		if int64(len(s.log)) != a.At {
			return metastore.ErrConflict
		}
		s.log = append(s.log, a.Table)
		return nil
	}
	done := func(err error) {
		end := int64(len(s.log))
		deliver(func() {
			if t := p.AppendDone(a, end, err, s.now); t != nil {
				h.v.Publish(func(v *view.View) { v.Tables = map[string]*ownership.Table{simService: t} })
			}
		})
	}
	switch x := s.rng.Float64(); {
	case s.now.Before(h.cutUntil):
		done(metastore.ErrRefused)
	case x < s.faults.appendLost:
		_ = write()
		done(metastore.ErrNoAnswer)
	case x < s.faults.appendLost+s.faults.appendLate:
		s.after(s.between(time.Second, 6*time.Second), func() { _ = write() })
		done(metastore.ErrNoAnswer)
	default:
		done(write())
	}
}

// mutedShare is how many answers of a mute upstream are lost.
const mutedShare = 0.85

// orderTimeout is how long a host waits for an order's answer.
const orderTimeout = 300 * time.Millisecond

// order delivers an order after a short way, or does not, and hands its
// result to answered. The upstream carries it out on arrival and answers
// after work.
func (s *sim) order(h *simHost, id string, do func(arrived bootclock.Time) error, work time.Duration, mayBeLate bool, answered func(error)) {
	if s.now.Before(h.noWay[id]) || !s.upstream(id).up {
		err := ownership.ErrNotSent
		if s.rng.IntN(3) == 0 {
			err = ownership.ErrNoAnswer
		}
		s.after(orderTimeout, func() { answered(err) })
		return
	}
	x := s.rng.Float64()
	s.after(s.between(time.Millisecond, 40*time.Millisecond), func() {
		arrived := s.now
		switch {
		case x < s.faults.orderLost, x < mutedShare && s.now.Before(s.upstream(id).muteUntil):
			_ = do(arrived)
			s.after(orderTimeout, func() { answered(ownership.ErrNoAnswer) })
		case mayBeLate && x < s.faults.orderLost+s.faults.orderLate:
			s.after(s.between(2*time.Second, 12*time.Second), func() { _ = do(arrived) })
			s.after(orderTimeout, func() { answered(ownership.ErrNoAnswer) })
		default:
			err := do(arrived)
			s.after(work, func() { answered(err) })
		}
	})
}
