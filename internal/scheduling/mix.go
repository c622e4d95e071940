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
	// minMixFraction is the fraction of a service's arrivals that classes of another priority than
	// the most frequent class need for the service to be contended. Fewer requests take too little
	// room to delay the others, and callers would only pay for the estimates' errors.
	minMixFraction = 0.1
)

// Mix counts the arrivals of a service's classes at one host. Routes of different priority may
// lead to a service although nearly all requests are of one class; urgency then decides nothing.
// The zero value is ready for use. It is safe for concurrent use.
type Mix struct {
	mu      sync.Mutex
	classes map[desired.Class]*decay.Sum
}

// Record counts a request of the class, and reports whether the service is contended: several
// priorities have a part of at least minMixFraction in its recent arrivals.
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
	total, most, priority := 0.0, 0.0, 0
	for c, sum := range m.classes {
		n := sum.Value(mixTau, now)
		if total += n; n > most {
			most, priority = n, c.Priority
		}
	}
	others := 0.0
	for c, sum := range m.classes {
		if c.Priority != priority {
			others += sum.Value(mixTau, now)
		}
	}
	return others >= minMixFraction*total
}
