package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayatide/papayatide/internal/standin/memstore"
)

const (
	// logCopyInterval is how often a copy of the log is made, keptLogCopies how many are kept: the
	// log returns from a copy of at most their product.
	logCopyInterval = 500 * time.Millisecond
	keptLogCopies   = 12
	// maxLogReturnGap bounds the time between two returns, maxLogAway that for which the service
	// is down before each.
	maxLogReturnGap = 8 * time.Second
	maxLogAway      = 2 * time.Second
	// maxRewriteDelay bounds the time after a return until the operators and upstreams have written
	// their lost records again.
	maxRewriteDelay = 1500 * time.Millisecond
)

// runLogReturns has the log service return from older copies until ctx ends; after some returns
// all hosts are killed within a second. It has its own random generator, so that the other
// faults of a seed do not depend on it.
func (in *injector) runLogReturns(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 6))
	var copies []*memstore.Copy
	next := time.Now().Add(logCopyInterval + time.Duration(rng.Int64N(int64(maxLogReturnGap))))
	for ctx.Err() == nil {
		copies = append(copies, in.env.log.Copy())
		copies = copies[max(len(copies)-keptLogCopies, 0):]
		sleep(ctx, logCopyInterval)
		if time.Now().Before(next) || ctx.Err() != nil {
			continue
		}
		next = time.Now().Add(time.Duration(rng.Int64N(int64(maxLogReturnGap))))
		in.returnLog(copies[rng.IntN(len(copies))], time.Duration(rng.Int64N(int64(maxLogAway))), time.Duration(rng.Int64N(int64(maxRewriteDelay))))
		if rng.IntN(3) == 0 {
			for _, h := range in.hosts {
				downtime := time.Duration(rng.Int64N(int64(time.Second)))
				in.runFault("kill "+h.Name+" after the log's return", h, h, downtime, h.Kill, func() { in.restart(h) })
			}
		}
	}
}

// returnLog has the log service go away and return from a copy, unless another fault affects it.
func (in *injector) returnLog(c *memstore.Copy, away, rewriteAfter time.Duration) {
	log := in.env.log
	in.runFault("log service returns from a copy", nil, log, away, func() { log.SetDown(true) }, func() {
		log.ReturnFrom(c)
		log.SetDown(false)
		time.Sleep(rewriteAfter)
		in.env.mu.Lock()
		defer in.env.mu.Unlock()
		log.Rewrite()
	})
}
