package planner

import (
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
)

// lostRetryInterval is how often grants to lost owners are tried again while no other upstream can
// get their keys.
const lostRetryInterval = time.Second

// retryLostOwners sends grants to lost owners again, and allows excluded upstreams keys again: with
// nobody to move their keys to, only a response can bring the keys back.
func (t *term) retryLostOwners(now bootclock.Time) {
	if now.Before(t.nextLostRetry) || t.pendingAppend != nil {
		return
	}
	t.nextLostRetry = now.Add(lostRetryInterval)
	for _, u := range t.upstreams {
		if srv := t.server(u.ID); !t.drainingOrCold(u) {
			srv.excludedUntil = 0
			if srv.unresponsive {
				srv.unresponsive, srv.respondedAt = false, now
			}
		}
	}
	t.syncGrants(now)
}
