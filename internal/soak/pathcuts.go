package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/standin/pathfault"
)

const (
	// maxPathCutGap is the longest pause between two cuts of hosts from all upstreams.
	maxPathCutGap = 3 * time.Second
	// stabilityWindow is how long a host must be without other faults, and the log service too, for
	// RECOVER to judge it, and how long after the beginning of a cut that begins.
	stabilityWindow = 3 * time.Second
	// judgedPathCut is the length of the cuts without other faults. During the others, few hosts are
	// without faults for long enough to be judged.
	judgedPathCut = stabilityWindow + 2*time.Second
)

// pathCut is a time for which some hosts were cut off from all upstreams.
type pathCut struct {
	from, to time.Time
	hosts    []*Host
}

// pathFaultKinds are drawn with equal probability.
var pathFaultKinds = []string{pathfault.Silent, pathfault.Refused, pathfault.NewRefused}

// runPathCuts cuts random hosts off from all upstreams until ctx ends. It has its own random
// generator, so the other faults of a seed do not depend on it.
func (in *injector) runPathCuts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 12))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxPathCutGap))))
		kind := pathFaultKinds[rng.IntN(len(pathFaultKinds))]
		cut := &pathCut{}
		for _, i := range rng.Perm(len(in.hosts))[:1+rng.IntN(len(in.hosts))] {
			cut.hosts = append(cut.hosts, in.hosts[i])
		}
		d := time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))
		in.cutPaths(ctx, cut, kind, d)
	}
}

// runCalmPathCuts cuts some of the hosts off for judgedPathCut, once with each kind of fault, while there
// are no other faults.
func (in *injector) runCalmPathCuts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 13))
	for _, kind := range pathFaultKinds {
		cut := &pathCut{}
		for _, i := range rng.Perm(len(in.hosts))[:1+rng.IntN(len(in.hosts)-1)] {
			cut.hosts = append(cut.hosts, in.hosts[i])
		}
		in.cutPaths(ctx, cut, kind, judgedPathCut)
		sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	}
}

// cutPaths cuts the hosts off for d, or until ctx ends.
func (in *injector) cutPaths(ctx context.Context, cut *pathCut, kind string, d time.Duration) {
	var addrs []string
	for _, ep := range in.env.endpoints {
		addrs = append(addrs, ep.proxy.Addr())
	}
	set := func(kind string) {
		for _, h := range cut.hosts {
			if err := pathfault.Write(h.pathFaultFile, kind, addrs); err != nil {
				in.addViolation(err.Error())
			}
		}
	}
	cut.from = time.Now()
	in.mu.Lock()
	faults := make([]*fault, len(cut.hosts))
	for i, h := range cut.hosts {
		faults[i] = &fault{from: cut.from, description: fmt.Sprintf("cut off %s from all upstreams (%s)", h.Name, kind), host: h, pathCut: true}
	}
	in.faults = append(in.faults, faults...)
	in.mu.Unlock()
	set(kind)
	sleep(ctx, d)
	set("")
	cut.to = time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, f := range faults {
		f.to = cut.to
	}
	in.pathCuts = append(in.pathCuts, cut)
}

// servedCount counts requests and those that were served.
type servedCount struct{ sent, served int }

// checkPathCuts returns the cuts in which hosts that were cut off served less than two thirds as often
// as the others, while more than 10 + 1 in 50 of their requests failed. Only hosts without
// another fault count, as requests come to them that other faults would fail.
func (in *injector) checkPathCuts(outcomes []*outcome) (bad []string) {
	for _, cut := range in.pathCuts {
		var cutOff, others servedCount
		for _, o := range outcomes {
			if o.responseOptional || o.began.Before(cut.from.Add(stabilityWindow)) || o.began.After(cut.to) || !in.inTouch(o.host, o.began) {
				continue
			}
			n := &others
			if slices.Contains(cut.hosts, o.host) {
				n = &cutOff
			}
			n.sent++
			if o.err == nil && o.status == http.StatusOK {
				n.served++
			}
		}
		failed := cutOff.sent - cutOff.served
		if 3*cutOff.served*others.sent < 2*others.served*cutOff.sent && failed > 10+cutOff.sent/50 {
			bad = append(bad, fmt.Sprintf("%s: RECOVER: hosts cut off from all upstreams since %s served %d of %d requests, the others %d of %d",
				cut.to.Format(timestampFormat), cut.from.Format(timestampFormat), cutOff.served, cutOff.sent, others.served, others.sent))
		}
	}
	return bad
}

// inTouch reports whether neither the host nor the log service has had a fault in the stabilityWindow
// before the time, other than cuts from all upstreams.
func (in *injector) inTouch(h *Host, at time.Time) bool {
	return !in.anyFault(at.Add(-stabilityWindow), at, func(f *fault) bool {
		return !f.pathCut && (f.host == h || strings.HasPrefix(f.description, "log service"))
	})
}
