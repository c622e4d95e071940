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
	// fatalPath and fatalKey are the path and key of the fatal requests, which crash
	// the upstream that runs them. They have one of two fingerprints: a GET with
	// fatalKey to keyedService, and a POST without a key to unkeyedService.
	fatalPath = "/ends-its-server"
	fatalKey  = 28264
	// fatalRequestPause is the pause between two fatal requests.
	fatalRequestPause = 150 * time.Millisecond
	// After fatal requests of one fingerprint have crashed maxFatalCrashes upstreams,
	// they may crash at most maxLateCrashes more. Not counted are crashes within
	// settleTime after crash number maxFatalCrashes, and crashes during or within
	// settleTime after a fault of the request's host or of the log service.
	maxFatalCrashes, maxLateCrashes = 3, 3
	// minDowntime and maxDowntime bound how long an upstream is down after a crash.
	minDowntime, maxDowntime = time.Second, 2 * time.Second
)

// crash is the crash of an upstream caused by a fatal request. vhost is the request's
// Host header, by which hosts choose the route.
type crash struct {
	at               time.Time
	requestID, vhost string
}

// crashUpstream kills the upstream and returns true if the request is fatal. It starts
// the upstream again after a random downtime. It does nothing and returns false once
// fault injection is over.
func (in *injector) crashUpstream(inc *incarnation, r *http.Request) bool {
	if r.URL.Path != fatalPath {
		return false
	}
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return false
	}
	in.env.kill(inc.endpoint)
	in.crashes = append(in.crashes, crash{now, r.Header.Get(platform.Headers.RequestID), r.Host})
	f := &fault{from: now, description: "fatal request crashes upstream " + inc.endpoint.proxy.Addr()}
	in.faults = append(in.faults, f)
	down := minDowntime + time.Duration(in.downtimeRNG.Int64N(int64(maxDowntime-minDowntime)))
	time.AfterFunc(down/2, func() { in.env.expireEntry(inc) })
	in.wg.Go(func() {
		time.Sleep(down)
		in.startUpstream(inc.endpoint)
		in.mu.Lock()
		defer in.mu.Unlock()
		f.to = time.Now()
	})
	return true
}

// sendFatalRequests sends fatal requests through random hosts until ctx ends, each
// with a new request ID and one of the two fingerprints.
func (c *callers) sendFatalRequests(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	for ctx.Err() == nil {
		o := &outcome{id: fmt.Sprint("q-", c.lastID.Add(1)), host: c.pickHost(r), began: time.Now(), responseOptional: true}
		method, vhost := http.MethodPost, unkeyedVHost
		if o.idempotent = r.IntN(2) == 0; o.idempotent {
			method, vhost = http.MethodGet, readVHost
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

// checkFatalRequests returns a violation for each fingerprint whose fatal requests
// crashed too many upstreams.
func (in *injector) checkFatalRequests(outcomes []*outcome) []string {
	hostOf := hostsByRequest(outcomes)
	byVHost := map[string][]crash{}
	for _, c := range in.crashes {
		byVHost[c.vhost] = append(byVHost[c.vhost], c)
	}
	var bad []string
	for vhost, crashes := range byVHost {
		if len(crashes) <= maxFatalCrashes {
			continue
		}
		limitReached, late := crashes[maxFatalCrashes-1].at, 0
		for _, c := range crashes[maxFatalCrashes:] {
			if c.at.Sub(limitReached) > settleTime && in.hostAndLogFaultFree(hostOf[c.requestID], c.at.Add(-settleTime), c.at) {
				late++
			}
		}
		if late > maxLateCrashes {
			bad = append(bad, fmt.Sprintf("BUDGET: fatal requests to %s had crashed %d upstreams and crashed %d more", vhost, maxFatalCrashes, late))
		}
	}
	return bad
}
