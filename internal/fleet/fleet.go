// Package fleet keeps what the planner knows of the other entry hosts from
// their calls: how many there are, which can plan, and which relay the copy
// of the log to the others of their data centre. It makes no calls.
package fleet

import (
	"sync"
	"time"
)

const (
	// livenessTimeout is how long after its last call a host counts as running.
	// Undisturbed hosts call three times a second.
	livenessTimeout = 1500 * time.Millisecond
	// sizeRetention is how long it counts as one that may have connections open
	// and repeats spent: a host cut off from the planner goes on serving.
	sizeRetention = time.Minute
	// minLocalHostsForRelay is the number of hosts in the planner's own data centre from
	// which on one of them relays: for fewer the planner's own answers are
	// cheap.
	minLocalHostsForRelay = 8
	// minRemoteHostsForRelay is that number in the other data centres. Bytes between
	// data centres are priced, and each change of ownership goes to every
	// follower: on a quiet day of twelve hosts 2.2 of the 8.3 MB between data
	// centres were answers to followers. With a relay in each the whole worth
	// of five days of trouble rose from 0.754 to 0.766, of a quiet one from
	// 0.828 to 0.852, means of three seeds each.
	minRemoteHostsForRelay = 2
)

// Host is what a host says of itself.
type Host struct {
	Name string
	// DataCentre is where it runs, PeerAddr (host:port) where its peers
	// reach it.
	DataCentre, PeerAddr string
	// Candidate hosts are strong enough to plan and to relay.
	Candidate bool
	// Followers is how many hosts follow it in turn.
	Followers int
}

type hostEntry struct {
	Host
	lastCall time.Time
}

// Fleet is safe for concurrent use.
type Fleet struct {
	// localDataCentre is this host's data centre.
	localDataCentre string
	mu              sync.Mutex
	hosts           map[string]hostEntry
	// relays holds the name of each data centre's present relay.
	relays map[string]string
	// plannerSize is the fleet's size as another host last knew it.
	plannerSize int
}

// New returns a fleet of which nothing is known to a host in the data centre
// home.
func New(home string) *Fleet {
	return &Fleet{localDataCentre: home, hosts: map[string]hostEntry{}, relays: map[string]string{}}
}

// RecordHeartbeat takes in a call of h.
func (f *Fleet) RecordHeartbeat(h Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[h.Name] = hostEntry{Host: h, lastCall: now}
}

// SetPlannerSize takes in the fleet's size as the planner knows it.
func (f *Fleet) SetPlannerSize(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plannerSize = size
}

// HasPlannerSize reports whether another host has said how many there are.
func (f *Fleet) HasPlannerSize() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plannerSize > 0
}

// Size returns how many hosts there are, this one included, as the planner
// or this host itself knows, whichever is more.
func (f *Fleet) Size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.followers(now)+1, f.plannerSize)
}

// Followers returns how many hosts follow this one, itself or through a
// relay.
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

// HasLiveCandidate reports whether another host that is strong enough to plan has
// called lately.
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

// RelayFor returns the peer address of the host that relays in h's data
// centre; empty if h itself does or none is needed. A relay stays one while
// it calls, so that hosts do not change back and forth.
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
	delete(f.hosts, h.Name) // from now on it is the relay's to count
	return relay.PeerAddr
}

// electRelay chooses the first eager host by name, if the data centre has
// enough hosts.
func (f *Fleet) electRelay(dataCentre string, now time.Time) hostEntry {
	var best hostEntry
	n := 0
	for _, e := range f.hosts {
		if e.DataCentre != dataCentre || now.Sub(e.lastCall) > livenessTimeout {
			continue
		}
		n++
		if e.Candidate && (best.Name == "" || e.Name < best.Name) {
			best = e
		}
	}
	least := minRemoteHostsForRelay
	if dataCentre == f.localDataCentre {
		least = minLocalHostsForRelay
	}
	if n < least {
		best = hostEntry{}
	}
	f.relays[dataCentre] = best.Name
	return best
}
