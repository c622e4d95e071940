package shares

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// utilisation is the part of the capacity that is handed out. Up to it requests rarely
	// queue at the upstreams.
	utilisation = 0.85
	// A service becomes scarce when its demand exceeds its room, and stays so until the
	// demand has been under endFraction of it for endDelay: about as long as callers that
	// were refused take to return.
	endFraction = 0.9
	endDelay    = 2 * time.Second
	// reservedFraction is the part of the room that less urgent classes keep.
	reservedFraction = 0.1
	// updateInterval is how often the division is computed anew, a third of the time
	// between two calls of a host.
	updateInterval = 100 * time.Millisecond
	// minJoiningFraction is the part of its target from which a host that joins gets a share.
	// With less it would refuse most requests until its next call.
	minJoiningFraction = 0.5
	// fullFraction is the part of its demand from which a class counts as admitted in full. It
	// is below 1 only because of rounding.
	fullFraction = 0.9999
	// grantTTL is how long a share counts after it was handed out: its validity begins only
	// when the host receives it.
	grantTTL = Validity + 100*time.Millisecond
)

// Change describes a service that became scarce or ceased to be.
type Change struct {
	Service string
	Scarce  bool
	// Demand and Room are work per second, Hosts is the number of hosts that share it.
	Demand, Room float64
	Hosts        int
}

// serviceState is the division of one service.
type serviceState struct {
	scarce     bool
	belowSince time.Time
	// rooms holds the rooms of the last grantTTL, the newest last.
	rooms []roomSample
	// classes are the classes that hosts have stated, the most urgent first.
	classes []classState
}

type roomSample struct {
	at   time.Time
	room float64
}

// classState is the division of a class.
type classState struct {
	class desired.Class
	// work is the expected work of a request in seconds; 0 if it is not known.
	work float64
	// demand and given are work per second.
	demand, given float64
}

// Divider computes the hosts' shares. It is safe for concurrent use.
type Divider struct {
	// OnChange is called when a service becomes scarce or ceases to be. It must not call
	// the divider.
	OnChange func(Change)

	mu        sync.Mutex
	hosts     map[string]*hostState
	work      workEstimator
	services  map[string]*serviceState
	updatedAt time.Time
	// startedAt is when the first of an unbroken sequence of records arrived, recordedAt when
	// the last did.
	startedAt, recordedAt time.Time
}

// NewDivider returns a divider without data.
func NewDivider() *Divider {
	return &Divider{OnChange: func(Change) {}, hosts: map[string]*hostState{}, services: map[string]*serviceState{},
		work: workEstimator{byClass: map[desired.Class]*classEstimate{}}}
}

// Record records the demand that a host states in a call: an entry for each class of the
// competing services, also of those without requests.
func (d *Divider) Record(host string, demand []Demand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endIfSilent(now)
	if len(demand) == 0 {
		return // there are no competing services, or the host runs an earlier build
	}
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	d.recordedAt = now
	h := d.hosts[host]
	if h == nil {
		h = &hostState{granted: map[string]grant{}}
		d.hosts[host] = h
	}
	h.add(demand, now)
	for _, e := range demand {
		d.work.add(e, now)
	}
}

// Check ends all scarcity if the hosts have stopped calling: another host divides then.
func (d *Divider) Check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endIfSilent(now)
}

// endIfSilent resets the demand if no host has called for a second. Shares that were handed
// out before still count until they expire.
func (d *Divider) endIfSilent(now time.Time) {
	if d.startedAt.IsZero() || now.Sub(d.recordedAt) <= demandWindow {
		return
	}
	d.startedAt, d.updatedAt = time.Time{}, time.Time{}
	for _, h := range d.hosts {
		h.records, h.lastCall = nil, time.Time{}
	}
	for name, s := range d.services {
		d.setScarce(name, s, false, 0, 0)
	}
	clear(d.services)
}

