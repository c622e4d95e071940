// Package fleet tracks the other entry hosts by the calls that they make to this
// one, usually the planner: how many there are, which are candidates, and which host
// of each data centre relays the log replica to the others. It makes no calls itself.
package fleet

import (
	"sync"
	"time"
)

const (
	// livenessTimeout is how long after its last call a host counts as running.
	// Healthy hosts call three times a second.
	livenessTimeout = 1500 * time.Millisecond
	// sizeRetention is how long after its last call a host counts in the fleet's size,
	// by which hosts divide shared limits. A host partitioned from the planner
	// still serves requests and uses its share of connections and retries.
	sizeRetention = time.Minute
	// minLocalHostsForRelay is the least number of hosts in the planner's own data
	// centre for which one of them relays. Replies to fewer cost the planner little.
	minLocalHostsForRelay = 8
	// minRemoteHostsForRelay is the corresponding minimum in other data centres.
	// Traffic between data centres is charged, and each ownership change goes to every
	// follower: without relays, replies to followers can be a quarter of that traffic
	// even in a fleet of twelve hosts.
	minRemoteHostsForRelay = 2
)

// Host describes an entry host, as stated in its calls.
type Host struct {
	Name string
	// DataCentre is where it runs. PeerAddr (host:port) is its address for calls from
	// other hosts.
	DataCentre, PeerAddr string
	// Candidate is set if the host has the capacity to be the planner or a relay. Other
	// hosts become the planner only if there is none for a while, and never a relay.
	Candidate bool
	// Followers is how many hosts follow this one.
	Followers int
	// CutOff is set if it has lost its paths to all upstreams.
	CutOff bool
	// ClockOffset is the callee's clock less the host's, and at most the call's delay more. HasClock
	// is set if the host states its clock.
	ClockOffset time.Duration
	HasClock    bool
}

// hostEntry is the host as of its last call.
type hostEntry struct {
	Host
	lastCall time.Time
}

// Fleet holds the hosts that have called this one. It is safe for concurrent use.
type Fleet struct {
	// localDataCentre is this host's data centre.
	localDataCentre string
	mu              sync.Mutex
	// hosts holds the hosts that have called, by name.
	hosts map[string]hostEntry
	// relays holds the name of the current relay of each data centre.
	relays map[string]string
	// plannerFleetSize is the number of hosts in the fleet as counted by the planner,
	// received from the planner or a relay; 0 if none was received.
	plannerFleetSize int
}

// New returns a fleet without known hosts, for a host in localDataCentre.
func New(localDataCentre string) *Fleet {
	return &Fleet{localDataCentre: localDataCentre, hosts: map[string]hostEntry{}, relays: map[string]string{}}
}

// RecordCall records a call from h.
func (f *Fleet) RecordCall(h Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[h.Name] = hostEntry{Host: h, lastCall: now}
}

// SetPlannerFleetSize sets the number of hosts in the fleet as counted by the planner.
func (f *Fleet) SetPlannerFleetSize(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plannerFleetSize = size
}

// HasPlannerFleetSize reports whether the planner's count of the fleet's hosts is known.
func (f *Fleet) HasPlannerFleetSize() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plannerFleetSize > 0
}

// Size returns the number of hosts in the fleet, including this one: the planner's
// count or that of this host, whichever is higher.
func (f *Fleet) Size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.followers(now)+1, f.plannerFleetSize)
}

// Followers returns how many hosts follow this one, directly or through a relay.
func (f *Fleet) Followers(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followers(now)
}

func (f *Fleet) followers(now time.Time) int {
	n := 0
	for name, e := range f.hosts {
		if now.Sub(e.lastCall) > sizeRetention {
			delete(f.hosts, name)
			continue
		}
		n += 1 + e.Followers
	}
	return n
}

// HasLiveCandidate reports whether another candidate has called within
// livenessTimeout.
func (f *Fleet) HasLiveCandidate(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.hosts {
		if e.Candidate && now.Sub(e.lastCall) <= livenessTimeout {
			return true
		}
	}
	return false
}

// RelayFor returns the peer address of the relay that h must follow, the one of its
// data centre; empty if h is that relay or none is needed. A host remains the relay
// while it calls, to avoid needless changes.
func (f *Fleet) RelayFor(h Host, now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	relay := f.hosts[f.relays[h.DataCentre]]
	if relay.Name == "" || now.Sub(relay.lastCall) > livenessTimeout {
		relay = f.electRelay(h.DataCentre, now)
	}
	if relay.Name == "" || relay.Name == h.Name {
		return ""
	}
	delete(f.hosts, h.Name) // the relay's follower count includes it from now on
	return relay.PeerAddr
}

// electRelay makes the first live candidate by name the relay of the data centre; none
// if the data centre has too few live hosts.
func (f *Fleet) electRelay(dataCentre string, now time.Time) hostEntry {
	var best hostEntry
	live := 0
	for _, e := range f.hosts {
		if e.DataCentre != dataCentre || now.Sub(e.lastCall) > livenessTimeout {
			continue
		}
		live++
		if e.Candidate && (best.Name == "" || e.Name < best.Name) {
			best = e
		}
	}
	required := minRemoteHostsForRelay
	if dataCentre == f.localDataCentre {
		required = minLocalHostsForRelay
	}
	if live < required {
		best = hostEntry{}
	}
	f.relays[dataCentre] = best.Name
	return best
}
