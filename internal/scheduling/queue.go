package scheduling

import (
	"container/heap"
	"time"

	"github.com/papayatide/papayatide/internal/decay"
)

// waiter is a request in the queue.
type waiter struct {
	request *Request
	rank    Rank
	// work is the request's expected work; 0 until it is known.
	work time.Duration
	// wake is signalled when it may be the waiter's turn.
	wake chan struct{}
	// index is the waiter's place in the heap; -1 once it has left.
	index int
}

func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// waiterHeap implements heap.Interface; the first waiter has the best rank.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].rank.Before(h[j].rank) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

const (
	// rateTau is the time constant over which the rate of starts is measured, long enough
	// for several starts on a host of a large fleet.
	rateTau = 5 * time.Second
	// minBusySeconds is the shortest measurement that counts. With less, a request that
	// waits for a moment on an idle host would look like a slow queue.
	minBusySeconds = 0.5
)

// line is the part of the queue with the most urgent or with the less urgent requests. It
// measures the rate at which requests leave it to be sent, while any wait.
type line struct {
	waiters    waiterHeap
	accounted  time.Time
	busyTime   decay.Sum
	busyStarts decay.Sum
}

// account adds the time since the last call to busyTime if requests were waiting. It is
// called before each change.
func (l *line) account(now time.Time) {
	if len(l.waiters) > 0 {
		l.busyTime.Add(now.Sub(l.accounted).Seconds(), rateTau, now)
	}
	l.accounted = now
}

// expectedWait returns the expected wait of a waiter by the measured rate; 0 if there is no
// measurement.
func (l *line) expectedWait(w *waiter, now time.Time) time.Duration {
	l.account(now)
	busy := l.busyTime.Value(rateTau, now)
	if busy < minBusySeconds {
		return 0
	}
	ahead := 0
	for _, other := range l.waiters {
		if other.rank.Before(w.rank) {
			ahead++
		}
	}
	// One start more than measured bounds the rate where none was started.
	rate := (l.busyStarts.Value(rateTau, now) + 1) / busy
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// queue holds the waiting requests to a service. It is not safe for concurrent use.
type queue struct {
	urgent, lessUrgent line
	share              WorkShare
}

func (q *queue) line(w *waiter) *line {
	if w.request.LessUrgent() {
		return &q.lessUrgent
	}
	return &q.urgent
}

func (q *queue) push(w *waiter, now time.Time) {
	l := q.line(w)
	l.account(now)
	heap.Push(&l.waiters, w)
}

// remove takes the waiter out of the queue.
func (q *queue) remove(w *waiter, now time.Time) {
	l := q.line(w)
	l.account(now)
	if w.index >= 0 {
		heap.Remove(&l.waiters, w.index)
	}
}

// started records that the waiter's request is sent. waited is set if it found no room at
// first. The waiter is still in the queue.
func (q *queue) started(w *waiter, waited bool, now time.Time) {
	if l := q.line(w); waited || len(l.waiters) > 1 {
		l.busyStarts.Add(1, rateTau, now)
	}
	q.share.Started(w.request.LessUrgent(), len(q.lessUrgent.waiters) > 0, w.work)
}

// shareDue reports whether less urgent requests wait and have had less than their share. They
// then go ahead of the most urgent ones.
func (q *queue) shareDue() bool {
	return len(q.lessUrgent.waiters) > 0 && q.share.LessUrgentDue(q.lessUrgent.waiters[0].work)
}

// isNext reports whether it is the waiter's turn: of the best of the most urgent requests, or
// of the best of the others if there are none or shareDue.
func (q *queue) isNext(w *waiter) bool {
	if w.index != 0 {
		return false
	}
	if w.request.LessUrgent() {
		return len(q.urgent.waiters) == 0 || q.shareDue()
	}
	return !q.shareDue()
}

// wakeFirst signals the waiters whose turn it may be.
func (q *queue) wakeFirst() {
	for _, l := range []*line{&q.urgent, &q.lessUrgent} {
		if len(l.waiters) > 0 {
			l.waiters[0].signal()
		}
	}
}