// Shares returns the host's shares. room holds the rooms of the services for which they
// are known.
func (d *Divider) Shares(host string, room map[string]Room, now time.Time) []Share {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hosts[host]
	if h == nil || d.startedAt.IsZero() {
		return nil
	}
	if h.targets == nil || now.Sub(d.updatedAt) >= updateInterval {
		d.update(room, now)
	}
	var out []Share
	for name, s := range d.services {
		scale, limited := 0.0, false
		if s.scarce {
			scale, limited = d.grantTo(host, name, s, now)
		}
		for _, c := range s.classes {
			if c.work == 0 {
				continue
			}
			e := Share{Class: c.class, Work: seconds(c.work), AdmittedFraction: 1}
			if limited && c.demand > 0 { // without demand, the first requests are all admitted
				e.Scarce, e.Valid, e.PerSecond = true, Validity, seconds(h.targets[c.class]*scale)
				if c.given < c.demand*fullFraction {
					e.AdmittedFraction = c.given / c.demand
				}
			}
			out = append(out, e)
		}
	}
	return out
}

// grantTo returns the part of the host's target of a service that can be handed out now, and
// records it. What other hosts hold counts against the largest room of the last grantTTL. A host
// that joins while the others hold nearly all of it gets no share and is not limited.
func (d *Divider) grantTo(host, service string, s *serviceState, now time.Time) (scale float64, limited bool) {
	available := 0.0
	for _, r := range s.rooms {
		available = max(available, r.room)
	}
	for name, h := range d.hosts {
		if g := h.granted[service]; name != host && now.Before(g.until) {
			available -= g.perSecond
		}
	}
	h := d.hosts[host]
	target := 0.0
	for _, c := range s.classes {
		target += h.targets[c.class]
	}
	granted := min(target, max(available, 0))
	if holds := now.Before(h.granted[service].until); target == 0 || (!holds && granted < target*minJoiningFraction) {
		delete(h.granted, service)
		return 0, false
	}
	h.granted[service] = grant{granted, now.Add(grantTTL)}
	return granted / target, true
}

// update computes the division anew.
func (d *Divider) update(room map[string]Room, now time.Time) {
	d.updatedAt = now
	rates := map[string]map[desired.Class]float64{} // nil for hosts whose demand is unknown
	total, promised := map[desired.Class]float64{}, map[desired.Class]float64{}
	known := 0
	for name, h := range d.hosts {
		if now.Sub(h.lastCall) > hostTTL {
			h.records, h.targets = nil, nil
			if !h.holdsShares(now) {
				delete(d.hosts, name)
			}
			continue
		}
		h.targets = map[desired.Class]float64{}
		rates[name] = h.rates(promised, now)
		if rates[name] != nil {
			known++
		}
		for _, e := range h.records[len(h.records)-1].classes {
			total[e.Class] += 0 // lists the class even if it has no requests
		}
		for c, r := range rates[name] {
			total[c] += r
		}
	}
	previous := d.services
	d.services = map[string]*serviceState{}
	for c, r := range total {
		s := d.services[c.Service]
		if s == nil {
			if s = previous[c.Service]; s == nil {
				s = &serviceState{}
			}
			s.classes = nil
			d.services[c.Service] = s
		}
		s.classes = append(s.classes, classState{class: c, demand: r})
	}
	for name, s := range previous {
		if d.services[name] == nil {
			d.setScarce(name, s, false, 0, 0)
		}
	}
	for name, s := range d.services {
		d.updateService(name, s, room[name], promised, now)
		if s.scarce {
			d.setTargets(s, rates, total, known)
		}
	}
}

// holdsShares reports whether shares that were handed out to the host have not expired.
func (h *hostState) holdsShares(now time.Time) bool {
	for _, g := range h.granted {
		if now.Before(g.until) {
			return true
		}
	}
	return false
}

