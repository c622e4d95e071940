package entryhost

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
)

const (
	// relistGracePeriod is how long after an outage of the log service upstreams whose
	// entries lapsed meanwhile need to be listed again.
	relistGracePeriod = 2 * time.Second
	// unlistedRetention is how long an upstream that is no longer listed is kept
	// as leaving, so that its keys can be taken back.
	unlistedRetention = 20 * time.Second
)

// upstreamRegistry is what this host believes of the upstreams: listed, leaving, or
// missing from the list for how long.
type upstreamRegistry struct {
	zl        *zap.Logger
	upstreams map[string]*catalogue.Upstream
	// incarnations holds the ID of each server's last known life. Entries are kept
	// by server: the entry of a newer life replaces the older one's.
	incarnations map[string]string
	// unlisted holds when an upstream was taken for gone, suspects when one
	// that lapsed during an outage will be.
	unlisted map[string]time.Time
	suspects map[string]time.Time
}

func newUpstreamRegistry(zl *zap.Logger) *upstreamRegistry {
	return &upstreamRegistry{zl: zl, upstreams: map[string]*catalogue.Upstream{}, incarnations: map[string]string{}, unlisted: map[string]time.Time{}, suspects: map[string]time.Time{}}
}

// register takes in an upstream's entry. The entry of a newer life ends the older
// one; that of an older life was written late and says nothing any more.
func (r *upstreamRegistry) register(u *catalogue.Upstream) {
	server := catalogue.ServerID(u.ID)
	known, ok := r.incarnations[server]
	if ok && catalogue.IsLaterIncarnation(known, u.ID) {
		return
	}
	if ok && known != u.ID {
		r.forget(known)
		r.zl.Info("upstream started again", zap.Int("event", events.UpstreamRestarted), zap.String("peer", u.ID), zap.String("service", u.Service))
	}
	r.incarnations[server] = u.ID
	old := r.upstreams[u.ID]
	delete(r.suspects, u.ID)
	delete(r.unlisted, u.ID)
	r.upstreams[u.ID] = u
	switch {
	case u.Leaving && (old == nil || !old.Leaving):
		r.zl.Info("upstream is leaving", zap.Int("event", events.UpstreamLeaving), zap.String("peer", u.ID), zap.String("service", u.Service))
	case old == nil:
		r.zl.Info("upstream listed", zap.Int("event", events.UpstreamListed), zap.String("peer", u.ID), zap.String("service", u.Service),
			zap.String("addr", u.Addr), zap.String("data_centre", u.DataCentre))
	}
}

// forget drops a life that has ended.
func (r *upstreamRegistry) forget(id string) {
	delete(r.upstreams, id)
	delete(r.suspects, id)
	delete(r.unlisted, id)
	if server := catalogue.ServerID(id); r.incarnations[server] == id {
		delete(r.incarnations, server)
	}
}

// markMissing takes note that a server is not listed any more. During an outage
// of the log service entries lapse though their upstreams live; they are back
// within about two seconds, and until spare it is no sign of leaving.
func (r *upstreamRegistry) markMissing(server string, spare, now time.Time) {
	id := r.incarnations[server]
	_, gone := r.unlisted[id]
	if r.upstreams[id] == nil || gone {
		return
	}
	if !now.Before(spare) {
		r.unlist(id, now)
		return
	}
	if _, ok := r.suspects[id]; !ok {
		r.suspects[id] = spare
	}
}

// markMissingExcept takes note that only the listed servers are.
func (r *upstreamRegistry) markMissingExcept(listed map[string]bool, spare, now time.Time) {
	for server := range r.incarnations {
		if !listed[server] {
			r.markMissing(server, spare, now)
		}
	}
}

func (r *upstreamRegistry) unlist(id string, now time.Time) {
	u := *r.upstreams[id]
	u.Leaving, u.Unlisted = true, true
	r.upstreams[id] = &u
	r.unlisted[id] = now
	r.zl.Info("upstream is no longer listed", zap.Int("event", events.UpstreamUnlisted), zap.String("peer", id), zap.String("service", u.Service))
}

// untilNextExpiry returns how long it is until the next suspect is taken for gone.
func (r *upstreamRegistry) untilNextExpiry(now time.Time) time.Duration {
	soonest := unlistedRetention
	for _, at := range r.suspects {
		soonest = min(soonest, at.Sub(now))
	}
	return soonest
}

// expireSuspects takes suspects for gone whose time is up, unless the outage lasts,
// and forgets upstreams that have been gone for long. It reports whether
// anything changed.
func (r *upstreamRegistry) expireSuspects(outage bool, now time.Time) bool {
	changed := false
	for id, at := range r.suspects {
		if now.Before(at) || outage {
			continue
		}
		delete(r.suspects, id)
		r.unlist(id, now)
		changed = true
	}
	for id, at := range r.unlisted {
		if now.Sub(at) > unlistedRetention {
			r.forget(id)
			changed = true
		}
	}
	return changed
}

// unlistSuspects takes all suspects for gone: there was no outage in which their
// entries could have lapsed. It reports whether anything changed.
func (r *upstreamRegistry) unlistSuspects(now time.Time) bool {
	changed := len(r.suspects) > 0
	for id := range r.suspects {
		delete(r.suspects, id)
		r.unlist(id, now)
	}
	return changed
}

// snapshot returns the upstreams, each as mark makes it.
func (r *upstreamRegistry) snapshot(mark func(*catalogue.Upstream) *catalogue.Upstream) *catalogue.Snapshot {
	ups := make(map[string]*catalogue.Upstream, len(r.upstreams))
	for id, u := range r.upstreams {
		ups[id] = mark(u)
	}
	return catalogue.NewSnapshot(ups)
}
