package planner

import (
	"errors"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
)

// dueReleases returns the releases to send now. A release waits for the grants in
// flight to its owner, because one that arrived after it would give the keys back. To an owner that
// is gone they are sent one at a time: mostly to learn that another process has its address.
func (t *term) dueReleases(now bootclock.Time) []Action {
	var out []Action
	goneOwners := map[string]bool{}
	for _, m := range t.moves {
		owner := m.old.Owner
		if m.releaseInFlight != nil && t.upstreams[owner] == nil {
			goneOwners[owner] = true
		}
	}
	for _, m := range t.moves {
		owner := m.old.Owner
		addr, known := t.p.addrs[owner]
		if m.released || m.releaseInFlight != nil || !known || now.Before(m.nextRelease) || t.server(owner).grantsInFlight > 0 || !t.mayRelease(m, now) {
			continue
		}
		if t.upstreams[owner] == nil {
			if goneOwners[owner] || t.hasEnded(owner) {
				continue
			}
			goneOwners[owner] = true
		}
		existingConnOnly := now.Sub(t.p.lease.renewedAt) > recentRenewalAge
		m.releaseInFlight = &Release{Service: t.name, Addr: addr, Range: m.old, Indirect: !existingConnOnly && t.server(owner).route.next(t.p.paths, now)}
		out = append(out, m.releaseInFlight)
	}
	return out
}

func (t *term) releaseDone(r *Release, handoverToken string, err error, now bootclock.Time) {
	m := t.findMove(span{r.Range.From, r.Range.To})
	if m == nil || m.releaseInFlight != r {
		// The release was sent for a move that has been cancelled. The keys may
		// have been granted to their owner again since it took effect.
		return
	}
	m.releaseInFlight = nil
	if errors.Is(err, ownership.ErrRejected) {
		// Upstreams never reject a release, so another process responds at the
		// address: the old owner has ended, and its grants with it.
		t.server(r.Range.Owner).ended = r.Range.Owner
		m.released, m.releasedAt = true, now
		return
	}
	if err != nil {
		m.releaseFailed = true
		m.nextRelease = now.Add(releaseRetryDelay)
		t.emitFailure(ReleaseFailed, r.Range.Owner, err, now)
		return
	}
	if t.restoreOwner(r.Range.Owner, now) {
		return
	}
	m.released, m.releasedAt, m.handoverToken = true, now, handoverToken
	if m.releaseFailed {
		m.relistUntil = now.Add(relistGrace)
	}
}
