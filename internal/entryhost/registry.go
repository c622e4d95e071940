package entryhost

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/upstream"
)

const (
	// relistGracePeriod is how long after an outage of the log service
	// upstreams may take to renew entries that expired during it.
	relistGracePeriod = 2 * time.Second
	// unlistedRetention is how long an unlisted upstream is kept, as leaving, so
	// that its keys can be released.
	unlistedRetention = 20 * time.Second
)

var supersededEntries = metrics.NewCounter(`papayatide_upstream_entries_superseded_total`)

// upstreamRegistry tracks the upstreams that have an entry in the log, and those
// whose entry has disappeared. Of the records of a server in the upstreams
// stream the one that counts is chosen by decideEntry.
type upstreamRegistry struct {
	zl        *zap.Logger
	upstreams map[string]*catalogue.Upstream
	// incarnations holds the upstream ID of each server's latest incarnation,
	// by server ID. The log has one entry per server, which a new incarnation
	// replaces.
	incarnations map[string]string
	// newest holds the entry with the highest sequence number that each upstream has written. The log
	// service may carry out an earlier write after it.
	newest map[string]*catalogue.Upstream
	// values holds the values of these entries' records.
	values map[string][]byte
	// unreadable is set for upstreams that are unlisted because another writer replaced their entry.
	unreadable map[string]bool
	// returning holds the checks of upstreams whose entry must be confirmed, by upstream ID.
	returning map[string]*confirmation
	// unlisted holds when each upstream was unlisted. suspects holds when an
	// upstream will be unlisted whose entry may have expired because of an
	// outage. Both are by upstream ID.
	unlisted map[string]time.Time
	suspects map[string]time.Time
	// onReplaced is called when an incarnation replaces an older one, with their upstream IDs.
	onReplaced func(old, next string)
}

func newUpstreamRegistry(zl *zap.Logger) *upstreamRegistry {
	return &upstreamRegistry{zl: zl, upstreams: map[string]*catalogue.Upstream{}, incarnations: map[string]string{}, newest: map[string]*catalogue.Upstream{}, values: map[string][]byte{},
		unreadable: map[string]bool{}, returning: map[string]*confirmation{}, unlisted: map[string]time.Time{}, suspects: map[string]time.Time{},
		onReplaced: func(_, _ string) {}}
}

// register records an upstream's entry, with the record's value. A newer incarnation replaces the
// older one. The entry of an older incarnation was written late and is ignored, as is
// one that is older than the newest entry of its incarnation. register then returns the
// value of that one, otherwise nil.
func (r *upstreamRegistry) register(u *catalogue.Upstream, value []byte) (newer []byte) {
	server := catalogue.ServerID(u.ID)
	known, ok := r.incarnations[server]
	if ok && catalogue.IsLaterIncarnation(known, u.ID) {
		return r.values[known]
	}
	if ok && known != u.ID {
		r.forget(known)
		r.onReplaced(known, u.ID)
		r.zl.Info("upstream restarted", zap.Int("event", events.UpstreamRestarted), zap.String("peer", u.ID), zap.String("service", u.Service))
	}
	switch decideEntry(r.known(u.ID), u) {
	case adoptEntry:
		r.values[u.ID] = value
		r.adopt(u)
	case keepNewerEntry:
		r.keepNewest(u)
		return r.values[u.ID]
	case confirmEntry:
		if c := r.awaitConfirmation(u, value); c.outdated {
			return r.values[u.ID]
		}
	}
	return nil
}

// known returns what is known of an upstream; nil if nothing is.
func (r *upstreamRegistry) known(id string) *knownUpstream {
	newest := r.newest[id]
	if newest == nil {
		return nil
	}
	_, isUnlisted := r.unlisted[id]
	return &knownUpstream{newest: newest, removed: isUnlisted && !r.unreadable[id]}
}

