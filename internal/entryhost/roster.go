package entryhost

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
)

const (
	// relist is how long after an outage of the log service upstreams whose
	// entries lapsed meanwhile need to be listed again.
	relist = 2 * time.Second
	// remembered is how long an upstream that is no longer listed is kept
	// as leaving, so that its keys can be taken back.
	remembered = 20 * time.Second
)

// roster is what this host believes of the upstreams: listed, leaving, or
// missing from the list for how long.
type roster struct {
	zl  *zap.Logger
	ups map[string]*catalogue.Upstream
	// unlisted holds when an upstream was taken for gone, suspects when one
	// that lapsed during an outage will be.
	unlisted map[string]time.Time
	suspects map[string]time.Time
}

func newRoster(zl *zap.Logger) *roster {
	return &roster{zl: zl, ups: map[string]*catalogue.Upstream{}, unlisted: map[string]time.Time{}, suspects: map[string]time.Time{}}
}

// list takes in an upstream's entry.
func (r *roster) list(u *catalogue.Upstream) {
	old := r.ups[u.ID]
	delete(r.suspects, u.ID)
	delete(r.unlisted, u.ID)
	r.ups[u.ID] = u
	switch {
	case u.Leaving && (old == nil || !old.Leaving):
		r.zl.Info("upstream is leaving", zap.Int("event", events.UpstreamLeaving), zap.String("peer", u.ID), zap.String("service", u.Service))
	case old == nil:
		r.zl.Info("upstream listed", zap.Int("event", events.UpstreamListed), zap.String("peer", u.ID), zap.String("service", u.Service),
			zap.String("addr", u.Addr), zap.String("data_centre", u.DataCentre))
	}
}

// missing takes note that an upstream is not listed any more. During an
// outage of the log service entries lapse though their upstreams live; they
// are back within about two seconds, and until spare it is no sign of leaving.
func (r *roster) missing(id string, spare, now time.Time) {
	_, gone := r.unlisted[id]
	if r.ups[id] == nil || gone {
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

// missingBut takes note that only the listed ones are.
func (r *roster) missingBut(listed map[string]bool, spare, now time.Time) {
	for id := range r.ups {
		if !listed[id] {
			r.missing(id, spare, now)
		}
	}
}

func (r *roster) unlist(id string, now time.Time) {
	u := *r.ups[id]
	u.Leaving = true
	r.ups[id] = &u
	r.unlisted[id] = now
	r.zl.Info("upstream is no longer listed", zap.Int("event", events.UpstreamUnlisted), zap.String("peer", id), zap.String("service", u.Service))
}

// settle takes suspects for gone whose time is up, unless the outage lasts,
// and forgets upstreams that have been gone for long. It reports whether
// anything changed.
func (r *roster) settle(outage bool, now time.Time) bool {
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
		if now.Sub(at) > remembered {
			delete(r.unlisted, id)
			delete(r.ups, id)
			changed = true
		}
	}
	return changed
}

// noOutage takes all suspects for gone: there was no outage in which their
// entries could have lapsed. It reports whether anything changed.
func (r *roster) noOutage(now time.Time) bool {
	changed := len(r.suspects) > 0
	for id := range r.suspects {
		delete(r.suspects, id)
		r.unlist(id, now)
	}
	return changed
}

func (r *roster) snapshot() *catalogue.Snapshot { return catalogue.NewSnapshot(r.ups) }
