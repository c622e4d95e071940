package bodybudget

import (
	"sync"
	"testing"
)

// A reservation that does not fit must take nothing, and bytes must be given back once only:
// otherwise the budget leaks until every request is refused, or grows beyond the host's memory.
func TestReservationsNeverExceedTheLimit(t *testing.T) {
	b := New(100)
	first, second := b.Reserve(), b.Reserve()
	if !first.Grow(60) || second.Grow(41) || second.bytes != 0 || !second.Grow(40) || second.Grow(1) {
		t.Fatalf("in use %d", b.InUse())
	}
	first.Shrink(80)
	if first.bytes != 60 {
		t.Error("Shrink grew the reservation")
	}
	first.Shrink(10)
	if b.InUse() != 50 {
		t.Errorf("in use %d after a partial return, want 50", b.InUse())
	}
	first.Release()
	first.Release()
	second.Release()
	if b.InUse() != 0 {
		t.Errorf("in use %d after all ended", b.InUse())
	}
}

// Concurrent requests must not together exceed the limit or lose bytes.
func TestConcurrentReservations(t *testing.T) {
	b := New(1000)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 200 {
				r := b.Reserve()
				r.Grow(90)
				if r.Grow(7); b.InUse() > 1000 {
					t.Error("over the limit")
				}
				r.Release()
			}
		})
	}
	wg.Wait()
	if b.InUse() != 0 {
		t.Errorf("in use %d after all ended", b.InUse())
	}
}

// Guards the derived sizes, above all that many hosts never leave one without room for two bodies
// and that no statement of the largest body leaves the budgets off.
func TestLimits(t *testing.T) {
	if got := HostLimit(144); got != 18<<20 {
		t.Errorf("host limit %d", got)
	}
	for _, c := range []struct {
		slots, hosts  int
		largest, want int64
	}{{6, 1, 100, 1200}, {6, 3, 100, 400}, {6, 63, 100, 200}, {0, 0, 100, 200}, {6, 5, 100, 240}} {
		if got := UpstreamLimit(c.slots, c.hosts, c.largest); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
	if Needed(0, 1000, 10) || Needed(10, 10, 100) || !Needed(10, 11, 100) || !Needed(1<<62, 1<<20, 100) {
		t.Error("Needed")
	}
}

// Upstreams must not share room, a limit that falls with a growing fleet must hold at once, and an
// upstream without requests must leave no entry behind: IDs change with each restart.
func TestUpstreamsAreCountedSeparately(t *testing.T) {
	u := NewUpstreams()
	if !u.Take("a", 60, 100) || u.Take("a", 41, 100) || u.Take("a", 1, 50) || !u.Take("b", 100, 100) {
		t.Errorf("in use %v", u.inUse)
	}
	u.Give("a", 60)
	u.Give("b", 100)
	if u.InUse() != 0 || len(u.inUse) != 0 {
		t.Errorf("left %v", u.inUse)
	}
}