// awaitConfirmation begins the checks of an upstream, or continues them with its newest such entry.
func (r *upstreamRegistry) awaitConfirmation(u *catalogue.Upstream, value []byte) *confirmation {
	newest := r.newest[u.ID]
	c := r.returning[u.ID]
	if c == nil {
		c = &confirmation{interval: firstCheckInterval}
		r.returning[u.ID] = c
	}
	c.entry, c.value = u, value
	c.outdated = u.Sequence < newest.Sequence || (newest.Leaving && u.Sequence == newest.Sequence)
	r.zl.Info("entry states that a leaving upstream is ready; asking it", zap.Int("event", events.UpstreamUnconfirmed), zap.String("peer", u.ID),
		zap.String("service", u.Service), zap.Int64("sequence", u.Sequence), zap.Int64("newest_sequence", newest.Sequence), zap.Bool("newest_leaving", newest.Leaving))
	return c
}

// dueChecks returns the upstreams to send health checks to now. finishCheck must be called for each.
func (r *upstreamRegistry) dueChecks(now time.Time) []*catalogue.Upstream {
	var due []*catalogue.Upstream
	for _, c := range r.returning {
		if c.inFlight || now.Before(c.nextAt) {
			continue
		}
		if c.since.IsZero() {
			c.since = now
		}
		c.inFlight = true
		due = append(due, c.entry)
	}
	return due
}

// finishCheck handles the result of a health check. It reports whether the upstream is ready again.
func (r *upstreamRegistry) finishCheck(id string, answer upstream.Health, now time.Time) bool {
	c := r.returning[id]
	if c == nil {
		return false
	}
	c.inFlight = false
	if c.confirms(answer, now) {
		r.values[id] = c.value
		r.adopt(c.entry)
		return true
	}
	c.nextAt = now.Add(c.interval)
	c.interval = min(2*c.interval, maxCheckInterval)
	return false
}

// adopt makes an entry the newest of its upstream.
func (r *upstreamRegistry) adopt(u *catalogue.Upstream) {
	old := r.upstreams[u.ID]
	r.incarnations[catalogue.ServerID(u.ID)] = u.ID
	r.newest[u.ID], r.upstreams[u.ID] = u, u
	r.markListed(u.ID)
	switch {
	case u.Leaving && (old == nil || !old.Leaving):
		r.zl.Info("upstream is leaving", zap.Int("event", events.UpstreamLeaving), zap.String("peer", u.ID), zap.String("service", u.Service),
			zap.Int64("sequence", u.Sequence))
	case !u.Leaving && old != nil && old.Leaving:
		r.zl.Info("upstream is ready again", zap.Int("event", events.UpstreamReadyAgain), zap.String("peer", u.ID), zap.String("service", u.Service),
			zap.Int64("sequence", u.Sequence), zap.Int64("sequence_before", old.Sequence), zap.Bool("unlisted_before", old.Unlisted))
	case old == nil:
		r.zl.Info("upstream listed", zap.Int("event", events.UpstreamListed), zap.String("peer", u.ID), zap.String("service", u.Service),
			zap.String("addr", u.Addr), zap.String("data_centre", u.DataCentre), zap.Int64("sequence", u.Sequence))
	}
}

// keepNewest handles an entry that is older than the newest one of its upstream. It shows only that
// the upstream has a readable entry: the upstream does not write the same content again.
func (r *upstreamRegistry) keepNewest(older *catalogue.Upstream) {
	newest := r.newest[older.ID]
	supersededEntries.Inc()
	r.zl.Info("older entry of upstream ignored", zap.Int("event", events.UpstreamEntrySuperseded), zap.String("peer", older.ID), zap.String("service", older.Service),
		zap.Int64("sequence", older.Sequence), zap.Int64("newest_sequence", newest.Sequence), zap.Bool("leaving", older.Leaving), zap.Bool("newest_leaving", newest.Leaving))
	if _, isUnlisted := r.unlisted[older.ID]; !isUnlisted || r.unreadable[older.ID] {
		r.adopt(newest)
	}
}

// markListed records that an upstream has an entry.
func (r *upstreamRegistry) markListed(id string) {
	delete(r.suspects, id)
	delete(r.unlisted, id)
	delete(r.unreadable, id)
	delete(r.returning, id)
}

