package entryhost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// directGranter calls the upstreams of the test directly, without the network.
type directGranter struct{ f *testFleet }

// upstreamAt returns the running upstream at addr (host:port), or nil.
func (g directGranter) upstreamAt(addr string) *rangeowner.Upstream {
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	return g.f.upstreams[addr]
}

func (g directGranter) Grant(_ context.Context, addr string, r ownership.Range, d time.Duration, _ bool) error {
	u := g.upstreamAt(addr)
	if u == nil {
		return ownership.ErrNotSent
	}
	err := u.Grant(r, d)
	if err == nil {
		g.f.auditGrant(acceptedGrant{r, u})
	}
	return err
}

func (g directGranter) LongestIdleTimeout() (time.Duration, bool) { return 0, true }

func (g directGranter) Release(_ context.Context, addr string, r ownership.Range) (string, error) {
	if u := g.upstreamAt(addr); u != nil {
		return u.Release(r), nil
	}
	return "", ownership.ErrNotSent
}

// addUpstream adds an upstream of the keyed service.
func (f *testFleet) addUpstream(id string) *rangeowner.Upstream {
	return f.addServiceUpstream("sheets", id)
}

// addServiceUpstream starts an upstream of a service and writes its entry. A
// request to fatalPath crashes it.
func (f *testFleet) addServiceUpstream(service, id string) *rangeowner.Upstream {
	u := f.startUpstream(service, id)
	if u != nil {
		f.registerAs(service, u, false)
	}
	return u
}

// startUpstream starts an upstream of a service without writing its entry.
func (f *testFleet) startUpstream(service, id string) *rangeowner.Upstream {
	ln, err := f.net.Listen(id + ":80")
	if err != nil {
		f.t.Error(err)
		return nil
	}
	u := rangeowner.StartOn(ln, id, testHeaders, 20*time.Millisecond)
	u.CrashOn = func(r *http.Request) bool {
		if r.URL.Path != fatalPath {
			return false
		}
		f.mu.Lock()
		f.fatalStarts = append(f.fatalStarts, time.Now())
		duration := f.fatalDuration
		f.mu.Unlock()
		time.Sleep(duration)
		f.crash(service, u)
		return true
	}
	f.mu.Lock()
	f.upstreams[u.Addr()] = u
	f.mu.Unlock()
	return u
}

const (
	// fatalPath is the path of the request that crashes its servers.
	fatalPath = "/fatal"
	// entryExpiryDelay is the time from an upstream's crash until its entry is
	// deleted.
	entryExpiryDelay = 500 * time.Millisecond
	// restartDelay is the time from a crash until the server is back under a new ID.
	restartDelay = time.Second
)

// crash kills an upstream. Its entry is deleted after entryExpiryDelay, and its
// server is back under a new ID after restartDelay.
func (f *testFleet) crash(service string, u *rangeowner.Upstream) {
	f.mu.Lock()
	alreadyCrashed := f.upstreams[u.Addr()] != u
	f.mu.Unlock()
	if alreadyCrashed {
		return // another request has crashed it
	}
	f.killUpstream(u)
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	f.background.Go(func() {
		if f.sleep(entryExpiryDelay) {
			f.log.Put(metastore.StreamUpstreams, u.ID, nil)
		}
		if f.sleep(restartDelay - entryExpiryDelay) {
			f.addServiceUpstream(service, fmt.Sprint(service, "-again-", n))
		}
	})
}

// sleep waits for d. It returns false if the test ends first.
func (f *testFleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.testEnded:
		return false
	}
}

// register writes the entry of an upstream of the keyed service.
func (f *testFleet) register(u *rangeowner.Upstream, leaving bool) {
	f.registerAs("sheets", u, leaving)
}

// registerAs writes the entry of an upstream of the given service.
func (f *testFleet) registerAs(service string, u *rangeowner.Upstream, leaving bool) {
	if leaving {
		u.SetDraining()
	}
	f.putEntry(u, catalogue.Upstream{Service: service, DataCentre: "dc", Slots: 3, Leaving: leaving})
}

// putEntry writes an upstream's entry with its ID, address and sequence number filled in.
func (f *testFleet) putEntry(u *rangeowner.Upstream, entry catalogue.Upstream) {
	f.log.Put(metastore.StreamUpstreams, u.ID, f.nextEntry(u, entry))
}

// nextEntry returns the entry that an upstream writes next.
func (f *testFleet) nextEntry(u *rangeowner.Upstream, entry catalogue.Upstream) []byte {
	entry.ID, entry.Addr, entry.Sequence = u.ID, u.Addr(), f.entryWrites.Add(1)
	data, err := json.Marshal(entry)
	if err != nil {
		f.t.Error(err)
	}
	return data
}

// killUpstream kills an upstream, which receives no grants and no requests any more.
func (f *testFleet) killUpstream(u *rangeowner.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.upstreams, u.Addr())
	u.Kill()
}
