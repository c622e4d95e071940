package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/papayatide/papayatide/platform"
)

const (
	// fatalPath is the target of the requests that end their upstreams: one to
	// the keyed service, one to the other.
	fatalPath = "/ends-its-server"
	fatalKey  = 28264
	// fatalRequestPause is the pause between two asks for either.
	fatalRequestPause = 150 * time.Millisecond
	// triedLast is how often such a request may be sent after it has ended
	// fatalLimit upstreams, by hosts that were undisturbed for settleSpan.
	maxFatalCrashes, maxLateCrashes = 3, 3
	// minDowntime and downMost bound how long an upstream that ended so is down.
	minDowntime, maxDowntime = time.Second, 2 * time.Second
)

// crash is an upstream's end under a request: its ID, and the name of the route
// it came on.
type crash struct {
	at               time.Time
	requestID, route string
}

// crashUpstream ends an upstream that has begun to run a fatal request.
func (in *injector) crashUpstream(l *incarnation, r *http.Request) bool {
	if r.URL.Path != fatalPath {
		return false
	}
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return false
	}
	in.env.kill(l.endpoint)
	in.crashes = append(in.crashes, crash{now, r.Header.Get(platform.Headers.RequestID), r.Host})
	f := &fault{from: now, description: "request ends upstream " + l.endpoint.proxy.Addr()}
	in.faults = append(in.faults, f)
	down := minDowntime + time.Duration(in.downtimeRNG.Int64N(int64(maxDowntime-minDowntime)))
	time.AfterFunc(down/2, func() { in.env.expireEntry(l) })
	in.wg.Go(func() {
		time.Sleep(down)
		in.startUpstream(l.endpoint)
		in.mu.Lock()
		defer in.mu.Unlock()
		f.to = time.Now()
	})
	return true
}

// sendFatalRequests asks for the fatal requests on any host until ctx ends, each time
// as another request.
func (c *callers) sendFatalRequests(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	for ctx.Err() == nil {
		o := &outcome{id: fmt.Sprint("q-", c.lastID.Add(1)), host: c.pickHost(r), began: time.Now(), canceled: true}
		method, vhost := http.MethodPost, plainHost
		if o.idempotent = r.IntN(2) == 0; o.idempotent {
			method, vhost = http.MethodGet, readHost
		}
		var body io.Reader
		if method == http.MethodPost {
			body = nonReplayableBody("always the same")
		}
		o.roundTrip(ctx, hc, method, vhost, fatalPath, body, fatalKey)
		o.ended = time.Now()
		c.record(o)
		sleep(ctx, fatalRequestPause)
	}
}

// checkFatalRequests returns which fatal request reached upstreams too often.
func (in *injector) checkFatalRequests(outcomes []*outcome) []string {
	through := map[string]*Host{}
	for _, o := range outcomes {
		through[o.id] = o.host
	}
	byRoute := map[string][]crash{}
	for _, e := range in.crashes {
		byRoute[e.route] = append(byRoute[e.route], e)
	}
	var bad []string
	for route, ends := range byRoute {
		if len(ends) <= maxFatalCrashes {
			continue
		}
		third, late := ends[maxFatalCrashes-1].at, 0
		for _, e := range ends[maxFatalCrashes:] {
			if e.at.Sub(third) > settleTime && in.hostAndLogFaultFree(through[e.requestID], e.at.Add(-settleTime), e.at) {
				late++
			}
		}
		if late > maxLateCrashes {
			bad = append(bad, fmt.Sprintf("BUDGET: the fatal request to %s, under which %d upstreams had ended, ended %d more", route, maxFatalCrashes, late))
		}
	}
	return bad
}
