package scheduling

import (
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// mixTau is the time constant over which the arrivals of a class are counted.
	mixTau = 5 * time.Second
	// minMixFraction is the fraction of a service's arrivals that a class needs to contend for it.
	// Fewer requests take too little room to delay the others, and callers would only pay for the
	// estimates' errors.
	minMixFraction = 0.1
)

// Mix counts the arrivals of a service's classes at one host. Routes of different priority may lead
// to a service although nearly all requests are of one class, or the less urgent class cannot wait
// any longer than the other; urgency then decides nothing. The zero value is ready for use. It is
// safe for concurrent use.
type Mix struct {
	mu      sync.Mutex
	classes map[desired.Class]*decay.Sum
}

// Record counts a request of the class, and reports whether the service is contended: two classes
// have at least minMixFraction of its recent arrivals, one of higher priority and with a shorter
// objective than the other.
func (m *Mix) Record(class desired.Class, now time.Time) (contended bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.classes == nil {
		m.classes = map[desired.Class]*decay.Sum{}
	}
	if m.classes[class] == nil {
		m.classes[class] = &decay.Sum{}
	}
	m.classes[class].Add(1, mixTau, now)
	total := 0.0
	for _, sum := range m.classes {
		total += sum.Value(mixTau, now)
	}
	for urgent, n := range m.classes {
		for other, k := range m.classes {
			if other.Priority > urgent.Priority && other.Objective > urgent.Objective &&
				min(n.Value(mixTau, now), k.Value(mixTau, now)) >= minMixFraction*total {
				return true
			}
		}
	}
	return false
}
