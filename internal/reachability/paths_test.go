package reachability

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

// testPaths are the paths of a host in data centre a, to three upstreams in each of a, b and c.
type testPaths struct {
	*Paths
	mu sync.Mutex
	// fail returns how the probe of an upstream fails; "" if it succeeds.
	fail   func(u *catalogue.Upstream) string
	probes atomic.Int64
}

// setFail replaces fail.
func (p *testPaths) setFail(fail func(u *catalogue.Upstream) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fail = fail
}

const refuses, hangs = "refuses", "hangs"

func newTestPaths(t *testing.T, upstreams int) *testPaths {
	p := &testPaths{Paths: NewPaths("a"), fail: func(*catalogue.Upstream) string { return "" }}
	all := map[string]*catalogue.Upstream{}
	for i := range upstreams {
		u := &catalogue.Upstream{ID: fmt.Sprint("u", i), DataCentre: string(rune('a' + i%3)), Service: fmt.Sprint("s", i%2)}
		all[u.ID] = u
	}
	p.Upstreams = func() *catalogue.Snapshot { return catalogue.NewSnapshot(all) }
	p.Probe = func(ctx context.Context, u *catalogue.Upstream) error {
		p.probes.Add(1)
		p.mu.Lock()
		how := p.fail(u)
		p.mu.Unlock()
		switch how {
		case refuses:
			return syscall.ECONNREFUSED
		case hangs:
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second) // probes end
	})
	go p.Run(ctx)
	return p
}

// response records a response from an upstream.
func (p *testPaths) response() { p.Start("u0", nil, time.Now()).End(true, time.Now()) }

// Guards against a host that takes its own lost paths for crashed upstreams, and against one that takes
// crashed upstreams, a partition between data centres or busy upstreams for lost paths.
func TestFailureIsExplainedByOwnPaths(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams int
		refused   bool
		fail      func(u *catalogue.Upstream) string
		// responses are still arriving.
		responses, want bool
	}{
		{"one upstream crashed", 9, true, func(u *catalogue.Upstream) string { return map[bool]string{true: refuses}[u.ID == "u0"] }, true, false},
		{"all refuse", 9, true, func(*catalogue.Upstream) string { return refuses }, false, true},
		{"all refuse, open connections work", 9, true, func(*catalogue.Upstream) string { return refuses }, true, true},
		{"all silent", 9, false, func(*catalogue.Upstream) string { return hangs }, false, true},
		{"probes hang, open connections work", 9, true, func(*catalogue.Upstream) string { return hangs }, true, false},
		{"own data centre responds", 9, true, func(u *catalogue.Upstream) string { return map[bool]string{true: hangs}[u.DataCentre != "a"] }, false, false},
		{"own data centre crashed", 9, true, func(u *catalogue.Upstream) string { return map[bool]string{true: refuses}[u.DataCentre == "a"] }, false, false},
		{"too few known", 2, true, func(*catalogue.Upstream) string { return refuses }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPaths(t, c.upstreams)
				p.setFail(c.fail)
				p.response()
				time.Sleep(time.Second)
				if c.responses {
					var responding sync.WaitGroup
					defer responding.Wait()
					responding.Go(func() {
						for range 100 {
							p.response()
							time.Sleep(5 * time.Millisecond)
						}
					})
					time.Sleep(50 * time.Millisecond)
				}
				if got := p.Explains(t.Context(), "u0", c.refused); got != c.want {
					t.Errorf("%v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against a host that stays cut off after a partition, or that changes its mind with each probe
// while it reaches hardly any upstream.
func TestHostIsCutOffUntilSeveralUpstreamsRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPaths(t, 9)
		var changes atomic.Int64
		p.OnChange = func(PathChange) { changes.Add(1) }
		p.setFail(func(u *catalogue.Upstream) string { return map[bool]string{true: refuses}[u.ID != "u1"] })
		if !p.Explains(t.Context(), "u0", true) {
			t.Fatal("not cut off")
		}
		time.Sleep(5 * time.Second)
		if changes.Load() != 1 || !p.CutOff() {
			t.Errorf("%d changes while one upstream is reached, cut off %v", changes.Load(), p.CutOff())
		}
		p.setFail(func(*catalogue.Upstream) string { return "" })
		time.Sleep(2 * recheckInterval)
		if p.CutOff() {
			t.Error("still cut off after the partition")
		}
	})
}

// Guards against waiting for the deadlines of requests on silent connections, and against probes while
// upstreams are merely slow.
func TestWaitingRequestsShowSilentPaths(t *testing.T) {
	for _, silent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPaths(t, 9)
			if silent {
				p.setFail(func(*catalogue.Upstream) string { return hangs })
			}
			p.response()
			var abandoned atomic.Int64
			for i := range 4 {
				p.Start(fmt.Sprint("u", i), func() { abandoned.Add(1) }, time.Now())
			}
			time.Sleep(time.Second)
			if p.CutOff() != silent || (abandoned.Load() == 4) != silent {
				t.Errorf("silent %v: cut off %v, %d requests abandoned", silent, p.CutOff(), abandoned.Load())
			}
			time.Sleep(9 * time.Second)
			if n := p.probes.Load(); !silent && n > 6 {
				t.Errorf("%d probes in ten seconds in which upstreams were slow", n)
			}
		})
	}
}

// Guards against probes for each of many failures at once.
func TestManyFailuresShareProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPaths(t, 9)
		for range 100 {
			go p.Explains(t.Context(), "u0", true)
		}
		synctest.Wait()
		if n := p.probes.Load(); n > 2 {
			t.Errorf("%d probes for 100 failures at once", n)
		}
	})
}
