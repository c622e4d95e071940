package entryhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/memstore"
)

const (
	// logAwayFor is how long the log service is away before it returns from a copy.
	logAwayFor = time.Second
	// rewriteDelay is how long after its return the lost records of the operators and the
	// upstreams are written again.
	rewriteDelay = 500 * time.Millisecond
)

// returnLogFrom has the log service go away and return from a copy. The lost records of the
// operators and the upstreams are written again after rewriteDelay.
func (f *testFleet) returnLogFrom(c *memstore.Copy) {
	f.log.SetDown(true)
	time.Sleep(logAwayFor)
	lost := f.log.ReturnFrom(c)
	f.log.SetDown(false)
	f.background.Go(func() {
		f.sleep(rewriteDelay)
		for stream, recs := range lost {
			for _, r := range recs {
				f.log.Put(stream, r.Key, r.Value)
			}
		}
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
	for _, returns := range []int{1, 2} {
		t.Run(fmt.Sprint(returns, " times"), func(t *testing.T) {
			runFleetTest(t, func(t *testing.T) {
				f := newFleet(t, 4, 4)
				f.waitServed(f.hosts[0], startupTimeout)
				c := f.log.Copy()
				f.loseChanges(9)
				for range returns {
					f.returnLogFrom(c)
				}
				f.log.Put(metastore.StreamOperators, "state", []byte("10"))
				time.Sleep(maxLag)
				for _, h := range f.hosts {
					if v := h.desiredVersion(t); v != 10 {
						t.Errorf("%s has version %d in force %v after version 10 was published", h.cfg.Host, v, maxLag)
					}
					f.waitServed(h, testGrantTTL)
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
		f.returnLogFrom(c)
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
