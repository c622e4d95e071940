package entryhost

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
)

const (
	// behindLogDelay is how long a host runs an older desired state than another host before it
	// logs that. A new version usually reaches all hosts within that time.
	behindLogDelay = 500 * time.Millisecond
	// behindLogInterval is the interval between such log lines while the host stays behind.
	behindLogInterval = 5 * time.Second
)

// versionMonitor compares the desired state in force on this host with the newest version
// that other hosts have stated. It is safe for concurrent use.
type versionMonitor struct {
	zl *zap.Logger
	// inForce returns the version in force on this host; 0 if there is none.
	inForce func() int64

	mu sync.Mutex
	// newest is the newest version stated by another host, newestHost the first host that
	// stated it.
	newest     int64
	newestHost string
	// behindSince is when this host first ran an older version than newest; zero if it does not.
	behindSince, loggedAt time.Time
}

// observe records the version in force on another host.
func (m *versionMonitor) observe(host string, version int64, now time.Time) {
	m.mu.Lock()
	if version > m.newest {
		m.newest, m.newestHost = version, host
	}
	m.mu.Unlock()
	m.check(now)
}

// check logs once that this host runs an older version than another host, and again
// every behindLogInterval.
func (m *versionMonitor) check(now time.Time) {
	newest, behind := m.behind(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if behind < behindLogDelay || now.Sub(m.loggedAt) < behindLogInterval {
		return
	}
	m.loggedAt = now
	m.zl.Warn("another host runs a newer desired state", zap.Int("event", events.DesiredBehind), zap.Int64("version", m.inForce()),
		zap.Int64("newest", newest), zap.String("host", m.newestHost), zap.Duration("behind_for", behind))
}

// behind returns the newest known version, this host's included, and for how long this
// host has run an older one; 0 if it does not.
func (m *versionMonitor) behind(now time.Time) (newest int64, behind time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inForce := m.inForce()
	switch {
	case inForce >= m.newest:
		m.behindSince, m.loggedAt = time.Time{}, time.Time{}
		return inForce, 0
	case m.behindSince.IsZero():
		m.behindSince = now
	}
	return m.newest, now.Sub(m.behindSince)
}
