package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// extraUpstreams are the upstreams of the service, replacedShare of which are replaced in a round,
	// one after the other.
	extraUpstreams, extraSlots = 18, 6
	replacedPerRound, rounds   = 5, 6
	replaceGap                 = time.Second
	// garbleFor and garbleShare are how long the faulty upstreams garble, and which part of their
	// answers they send once more.
	garbleFor, garbleShare = 5 * time.Second, 0.03
	// roundTime is the time from one round to the next.
	roundTime = 13 * time.Second
	// leaveAfter is how long a leaving upstream goes on after its report.
	leaveAfter = 5 * time.Second
	// minWork and maxWork bound how long an upstream works on a request.
	minWork, maxWork = 200 * time.Millisecond, 600 * time.Millisecond
	// extraCallers is the number of requesters that always have one request in flight.
	extraCallers = 110
)

// extraAnswers replaces upstreams of a service with keys, one after the other. With the
// disruption, those that leave are faulty meanwhile: they send a part of their answers once more.
func extraAnswers(e *env) error {
	var err error
	if e.store, err = startStore(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(e.seed, 1))
	var rngMu sync.Mutex
	work := func() time.Duration {
		rngMu.Lock()
		defer rngMu.Unlock()
		return minWork + time.Duration(rng.Int64N(int64(maxWork-minWork)))
	}
	if err := e.publish(5, map[string]route{"r-shutoff": {"orders.example", "/order/", "unsafe", "4000ms", "1500ms", 0, "plugreport", 2}}, map[string]bool{"plugreport": true}); err != nil {
		return err
	}
	var ups []*upstream
	for range extraUpstreams {
		u, err := e.addUpstream("plugreport", extraSlots, work)
		if err != nil {
			return err
		}
		ups = append(ups, u)
	}
	if err := e.startHosts(6); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	q := &requester{judge: e.judge, prefix: "9c41"}
	var callers sync.WaitGroup
	time.Sleep(3 * time.Second)
	for i := range extraCallers {
		callers.Go(func() { orderForever(ctx, q, e.hosts[i%len(e.hosts)], e.seed+uint64(i)) })
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		began := time.Now()
		leaving := ups[:replacedPerRound]
		ups = ups[replacedPerRound:]
		if e.trouble {
			for _, u := range leaving {
				u.setGarble(garbling{garbleShare})
				time.AfterFunc(garbleFor, func() { u.setGarble(garbling{}) })
			}
		}
		for _, u := range leaving {
			next, err := e.addUpstream("plugreport", extraSlots, work)
			if err != nil {
				stop()
				return err
			}
			ups = append(ups, next)
			u.drain(leaveAfter)
			time.Sleep(replaceGap)
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	stop()
	callers.Wait()
	time.Sleep(time.Second)
	return nil
}

// orderForever sends orders one after the other until ctx ends.
func orderForever(ctx context.Context, q *requester, h *host, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	c := newConn()
	for ctx.Err() == nil {
		res := q.send(context.WithoutCancel(ctx), c, h, http.MethodPost, "orders.example", "/order/1", r.IntN(1<<16), 4*time.Second)
		if res.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
	}
}
