// Package retryafter decides when the callers of refused requests are to return. It keeps
// a schedule for each request class: a place for one return each time that, at the measured
// rate, this host admits a request of the class.
//
// A caller returns to any host, not necessarily to the one that refused its request. Each
// host hands out only as many places as it admits requests itself, so that the returns to
// all hosts fit into what all hosts admit.
package retryafter

import (
	"slices"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/decay"
	"github.com/papayatide/papayatide/internal/desired"
)

const (
	// rateTau is the time constant of the measured rate. A small host admits a few requests of a
	// class per second, and demand swings within 17 s: 2 s cover several admissions of the former
	// and follow the latter.
	rateTau = 2 * time.Second
	// resolution is that of the Retry-After header. No two promises of a class are for the same
	// millisecond, so it also bounds their number.
	resolution = time.Millisecond
	// keptWithin is how much later than promised a place may become free. A return that waits
	// longer costs its caller more than the shortest retry delay that hosts send.
	keptWithin = 100 * time.Millisecond
)

// Schedule holds the promised returns of each class at one host. It is safe for concurrent
// use.
type Schedule struct {
	mu      sync.Mutex
	classes map[desired.Class]*lane
	counts  Counts
}

// Counts counts promises since the schedule was created.
type Counts struct {
	// Promised counts the returns that were promised, WithoutPlace those among them for which
	// no place was free.
	Promised, WithoutPlace uint64
	// Kept counts the promises for which this host admitted a request of the class in time.
	Kept uint64
}

// lane is the schedule of one class.
type lane struct {
	// firstAdmitted is when the first request was admitted; admitted counts them since then,
	// decaying with rateTau.
	firstAdmitted time.Time
	admitted      decay.Sum
	// promised holds the times of the returns that are not due yet, in order.
	promised []time.Time
	// due holds the returns that became due within keptWithin and for which no request has been
	// admitted yet.
	due []time.Time
}

// New returns an empty schedule.
func New() *Schedule { return &Schedule{classes: map[desired.Class]*lane{}} }

// lane returns the lane of the class after moving the promises that are due by now.
func (s *Schedule) lane(class desired.Class, now time.Time) *lane {
	l := s.classes[class]
	if l == nil {
		l = &lane{}
		s.classes[class] = l
	}
	n, _ := slices.BinarySearchFunc(l.promised, now.Add(1), time.Time.Compare)
	l.due = append(l.due, l.promised[:n]...)
	l.promised = slices.Delete(l.promised, 0, n)
	l.due = slices.DeleteFunc(l.due, func(at time.Time) bool { return now.Sub(at) > keptWithin })
	return l
}

// Admitted records that a request of the class was admitted at now.
func (s *Schedule) Admitted(class desired.Class, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lane(class, now)
	if l.firstAdmitted.IsZero() {
		l.firstAdmitted = now
	}
	l.admitted.Add(1, rateTau, now)
	if len(l.due) > 0 {
		l.due = slices.Delete(l.due, 0, 1)
		s.counts.Kept++
	}
}

// Promise returns how long the caller of a refused request of the class is to wait: until the
// first free place at least earliest from now, or, if there is none within latest, until the
// last moment within latest that is not promised to another caller. latest must not exceed the
// time after which the caller returns whatever it is told: the place of a caller that is refused
// again is then due and delays no other.
func (s *Schedule) Promise(class desired.Class, earliest, latest time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lane(class, now)
	soonest, last := now.Add(earliest), now.Add(latest)
	at, ok := l.freePlace(soonest, last, now)
	if !ok {
		s.counts.WithoutPlace++
		if at, ok = l.lastMoment(soonest, last); !ok {
			return latest // Every millisecond is promised already: one more changes nothing.
		}
	}
	s.promise(l, at)
	return at.Sub(now)
}

// Record records a return that was promised without the schedule.
func (s *Schedule) Record(class desired.Class, wait time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promise(s.lane(class, now), now.Add(wait))
}

// Full reports whether more callers of the class have been told to return than this host
// admits within the given time.
func (s *Schedule) Full(class desired.Class, within time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lane(class, now)
	return float64(len(l.promised)) > l.rate(now)*within.Seconds()
}

// Outstanding returns the number of promised returns of the class that are not due yet.
func (s *Schedule) Outstanding(class desired.Class, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes[class] == nil {
		return 0
	}
	return len(s.lane(class, now).promised)
}

// Counts returns the counts of promises of all classes.
func (s *Schedule) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// rate returns how many requests of the class are admitted per second; 0 if it is not known.
func (l *lane) rate(now time.Time) float64 {
	if l.firstAdmitted.IsZero() {
		return 0
	}
	// One request admitted a moment ago shows no rate: the window is at least half of rateTau.
	window := decay.EffectiveWindow(rateTau, max(now.Sub(l.firstAdmitted), rateTau/2))
	return l.admitted.Value(rateTau, now) / window
}

// maxSpacing stands for the unknown spacing of places while no request is admitted. It is
// longer than any caller waits.
const maxSpacing = time.Hour

// spacing returns the time between two places.
func (l *lane) spacing(now time.Time) time.Duration {
	rate := l.rate(now)
	if rate*maxSpacing.Seconds() <= 1 {
		return maxSpacing
	}
	return time.Duration(float64(time.Second) / rate)
}

// freePlace returns the first moment from earliest to latest at which no other return uses
// the place that becomes free then. The class was refused at now, so that the first place
// becomes free one spacing later.
func (l *lane) freePlace(earliest, latest, now time.Time) (at time.Time, ok bool) {
	spacing := l.spacing(now)
	busyUntil := now.Add(spacing)
	for _, p := range l.promised {
		if at = later(busyUntil, earliest); !at.Add(spacing).After(p) || at.After(latest) {
			return at, !at.After(latest)
		}
		busyUntil = later(busyUntil, p).Add(spacing)
	}
	at = later(busyUntil, earliest)
	return at, !at.After(latest)
}

// lastMoment returns the last moment from earliest to latest that is at least resolution away
// from all promised ones.
func (l *lane) lastMoment(earliest, latest time.Time) (at time.Time, ok bool) {
	at = latest
	for _, p := range slices.Backward(l.promised) {
		if p.Sub(at) >= resolution {
			continue
		}
		if at.Sub(p) >= resolution {
			break
		}
		at = p.Add(-resolution)
	}
	return at, !at.Before(earliest)
}

// promise adds a return at the given time.
func (s *Schedule) promise(l *lane, at time.Time) {
	s.counts.Promised++
	i, _ := slices.BinarySearchFunc(l.promised, at, time.Time.Compare)
	l.promised = slices.Insert(l.promised, i, at)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