// forget removes an upstream, that is one incarnation of a server.
func (r *upstreamRegistry) forget(id string) {
	delete(r.upstreams, id)
	delete(r.newest, id)
	delete(r.values, id)
	r.markListed(id)
	if server := catalogue.ServerID(id); r.incarnations[server] == id {
		delete(r.incarnations, server)
	}
}

// markMissing records that a server has no entry any more. Before graceUntil
// the upstream only becomes a suspect: entries expire during an outage of the
// log service though their upstreams run, and are written again within about
// two seconds of its end.
func (r *upstreamRegistry) markMissing(server string, graceUntil, now time.Time) {
	id := r.incarnations[server]
	_, isUnlisted := r.unlisted[id]
	delete(r.returning, id)
	delete(r.unreadable, id)
	if r.upstreams[id] == nil || isUnlisted {
		return
	}
	if !now.Before(graceUntil) {
		r.unlist(id, now)
		return
	}
	if _, ok := r.suspects[id]; !ok {
		r.suspects[id] = graceUntil
	}
}

// markUnreadable records that a server's entry was replaced by one that cannot be used.
func (r *upstreamRegistry) markUnreadable(server string, now time.Time) {
	id := r.incarnations[server]
	delete(r.returning, id)
	if _, isUnlisted := r.unlisted[id]; r.upstreams[id] == nil || isUnlisted {
		return
	}
	_, wasMissing := r.suspects[id]
	delete(r.suspects, id)
	r.unlist(id, now)
	if !wasMissing {
		r.unreadable[id] = true
	}
}

// markMissingExcept calls markMissing for all known servers except the listed
// ones.
func (r *upstreamRegistry) markMissingExcept(listed map[string]bool, graceUntil, now time.Time) {
	for server := range r.incarnations {
		if !listed[server] {
			r.markMissing(server, graceUntil, now)
		}
	}
}

// unlist marks an upstream as leaving and unlisted: it has no entry any more.
func (r *upstreamRegistry) unlist(id string, now time.Time) {
	u := *r.upstreams[id]
	u.Leaving, u.Unlisted = true, true
	r.upstreams[id] = &u
	r.unlisted[id] = now
	r.zl.Info("upstream is no longer listed", zap.Int("event", events.UpstreamUnlisted), zap.String("peer", id), zap.String("service", u.Service))
}

// untilNextDeadline returns the time until the next suspect expires or the next health check is due,
// at most unlistedRetention.
func (r *upstreamRegistry) untilNextDeadline(now time.Time) time.Duration {
	earliest := unlistedRetention
	for _, at := range r.suspects {
		earliest = min(earliest, at.Sub(now))
	}
	for _, c := range r.returning {
		if !c.inFlight {
			earliest = min(earliest, c.nextAt.Sub(now))
		}
	}
	return earliest
}

// expireSuspects unlists the suspects whose grace period has ended, unless the
// log service still fails, and forgets upstreams after unlistedRetention. It
// reports whether anything changed.
func (r *upstreamRegistry) expireSuspects(logLost bool, now time.Time) bool {
	changed := false
	for id, at := range r.suspects {
		if now.Before(at) || logLost {
			continue
		}
		delete(r.suspects, id)
		r.unlist(id, now)
		changed = true
	}
	for id, at := range r.unlisted {
		if now.Sub(at) > unlistedRetention && r.returning[id] == nil {
			r.forget(id)
			changed = true
		}
	}
	return changed
}

// unlistSuspects unlists all suspects: there was no outage that could explain
// their missing entries. It reports whether anything changed.
func (r *upstreamRegistry) unlistSuspects(now time.Time) bool {
	changed := len(r.suspects) > 0
	for id := range r.suspects {
		delete(r.suspects, id)
		r.unlist(id, now)
	}
	return changed
}

// snapshot returns the upstreams, each as returned by annotate.
func (r *upstreamRegistry) snapshot(annotate func(*catalogue.Upstream) *catalogue.Upstream) *catalogue.Snapshot {
	upstreams := make(map[string]*catalogue.Upstream, len(r.upstreams))
	for id, u := range r.upstreams {
		upstreams[id] = annotate(u)
	}
	return catalogue.NewSnapshot(upstreams)
}
