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

// simulation runs the Planners of several hosts in virtual time against one
// ownership stream and a set of upstreams, with random faults. After each new
// grant it checks that no two running upstreams own the same key.
type simulation struct {
	rng       *rand.Rand
	now       bootclock.Time
	start     time.Time
	queue     []simEvent
	hosts     []*simHost
	upstreams []*simUpstream
	// log is the ownership stream, era how often it has returned from a copy. copies are earlier
	// states of it.
	log    []*ownership.Table
	era    int64
	copies []simCopy
	// accepted holds the grants that upstreams have accepted by token; see checkToken.
	accepted map[int64][]simAccepted
	tokenErr error
	// leaseHolder holds the planner lease until leaseUntil.
	leaseHolder string
	leaseUntil  bootclock.Time

	opts      Options
	faults    faults
	loadByKey []float64
	// steadyLoad disables random changes of loadByKey.
	steadyLoad bool
	// allowDials makes hosts ignore Grant.ExistingConnOnly.
	allowDials bool
	// overstayFactor multiplies the time for which upstreams keep a grant.
	overstayFactor float64
	// relayLate makes hosts send relayed grants whenever they get to it.
	relayLate bool
	// idleTimeout is how long upstreams keep idle connections open, statedIdleTimeout what the
	// Planners are told.
	idleTimeout, statedIdleTimeout time.Duration
	// granted is set when an upstream accepts a grant.
	granted bool
}

// simEvent is a call of do scheduled for time at.
type simEvent struct {
	at bootclock.Time
	do func()
}

// simCopy is a copy of the log and of its election.
type simCopy struct {
	at          bootclock.Time
	log         []*ownership.Table
	leaseHolder string
}

// simHost is a host with its Planner, whether or not it is the planner.
type simHost struct {
	name           string
	planner        *Planner
	publisher      *view.Publisher
	recordsRead    int
	stalledUntil   bootclock.Time
	logOutageUntil bootclock.Time
	// unreachableUntil is when each upstream can be reached again.
	unreachableUntil map[string]bootclock.Time
	// connectedTo is the incarnation of each upstream to which a connection is open, lastExchangeAt
	// when an upstream last executed a call of the host's process.
	connectedTo    map[string]int
	lastExchangeAt map[string]bootclock.Time
	// cutOffUntil is when the host reaches upstreams again after it lost its paths to all of them.
	// It knows of the beginning and the end pathDetectionDelay later.
	cutOffFrom, cutOffUntil bootclock.Time
	// starts counts the starts of the host's Planner.
	starts int
}

// simGrant is a grant that an upstream has accepted.
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
	// incarnation counts its restarts. Each one forgets all grants and tokens.
	incarnation int
	// responsesLostUntil is when most of its responses stop getting lost.
	responsesLostUntil bootclock.Time
	grants             []simGrant
	// tokensSeen holds the highest fencing token seen for each span of keys.
	tokensSeen []simGrant
}

const simService = "svc"

func newSimulation(seed uint64, f faults, opts Options) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 17)), now: bootclock.Time(time.Hour), start: time.Unix(1000, 0), opts: opts, faults: f, accepted: map[int64][]simAccepted{},
		loadByKey: make([]float64, ownership.KeySpaceSize), overstayFactor: 1}
	for i := range 6 {
		s.addUpstream(fmt.Sprintf("u%d", i))
	}
	for i := range 3 {
		h := &simHost{name: fmt.Sprintf("h%d", i), unreachableUntil: map[string]bootclock.Time{}}
		s.hosts = append(s.hosts, h)
		s.restartHost(h)
	}
	return s
}

func (s *simulation) addUpstream(id string) {
	s.upstreams = append(s.upstreams, &simUpstream{id: id, up: true, listed: true})
}

// restartHost replaces the host's Planner and view by new ones.
func (s *simulation) restartHost(h *simHost) {
	h.starts++
	h.recordsRead = 0
	h.connectedTo, h.lastExchangeAt = map[string]int{}, map[string]bootclock.Time{}
	h.publisher = view.NewPublisher()
	opts := s.opts
	opts.Host, opts.PeerAddr = h.name, h.name+":1"
	h.planner = New(opts)
	h.planner.IdleTimeout = func() time.Duration { return s.statedIdleTimeout }
	h.planner.Load = func(_ string, owners []*catalogue.Upstream) (ownership.Load, float64) {
		return ownership.Load{ByKey: s.loadByKey, Capacity: slotsByID(owners)}, 1000
	}
	h.publisher.Publish(func(v *view.View) {
		v.Desired = desired.New(1, nil, map[string]*desired.Service{simService: {Name: simService, Keyed: true}}, desired.Limits{})
	})
}

// after schedules do. Calls that are due at the same time run in the order of scheduling.
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

// faultOccurs reports at random whether a fault with the given rate occurs within step.
func (s *simulation) faultOccurs(perSecond float64, step time.Duration) bool {
	return s.rng.Float64() < perSecond*step.Seconds()
}

