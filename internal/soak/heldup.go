package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/papayatide/papayatide/rpc/peerpb"
)

const (
	// upstreamIdleTimeout is when upstreams close idle connections with Options.KillsBehindCuts.
	upstreamIdleTimeout = 6 * time.Second
	// maxHoldUpGap is the longest pause between two cuts behind which the planner is killed.
	maxHoldUpGap = 4 * time.Second
	// minHoldUp and maxHoldUp bound the length of such a cut, maxKillDelay the time from its start to
	// the kill: live hosts reset connections whose grants have timed out after that.
	minHoldUp, maxHoldUp = 4 * time.Second, 6 * time.Second
	maxKillDelay         = 250 * time.Millisecond
	// socketsCloseTime is how long the kernel may take to close the sockets of a process that has exited.
	socketsCloseTime = 20 * time.Millisecond
	statusTimeout    = 300 * time.Millisecond
	// busyRetryDelay is the delay before another attempt while other faults affect the planner or the
	// upstreams.
	busyRetryDelay = 50 * time.Millisecond
)

// runKillsBehindCuts cuts a random keyed upstream off and kills the planner's process right after, again
// and again until ctx ends. With several cut off, their keys would hardly move before the cut ends. It has
// its own random generator, so the other faults of a seed do not depend on it.
func (in *injector) runKillsBehindCuts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 14))
	keyed := slices.DeleteFunc(slices.Clone(in.env.endpoints), func(ep *endpoint) bool { return ep.service != keyedService })
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxHoldUpGap))))
		ep := keyed[rng.IntN(len(keyed))]
		killDelay, length := time.Duration(rng.Int64N(int64(maxKillDelay))), minHoldUp+time.Duration(rng.Int64N(int64(maxHoldUp-minHoldUp)))
		for ctx.Err() == nil {
			if h := in.planner(ctx); h != nil && in.killBehindCut(h, ep, killDelay, length) {
				break
			}
			sleep(ctx, busyRetryDelay)
		}
	}
}

// planner returns a host that says that it is the planner, or nil.
func (in *injector) planner(ctx context.Context) *Host {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for _, h := range in.hosts {
		status, err := peerpb.NewPeerProtobufClient("http://"+h.peerAddr, http.DefaultClient).Status(ctx, &peerpb.StatusRequest{})
		if err == nil && status.Planning {
			return h
		}
	}
	return nil
}

// killBehindCut holds up what hosts send to the endpoint for the given time, and kills the host after
// killDelay. It does nothing and returns false if another fault affects one of them.
func (in *injector) killBehindCut(h *Host, ep *endpoint, killDelay, length time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	affected := []any{h, ep, ep.proxy}
	for _, a := range affected {
		if in.busy[a] {
			return false
		}
	}
	faults := []*fault{{from: time.Now(), description: "kill planner " + h.Name, host: h},
		{from: time.Now(), description: "hold up link of upstream " + ep.proxy.Addr()}}
	in.faults = append(in.faults, faults...)
	for _, a := range affected {
		in.busy[a] = true
	}
	in.wg.Go(func() {
		ep.proxy.Hold()
		time.Sleep(killDelay)
		ep.proxy.SetClientsEnd(true)
		h.Kill()
		h.AwaitExit(exitTimeout)
		time.Sleep(socketsCloseTime)
		ep.proxy.SetClientsEnd(false)
		in.restart(h)
		time.Sleep(length - killDelay)
		ep.proxy.Release()
		in.mu.Lock()
		defer in.mu.Unlock()
		for _, f := range faults {
			f.to = time.Now()
		}
		for _, a := range affected {
			delete(in.busy, a)
		}
	})
	return true
}