// updateService decides whether the service is scarce and divides its room among its
// classes, whose demand is still in requests per second.
func (d *Divider) updateService(name string, s *serviceState, room Room, promised map[desired.Class]float64, now time.Time) {
	slices.SortFunc(s.classes, func(x, y classState) int {
		return cmp.Or(cmp.Compare(x.class.Priority, y.class.Priority), cmp.Compare(x.class.Objective, y.class.Objective))
	})
	work := d.work.estimate(name, room, now)
	capacity, demand, future := room.Capacity*utilisation, 0.0, 0.0
	for i := range s.classes {
		c := &s.classes[i]
		c.work = work[c.class]
		c.demand *= c.work
		demand += c.demand
		future += promised[c.class] * c.work
	}
	s.rooms = append(s.rooms, roomSample{now, capacity})
	s.rooms = slices.DeleteFunc(s.rooms, func(r roomSample) bool { return now.Sub(r.at) >= grantTTL })
	// Callers that are to return come within a second or two. They keep a service scarce; the
	// arrivals on which its start depends include those that returned already.
	if demand+future >= capacity*endFraction {
		s.belowSince = time.Time{}
	} else if s.belowSince.IsZero() {
		s.belowSince = now
	}
	switch {
	case capacity == 0 || demand == 0:
		d.setScarce(name, s, false, demand, capacity)
	case s.scarce && !s.belowSince.IsZero() && now.Sub(s.belowSince) >= endDelay:
		d.setScarce(name, s, false, demand, capacity)
	case !s.scarce && demand > capacity && now.Sub(d.startedAt) >= grantTTL:
		d.setScarce(name, s, true, demand, capacity)
	}
	divide(s.classes, capacity)
}

// setScarce sets whether the service is scarce and reports a change.
func (d *Divider) setScarce(name string, s *serviceState, scarce bool, demand, room float64) {
	if s.scarce == scarce {
		return
	}
	s.scarce = scarce
	d.OnChange(Change{Service: name, Scarce: scarce, Demand: demand, Room: room, Hosts: len(d.hosts)})
}

// divide sets what each class gets of the room. classes is sorted by priority. A priority
// gets what it asks for, but the less urgent ones keep reservedFraction of the room as long
// as they ask for it. Room that nobody asks for goes to all in proportion to demand.
func divide(classes []classState, room float64) {
	left := room
	for rest := classes; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].class.Priority == rest[0].class.Priority {
			n++
		}
		asked, askedBelow := sumDemand(rest[:n]), sumDemand(rest[n:])
		given := min(asked, left-min(reservedFraction*left, askedBelow))
		for i := range rest[:n] {
			rest[i].given = 0
			if asked > 0 {
				rest[i].given = given * rest[i].demand / asked
			}
		}
		left -= given
		rest = rest[n:]
	}
	if demand := sumDemand(classes); demand > 0 {
		for i := range classes {
			classes[i].given += left * classes[i].demand / demand
		}
	}
}

func sumDemand(classes []classState) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.demand
	}
	return sum
}

// setTargets divides what each class gets among the hosts in proportion to their demand. A
// host's demand is its rate and the mean over the hosts, weighted by the time for which they
// were observed; a host without a rate has a small part of the mean.
func (d *Divider) setTargets(s *serviceState, rates map[string]map[desired.Class]float64, total map[desired.Class]float64, known int) {
	if known == 0 {
		return
	}
	for _, c := range s.classes {
		prior := total[c.class] / float64(known) * priorSeconds
		all := total[c.class]*(1+priorSeconds) + prior*float64(len(rates)-known)
		if all == 0 {
			continue
		}
		for name, r := range rates {
			d.hosts[name].targets[c.class] = c.given * (r[c.class] + prior) / all
		}
	}
}

// ScarceServices returns the services that are scarce.
func (d *Divider) ScarceServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for name, s := range d.services {
		if s.scarce {
			out = append(out, name)
		}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
