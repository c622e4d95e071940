package entryhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/memstore"
)

const (
	// rewriteDelay is how long after its return the lost records of the operators and the
	// upstreams are written again.
	rewriteDelay = 500 * time.Millisecond
)

// returnLogFrom has the log service go away for a time and return from a copy. The lost records of the
// operators and the upstreams are written again after rewriteDelay.
func (f *testFleet) returnLogFrom(c *memstore.Copy, away time.Duration) {
	f.log.SetDown(true)
	time.Sleep(away)
	f.log.ReturnFrom(c)
	f.log.SetDown(false)
	f.background.Go(func() {
		f.sleep(rewriteDelay)
		f.log.Rewrite()
	})
}

// loseChanges publishes desired states up to the given version and moves keys off an upstream.
func (f *testFleet) loseChanges(version int) {
	for v := 2; v <= version; v++ {
		f.log.Put(metastore.StreamOperators, "state", []byte(fmt.Sprint(v)))
	}
	f.register(f.upstreams["u0:80"], true)
	time.Sleep(2 * time.Second)
}

// Guards against hosts that keep an old desired state, and keys that no one owns, because
// offsets of the lost history are compared with those of the new one.
func TestHostsReadTheLogThatReturnsFromACopy(t *testing.T) {
	for _, c := range []struct {
		returns int
		away    time.Duration
		// keyWait is the time within which keys must be served after maxLag.
		keyWait time.Duration
	}{
		{1, time.Second, testGrantTTL},
		{2, 400 * time.Millisecond, testGrantTTL},
		// For longer than testMaxRenewalAge without a lease, no planner may speak for its grants.
		{2, time.Second, testMaxRenewalAge + 2*testGrantTTL - maxLag},
	} {
		t.Run(fmt.Sprintf("%d times, away for %v", c.returns, c.away), func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 4, 4)
				f.waitServed(f.hosts[0], startupTimeout)
				copied := f.log.Copy()
				f.loseChanges(9)
				for range c.returns {
					f.returnLogFrom(copied, c.away)
				}
				f.log.Put(metastore.StreamOperators, "state", []byte("10"))
				time.Sleep(maxLag)
				for _, h := range f.hosts {
					if v := h.desiredVersion(t); v != 10 {
						t.Errorf("%s has version %d in force %v after version 10 was published", h.cfg.Host, v, maxLag)
					}
					f.waitServed(h, c.keyWait)
				}
			})
		})
	}
}

// Guards against a fencing token that is given out again, and against two owners of a key, when
// no process remembers what was granted in the lost seconds.
func TestNoTokenIsGivenOutTwiceAfterTheLogReturned(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.waitServed(f.hosts[0], startupTimeout)
		c := f.log.Copy()
		f.loseChanges(3)
		f.returnLogFrom(c, time.Second)
		for _, h := range f.hosts {
			f.isolateHost(h)
			h.stop()
		}
		for i := range 3 {
			f.startHost(fmt.Sprint("again", i))
		}
		time.Sleep(20 * time.Second)
		f.waitServed(f.hosts[len(f.hosts)-1], startupTimeout)
	})
}

// Guards against hosts that forget, with the log, what they know themselves: that an upstream is
// leaving, that a data centre is evacuated, which requests crash servers, and for a host that
// starts meanwhile the newest desired state.
func TestLiveHostsKeepWhatTheCopyLacks(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.addServiceUpstream("plain", "plain0")
		f.waitServed(f.hosts[0], startupTimeout)
		time.Sleep(time.Second)
		copied := f.log.Copy()
		f.loseChanges(5)
		f.log.Put(metastore.StreamOperators, "evacuate/dc", []byte("x"))
		crash := crashes.Change{Crash: crashes.Crash{Fingerprint: crashes.Request{Method: "GET"}.Fingerprint(), Server: "u9", At: time.Now()}}
		key, value, err := crash.Encode(time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if err := f.log.Append(t.Context(), metastore.StreamCrashes, []metastore.Record{{Key: key, Value: value}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testEvacuationTimeout)
		f.returnLogFrom(copied, 300*time.Millisecond)
		time.Sleep(rewriteDelay / 5) // nothing has been written again yet
		started := f.startHost("new")
		time.Sleep(rewriteDelay / 2)
		if v := started.desiredVersion(t); v != 5 {
			t.Errorf("a host that starts before the desired state is written again has version %d, want 5", v)
		}
		leaving := f.upstreams["u0:80"]
		before := len(leaving.Runs())
		for i := range 20 {
			if status, _ := f.hosts[i%3].call("GET", unkeyedRoute, fmt.Sprint("evacuated-", i), 0); status == 200 {
				t.Fatal("a request was sent to an evacuated data centre")
			}
			f.hosts[i%3].call("GET", "read.example", fmt.Sprint("leaving-", i), i*3000)
		}
		if after := len(leaving.Runs()); after != before {
			t.Errorf("%d requests reached an upstream that is leaving", after-before)
		}
		time.Sleep(6 * time.Second)
		recs, _, err := f.log.Newest(t.Context(), metastore.StreamCrashes)
		if err != nil || len(recs) != 1 || recs[0].Key != key {
			t.Errorf("the log has %d crash records, error %v; want the lost one again", len(recs), err)
		}
	})
}
