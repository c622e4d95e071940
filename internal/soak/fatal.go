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
	// askFatal is the pause between two asks for either.
	askFatal = 150 * time.Millisecond
	// triedLast is how often such a request may be sent after it has ended
	// fatalLimit upstreams, by hosts that were undisturbed for settleSpan.
	fatalLimit, triedLast = 3, 3
	// downLeast and downMost bound how long an upstream that ended so is down.
	downLeast, downMost = time.Second, 2 * time.Second
)

// ended is an upstream's end under a request: its ID, and the name of the route
// it came on.
type ended struct {
	at        time.Time
	id, route string
}

// endUnder ends an upstream that has begun to run a fatal request.
func (in *injector) endUnder(l *life, r *http.Request) bool {
	if r.URL.Path != fatalPath {
		return false
	}
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.over {
		return false
	}
	in.world.kill(l.place)
	in.ended = append(in.ended, ended{now, r.Header.Get(platform.Headers.RequestID), r.Host})
	f := &fault{from: now, what: "request ends upstream " + l.place.proxy.Addr()}
	in.faults = append(in.faults, f)
	down := downLeast + time.Duration(in.downs.Int64N(int64(downMost-downLeast)))
	time.AfterFunc(down/2, func() { in.world.unlist(l) })
	in.wg.Go(func() {
		time.Sleep(down)
		in.revive(l.place)
		in.mu.Lock()
		defer in.mu.Unlock()
		f.to = time.Now()
	})
	return true
}

// askForFatal asks for the fatal requests on any host until ctx ends, each time
// as another request.
func (c *callers) askForFatal(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	for ctx.Err() == nil {
		o := &outcome{id: fmt.Sprint("q-", c.seq.Add(1)), host: c.inRotation(r), began: time.Now(), left: true}
		method, vhost := http.MethodPost, plainHost
		if o.idempotent = r.IntN(2) == 0; o.idempotent {
			method, vhost = http.MethodGet, readHost
		}
		var body io.Reader
		if method == http.MethodPost {
			body = bodyOf("always the same")
		}
		o.exchange(ctx, hc, method, vhost, fatalPath, body, fatalKey)
		o.ended = time.Now()
		c.note(o)
		sleep(ctx, askFatal)
	}
}

// checkFatal returns which fatal request reached upstreams too often.
func (in *injector) checkFatal(outcomes []*outcome) []string {
	through := map[string]*Host{}
	for _, o := range outcomes {
		through[o.id] = o.host
	}
	byRoute := map[string][]ended{}
	for _, e := range in.ended {
		byRoute[e.route] = append(byRoute[e.route], e)
	}
	var bad []string
	for route, ends := range byRoute {
		if len(ends) <= fatalLimit {
			continue
		}
		third, late := ends[fatalLimit-1].at, 0
		for _, e := range ends[fatalLimit:] {
			if e.at.Sub(third) > settleSpan && in.inTouch(through[e.id], e.at.Add(-settleSpan), e.at) {
				late++
			}
		}
		if late > triedLast {
			bad = append(bad, fmt.Sprintf("BUDGET: the fatal request to %s, under which %d upstreams had ended, ended %d more", route, fatalLimit, late))
		}
	}
	return bad
}
