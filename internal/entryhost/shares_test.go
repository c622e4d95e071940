package entryhost

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// loadOn has callers on each host send requests for d, each 5 ms after the last response,
// or 30 ms after a refusal. It returns how many got a response of an upstream and how many
// did not.
func (f *testFleet) loadOn(hosts []*testHost, route string, callers int, d time.Duration) (served, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range hosts {
		for c := range callers {
			wg.Go(func() {
				for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
					status, _ := h.call("GET", route, fmt.Sprint(h.cfg.Host, route, c, "-", n, "-", time.Now().UnixNano()), -1)
					mu.Lock()
					if status == http.StatusOK {
						served++
					} else {
						refused++
					}
					mu.Unlock()
					if status != http.StatusOK {
						time.Sleep(25 * time.Millisecond)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return served, refused
}

// gauge returns the sum of a gauge over its labels on the host's metrics page.
func (h *testHost) gauge(t *testing.T, name string) float64 {
	t.Helper()
	resp, err := h.http.Get("http://" + h.cfg.MetricsListen + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, m := range regexp.MustCompile(`(?m)^`+name+`(?:\{.*\})? (\S+)$`).FindAllSubmatch(page, -1) {
		v, err := strconv.ParseFloat(string(m[1]), 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += v
	}
	return sum
}

const (
	contendedSlots, contendedWork = 4, 20 * time.Millisecond
	// contendedRoom is the room of two upstreams of the competing service, in seconds of work
	// a second.
	contendedRoom = 2 * contendedSlots * 0.85
	// speedTolerance is for the estimate of their speeds, which are equal.
	speedTolerance = 1.1
)

// addContendedUpstream adds an upstream of the competing service, which runs contendedSlots
// requests at once for the given time each and queues the others. Whoever fills the channel takes
// the slots.
func (f *testFleet) addContendedUpstream(id string, work time.Duration) chan struct{} {
	ln, err := f.net.Listen(id + ":80")
	if err != nil {
		f.t.Fatal(err)
	}
	u := rangeowner.StartOn(ln, id, testHeaders, 0)
	slots := make(chan struct{}, contendedSlots)
	u.CrashOn = func(*http.Request) bool {
		slots <- struct{}{}
		time.Sleep(work)
		<-slots
		return false
	}
	f.mu.Lock()
	f.upstreams[u.Addr()] = u
	f.mu.Unlock()
	f.putEntry(u, catalogue.Upstream{Service: "contended", DataCentre: "dc", Slots: contendedSlots})
	return slots
}

// newContendedFleet starts a fleet and two upstreams of the competing service, and waits
// until all hosts serve.
func newContendedFleet(t *testing.T, hosts int) *testFleet {
	f := newFleet(t, hosts, 1)
	f.addContendedUpstream("c0", contendedWork)
	f.addContendedUpstream("c1", contendedWork)
	for _, h := range f.hosts {
		f.waitServed(h, startupTimeout)
	}
	return f
}

// shareSum returns the sum of the hosts' shares, and how many hosts have one.
func shareSum(t *testing.T, hosts []*testHost) (sum float64, count int) {
	for _, h := range hosts {
		if s := h.gauge(t, "papayatide_share_work_per_second"); s > 0 {
			sum += s
			count++
		}
	}
	return sum, count
}

// Guards against hosts without a share, shares that together exceed the room, and hosts that stop
// serving or get no shares from a successor when the divider is cut off.
func TestSharesArriveAndOutliveTheDivider(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newContendedFleet(t, 4)
		var load sync.WaitGroup
		load.Go(func() { f.loadOn(f.hosts, urgentRoute, 1, 13*time.Second) })
		load.Go(func() { f.loadOn(f.hosts, relaxedRoute, 6, 13*time.Second) })
		time.Sleep(5 * time.Second)
		sum, count := shareSum(t, f.hosts)
		if count != len(f.hosts) || sum > contendedRoom*speedTolerance || sum < contendedRoom*0.7 {
			t.Errorf("%d hosts share %.2f, want %d with at most %.2f", count, sum, len(f.hosts), contendedRoom)
		}
		var rest []*testHost
		for _, h := range f.hosts {
			if h.gauge(t, "papayatide_scarce_services") == 0 {
				rest = append(rest, h)
			} else {
				f.isolateHost(h)
			}
		}
		if len(rest) != len(f.hosts)-1 {
			t.Fatalf("%d of %d hosts divide", len(f.hosts)-len(rest), len(f.hosts))
		}
		time.Sleep(1100 * time.Millisecond)
		if sum, count := shareSum(t, rest); count != 0 {
			t.Errorf("%d hosts have shares of %.2f after the divider was lost", count, sum)
		}
		served, refused := f.loadOn(rest, urgentRoute, 1, 500*time.Millisecond)
		if served == 0 || refused > served/20 {
			t.Errorf("without a divider %d requests were served and %d were not", served, refused)
		}
		time.Sleep(5 * time.Second)
		if sum, count := shareSum(t, rest); count != len(rest) || sum > contendedRoom*speedTolerance {
			t.Errorf("by the new divider %d hosts share %.2f, want %d with at most %.2f", count, sum, len(rest), contendedRoom)
		}
		load.Wait()
	})
}

// Guards against urgent requests refused though they need half of the room, and against the other
// class, which asks for many times the room, getting much more or less than the rest.
func TestUrgentRequestsAreServedWhileTheServiceIsScarce(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newContendedFleet(t, 4)
		const warmUp, measured = 4 * time.Second, 6 * time.Second
		f.loadOn(f.hosts, urgentRoute, 1, warmUp)
		f.loadOn(f.hosts, relaxedRoute, 1, warmUp)
		for _, h := range f.hosts {
			if h.gauge(t, "papayatide_scarce_services") != 0 {
				t.Errorf("the service is scarce on %s at half of the room", h.cfg.Host)
			}
		}
		var load sync.WaitGroup
		load.Go(func() { f.loadOn(f.hosts, urgentRoute, 1, warmUp) })
		f.loadOn(f.hosts, relaxedRoute, 6, warmUp)
		load.Wait()
		var urgentServed, urgentRefused int
		load.Go(func() { urgentServed, urgentRefused = f.loadOn(f.hosts, urgentRoute, 1, measured) })
		served, refused := f.loadOn(f.hosts, relaxedRoute, 6, measured)
		load.Wait()
		t.Logf("urgent: %d served, %d refused; relaxed: %d served, %d refused", urgentServed, urgentRefused, served, refused)
		if urgentRefused > urgentServed/50 {
			t.Errorf("%d urgent requests were refused, %d served", urgentRefused, urgentServed)
		}
		const room = contendedRoom * float64(measured) / float64(contendedWork) // requests
		if rest := room - float64(urgentServed); float64(served) < rest*0.75 || float64(served) > rest*1.25 {
			t.Errorf("%d relaxed requests were served, want %.0f", served, rest)
		}
	})
}

// Guards against the latency of requests during which the host was frozen: it raised the expected
// work of a class from 47 to 714 ms, and the service counted as scarce.
func TestRequestsOfAFrozenHostDoNotCountAsAnswered(t *testing.T) {
	state, err := decoder{}.Desired("state", []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	s := newServiceShares("h", "dc", zap.NewNop(), func() *desired.State { return state }, nil)
	class := state.Classes("contended")[0]
	now := time.Now()
	s.flushDemand(now)
	s.countRequest(&dispatch.RequestSummary{Service: class.Service, Class: class, Key: -1, Status: 200, UpstreamTime: 5 * time.Second, TimeLeft: -4 * time.Second})
	if got, want := s.flushDemand(now.Add(time.Second))[0], (shares.Demand{Class: class, Arrived: 1}); got != want {
		t.Errorf("demand %+v, want %+v", got, want)
	}
}

// Guards against demand sent where no service is competing, and against counts kept while this host
// followed none: minutes of demand would look like that of a moment.
func TestDemandSentToTheDivider(t *testing.T) {
	state, err := decoder{}.Desired("state", []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	current := state
	s := newServiceShares("h", "dc", zap.NewNop(), func() *desired.State { return current }, nil)
	classes := state.Classes("contended")
	now := time.Now()
	count := func() {
		s.countRequest(&dispatch.RequestSummary{Service: "contended", Class: classes[1], Key: -1, Status: 200, UpstreamTime: 30 * time.Millisecond, ConnectTime: 10 * time.Millisecond})
		s.countRequest(&dispatch.RequestSummary{Service: "plain", Class: state.Classes("plain")[0], Key: -1, Status: 200, UpstreamTime: time.Second})
	}
	s.flushDemand(now)
	count()
	want := []shares.Demand{{Class: classes[0]}, {Class: classes[1], Arrived: 1, Answered: 1, Latency: 20 * time.Millisecond}}
	if got := s.flushDemand(now.Add(time.Second)); !slices.Equal(got, want) {
		t.Errorf("demand %+v, want %+v", got, want)
	}
	count()
	if got := s.flushDemand(now.Add(time.Minute)); got[1].Arrived != 0 {
		t.Errorf("demand of a minute ago: %+v", got)
	}
	current = desired.New(2, nil, state.Services, desired.Limits{})
	if got := s.flushDemand(now.Add(time.Minute)); got != nil {
		t.Errorf("demand without competing services: %+v", got)
	}
}