func (s *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

const simStep = 20 * time.Millisecond

// run simulates d and returns an error once a key has two owners.
func (s *simulation) run(d time.Duration) error {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			do := s.queue[0].do
			s.queue = s.queue[1:]
			do()
			if !s.granted {
				continue // only a new grant can give a key a second owner
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
	return s.tokenErr
}

func (s *simulation) tickHost(h *simHost) {
	if s.now.Before(h.stalledUntil) {
		return
	}
	if !s.now.Before(h.logOutageUntil) {
		s.updateView(h)
	}
	h.planner.ObservePaths(h.knowsCutOff(s.now), len(s.helpers(h)) > 0)
	for _, a := range h.planner.Tick(s.now, h.publisher.Load()) {
		s.execute(h, a)
	}
}

// end returns the position of the log's end.
func (s *simulation) end() metastore.Position {
	return metastore.Position{Era: s.era, Offset: int64(len(s.log))}
}

// updateView updates the host's view with the listed upstreams and the latest table.
func (s *simulation) updateView(h *simHost) {
	all := map[string]*catalogue.Upstream{}
	for _, u := range s.upstreams {
		if u.listed {
			id := catalogue.IncarnationID(u.id, int64(u.incarnation))
			all[id] = &catalogue.Upstream{ID: id, Service: simService, Addr: u.id, Slots: 3, Leaving: u.leaving}
		}
	}
	h.planner.ObserveEra(s.era, s.now)
	tables := h.publisher.Load().Tables
	if len(s.log) > 0 {
		if latest, known := s.log[len(s.log)-1], tables[simService]; known == nil || latest.MaxFencingToken > known.MaxFencingToken {
			tables = map[string]*ownership.Table{simService: latest}
		}
	}
	h.planner.AdvanceStreamEnd(s.end())
	h.publisher.Publish(func(v *view.View) {
		v.Upstreams = catalogue.NewSnapshot(all)
		v.Tables = tables
	})
}

// execute makes a call that the host's Planner returned and delivers its result.
func (s *simulation) execute(h *simHost, a Action) {
	starts, planner := h.starts, h.planner
	// deliver passes a result back unless the host has restarted. A stalled
	// host gets it after the stall.
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
	case *LeaveElection:
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
		if a.Indirect {
			s.relay(h, a.Addr, a.DecidedAt.Add(maxGrantDelay), func(arrived bootclock.Time) error { return s.grant(a, arrived) }, 0,
				func(err error) { deliver(func() { planner.GrantDone(a, err, s.now) }) })
			return
		}
		h.connectedTo[a.Addr] = s.upstream(a.Addr).incarnation
		s.callUpstream(h, a.Addr, func(arrived bootclock.Time) error { return s.grant(a, arrived) }, 0, true,
			func(err error) { deliver(func() { planner.GrantDone(a, err, s.now) }) })
	case *Release:
		if a.Indirect {
			s.relay(h, a.Addr, s.now.Add(maxGrantDelay), func(bootclock.Time) error { return s.release(a) }, s.randomDuration(0, 1500*time.Millisecond),
				func(err error) { deliver(func() { planner.ReleaseDone(a, "token", err, s.now) }) })
			return
		}
		s.callUpstream(h, a.Addr, func(bootclock.Time) error { return s.release(a) }, s.randomDuration(0, 1500*time.Millisecond), false,
			func(err error) { deliver(func() { planner.ReleaseDone(a, "token", err, s.now) }) })
	}
}

// acquireLease requests the planner lease, which goes to the first host that asks
// after it has expired.
func (s *simulation) acquireLease(h *simHost, a *AcquireLease, deliver func(func())) {
	if s.now.Before(h.logOutageUntil) {
		deliver(func() { h.planner.AcquireLeaseDone(a, false, metastore.ErrRejected, s.now) })
		return
	}
	if !s.now.Before(s.leaseUntil) {
		s.leaseHolder = h.name

	}
	held, era := s.leaseHolder == h.name, s.era
	if held {
		s.leaseUntil = s.now.Add(a.TTL)
	}
	deliver(func() {
		h.planner.ObserveEra(era, s.now)
		err := error(nil)
		if era != s.era && h.planner.era != era {
			err = metastore.ErrEraChanged
		}
		h.planner.AcquireLeaseDone(a, held, err, s.now)
	})
}

// retire asks another host to retire. A stalled host does not respond.
func (s *simulation) retire(h *simHost, r *Retire, deliver func(func())) {
	planner := h.planner
	i := slices.IndexFunc(s.hosts, func(other *simHost) bool { return other.name == r.Host })
	peer := s.hosts[i]
	if s.now.Before(peer.stalledUntil) || s.rng.Float64() < s.faults.responseLost {
		s.after(callTimeout, func() { deliver(func() { planner.RetireDone(r, ownership.Retirement{}, s.now) }) })
		return
	}
	peer.planner.ObserveEra(h.planner.era, s.now)
	result := peer.planner.Retire(r.Service, r.Term, s.now)
	deliver(func() { planner.RetireDone(r, result, s.now) })
}

// append appends the table to the ownership stream, subject to the simulated faults.
func (s *simulation) append(h *simHost, a *Append, deliver func(func())) {
	planner := h.planner
	write := func() error {
		if s.end().Offset != a.At.Offset {
			return metastore.ErrConflict
		}
		s.log = append(s.log, a.Table)
		if a.At.Era != s.era {
			return metastore.ErrEraChanged
		}
		return nil
	}
	done := func(err error) {
		end := s.end()
		deliver(func() {
			if t := planner.AppendDone(a, end, err, s.now); t != nil {
				if known := h.publisher.Load().Tables[simService]; known == nil || t.MaxFencingToken > known.MaxFencingToken {
					h.publisher.Publish(func(v *view.View) { v.Tables = map[string]*ownership.Table{simService: t} })
				}
			}
		})
	}
	switch x := s.rng.Float64(); {
	case s.now.Before(h.logOutageUntil):
		done(metastore.ErrRejected)
	case x < s.faults.appendResponseLost:
		_ = write()
		done(metastore.ErrNoResponse)
	case x < s.faults.appendResponseLost+s.faults.appendLate:
		s.after(s.randomDuration(time.Second, 6*time.Second), func() { _ = write() })
		done(metastore.ErrNoResponse)
	default:
		done(write())
	}
}
