package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/standin/pipenet"
)

// pathGranter calls upstreams over a host's paths.
type pathGranter struct {
	directGranter
	paths *pipenet.Paths
}

// await waits for the response of a call that was sent: there is none on a silent path. Open
// connections carry grants, so that NewRefused does not affect them.
func (g pathGranter) await(ctx context.Context) error {
	switch g.paths.Fault() {
	case pipenet.Refused:
		return ownership.ErrNotSent
	case pipenet.Silent:
		<-ctx.Done()
		return ownership.ErrNoResponse
	}
	return nil
}

func (g pathGranter) Grant(ctx context.Context, addr string, r ownership.Range, d time.Duration, openConnOnly bool) error {
	if err := g.await(ctx); err != nil {
		return err
	}
	return g.directGranter.Grant(ctx, addr, r, d, openConnOnly)
}

func (g pathGranter) Release(ctx context.Context, addr string, r ownership.Range) (string, error) {
	if err := g.await(ctx); err != nil {
		return "", err
	}
	return g.directGranter.Release(ctx, addr, r)
}

// startHostWithPaths starts a candidate whose paths to all upstreams can fail.
func (f *testFleet) startHostWithPaths(name string) (*testHost, *pipenet.Paths) {
	paths := pipenet.NewPaths(f.net, func(addr string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.upstreams[addr] != nil
	})
	return f.startHostOver(name, 1, paths, nil, pathGranter{directGranter{f}, paths}), paths
}

const (
	// stabilityWindow is the time after the beginning of a partition from which on it is judged.
	stabilityWindow = 3 * time.Second
	partitionLength = 12 * time.Second
	// minServedByConnected is the share of the requests that hosts with paths to the upstreams
	// serve.
	minServedByConnected = 0.95
	requestInterval      = 20 * time.Millisecond
)

// firstAttempts counts requests and those that were served.
type firstAttempts struct{ sent, served int }

func (a firstAttempts) rate() float64 { return float64(a.served) / float64(max(a.sent, 1)) }

// breaksRecover reports whether the requests sent to partitioned hosts break RECOVER: they are served
// less than two thirds as often as those of the other hosts, and more than 10 + 1 in 50 fail.
func breaksRecover(partitioned, connected firstAttempts) bool {
	failed := partitioned.sent - partitioned.served
	return 3*partitioned.rate() < 2*connected.rate() && float64(failed) > 10+float64(partitioned.sent)/50
}

// sendFor sends requests of all routes to the hosts for the given time, and returns what became of
// those to hosts for which partitioned returns true, and of the others. Those sent within settle
// do not count.
func (f *testFleet) sendFor(d, settle time.Duration, partitioned func(*testHost) bool) (cut, connected firstAttempts) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		counts := time.Since(start) >= settle
		for i, h := range f.hosts {
			wg.Go(func() {
				route := []string{"read.example", "charge.example", unkeyedRoute}[n%3]
				status, _ := h.call(map[bool]string{true: "POST", false: "GET"}[n%3 == 1], route, fmt.Sprint("n-", start.UnixNano(), "-", n, "-", i), n*7919%ownership.KeySpaceSize)
				mu.Lock()
				defer mu.Unlock()
				a := &connected
				if partitioned(h) {
					a = &cut
				}
				if counts {
					a.sent++
				}
				if counts && status == http.StatusOK {
					a.served++
				}
			})
		}
		time.Sleep(requestInterval)
	}
	wg.Wait()
	return cut, connected
}

// Guards against hosts without paths to upstreams that serve nobody although other hosts reach the
// upstreams, and against a planner among them that stops the whole fleet.
func TestPartitionFromAllUpstreams(t *testing.T) {
	for _, fault := range []pipenet.Fault{pipenet.Silent, pipenet.Refused, pipenet.NewRefused} {
		for _, withPlanner := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, planner partitioned %v", fault, withPlanner), func(t *testing.T) {
				runFleetTest(t, func(t *testing.T) {
					f := newFleet(t, 0, 4)
					f.grantTTL = 3 * time.Second
					for i := range 3 {
						f.addServiceUpstream("plain", fmt.Sprint("p", i))
					}
					paths := map[*testHost]*pipenet.Paths{}
					for i := range 5 {
						h, p := f.startHostWithPaths(fmt.Sprint("host", i))
						paths[h] = p
					}
					f.waitServed(f.hosts[0], startupTimeout)
					f.sendFor(2*time.Second, 0, func(*testHost) bool { return false })
					cut := map[*testHost]bool{}
					planner := f.log.LeaseHolder()
					for _, h := range f.hosts {
						if h.cfg.Host == planner {
							cut[h] = withPlanner
						} else if len(cut) < 3 {
							cut[h] = true
						}
					}
					for h := range cut {
						if cut[h] {
							paths[h].SetFault(fault)
						}
					}
					partitioned, connected := f.sendFor(partitionLength, stabilityWindow, func(h *testHost) bool { return cut[h] })
					for h := range cut {
						paths[h].SetFault(pipenet.None)
					}
					t.Logf("partitioned %+v, connected %+v", partitioned, connected)
					if breaksRecover(partitioned, connected) {
						t.Errorf("RECOVER: partitioned hosts served %d of %d requests, the others %d of %d", partitioned.served, partitioned.sent, connected.served, connected.sent)
					}
					if connected.rate() < minServedByConnected {
						t.Errorf("hosts that reach the upstreams served %d of %d requests during the partition", connected.served, connected.sent)
					}
					after, _ := f.sendFor(4*time.Second, time.Second, func(*testHost) bool { return true })
					t.Logf("after the partition %+v", after)
					if after.rate() < minServedByConnected {
						t.Errorf("%d of %d requests served after the partition", after.served, after.sent)
					}
				})
			})
		}
	}
}
