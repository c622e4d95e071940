package balance

import (
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
)

const (
	// maxEntryWriteDelay is the longest time from an upstream's start until it has written
	// its entry to the log service, from which hosts read their catalogue of upstreams.
	maxEntryWriteDelay = 2 * time.Second
	// maxSyncAge is the age of the newest entries that this host has read, above which a
	// restart may have gone unnoticed. While the log service is reachable they are younger.
	maxSyncAge = 1500 * time.Millisecond
	// maxDetectionDelay is the longest time from the end of a process until a host records it.
	maxDetectionDelay = time.Second
	// maxLosses bounds the losses of connections that are kept for each upstream.
	maxLosses = 16
)

// restartEvidence is what this host knows of restarts of an upstream that its entry may not
// show yet.
type restartEvidence struct {
	// crashedAt is when the upstream last seemed to have crashed.
	crashedAt time.Time
	// connsLost holds when all connections to the upstream ended unexpectedly, although it accepted
	// new ones, in order: each time it may have restarted.
	connsLost []time.Time
	// recoveredAt is the first response after the last possible restart.
	recoveredAt time.Time
	// confirmedAt is when a request was sent whose response showed that the upstream has not
	// restarted in the last observation gap.
	confirmedAt time.Time
}

// observationGap is a time in which this host observed no upstream: before its start, with a
// zero from, or while its process was stopped.
type observationGap struct{ from, to time.Time }

// possibleRestart returns when the upstream may have restarted without its entry showing it;
// zero if that is not known or the entries have been read since. Crashes count at once. Lost
// connections and gaps count only while the entries are stale, because a restart otherwise shows
// there within moments, and other causes are more frequent.
func (p *Picker) possibleRestart(st *upstreamState, now time.Time) time.Time {
	if !p.logFailing && now.Sub(p.syncedUntil) <= maxSyncAge {
		return st.restart.crashedAt
	}
	return p.lastRestart(st)
}

// lastRestart is possibleRestart if the entries are stale.
func (p *Picker) lastRestart(st *upstreamState) time.Time {
	at := st.restart.crashedAt
	if lost := st.restart.lastLost(); lost.After(at) {
		at = lost
	}
	if p.gap.to.After(at) && p.gap.to.After(st.restart.confirmedAt) {
		at = p.gap.to
	}
	return at
}

// LastRestart returns when the upstream may last have restarted since the entries that this host
// has read were written; zero if that is not known.
func (p *Picker) LastRestart(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRestart(p.state(id))
}

// slowStartUntil returns when the upstream's slow start ends: u.SlowUntil, as its entry
// states. If the upstream may have restarted, a later incarnation may already listen at
// its address, with an entry that this host has not read yet. Until the first response after
// the restart, the slow start is taken to begin now and ends at now+slowStart. From then on it
// ends at recoveredAt+slowStart or u.SlowUntil, whichever is later.
func (p *Picker) slowStartUntil(st *upstreamState, u *catalogue.Upstream, slowStart time.Duration, now time.Time) time.Time {
	at := p.possibleRestart(st, now)
	switch {
	case at.IsZero():
		return u.SlowUntil
	case st.restart.recoveredAt.Before(at):
		return now.Add(slowStart)
	case st.restart.recoveredAt.Add(slowStart).After(u.SlowUntil):
		return st.restart.recoveredAt.Add(slowStart)
	}
	return u.SlowUntil
}

// responded records a response at now; gapEnd is the end of the last observation gap.
func (r *restartEvidence) responded(now, gapEnd time.Time) {
	if r.recoveredAt.Before(r.crashedAt) || r.recoveredAt.Before(r.lastLost()) || r.recoveredAt.Before(gapEnd) {
		r.recoveredAt = now
	}
}

// lastLost returns when the connections were last lost; zero if they were not.
func (r *restartEvidence) lastLost() time.Time {
	if len(r.connsLost) == 0 {
		return time.Time{}
	}
	return r.connsLost[len(r.connsLost)-1]
}

// discard removes the possible restarts for which match returns true.
func (r *restartEvidence) discard(match func(at time.Time) bool) {
	r.connsLost = slices.DeleteFunc(r.connsLost, match)
	if match(r.crashedAt) {
		r.crashedAt = time.Time{}
	}
}

// RecordCrash records that the upstream crashed at the given time. It ignores a crash
// so old that the entry of the restarted server has been read since; see MarkSynced.
func (p *Picker) RecordCrash(id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.state(id); at.After(st.restart.crashedAt) && p.syncedUntil.Sub(at) <= maxEntryWriteDelay {
		st.restart.crashedAt = at
	}
}

// RecordLostConnections records that all of this host's connections to the upstream have ended
// unexpectedly, although it accepts new ones.
func (p *Picker) RecordLostConnections(id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.state(id).restart
	if len(r.connsLost) == maxLosses {
		r.connsLost = r.connsLost[:maxLosses-1]
	}
	r.connsLost = append(r.connsLost, at)
}

// RecordSameProcess records a response to a request that was sent at sent on a connection
// that had been opened at opened: the upstream has not restarted between the two.
func (p *Picker) RecordSameProcess(id string, opened, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.state(id).restart
	r.discard(func(at time.Time) bool { return at.After(opened.Add(maxDetectionDelay)) && at.Before(sent) })
	if opened.Before(p.gap.from) && sent.After(p.gap.to) {
		r.confirmedAt = sent
	}
}

// RecordGap records that this host has observed no upstream from one time to another.
func (p *Picker) RecordGap(from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gap = observationGap{from, to}
	if p.syncedUntil.After(from) {
		p.syncedUntil = from
	}
}

// RecordPathGap is RecordGap for a host that has read upstreams' entries meanwhile.
func (p *Picker) RecordPathGap(from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gap = observationGap{from, to}
}

// SetLogFailing records whether the last read of the entries from the log service failed.
func (p *Picker) SetLogFailing(failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logFailing = failing
}

// MarkSynced records that this host has read all entries that upstreams wrote to the log
// service until the given time. It clears possible restarts that are more than
// maxEntryWriteDelay older: a server that restarted then has a new entry by now, which states
// its slow start.
func (p *Picker) MarkSynced(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncedUntil = until
	if until.Sub(p.gap.to) > maxEntryWriteDelay {
		p.gap = observationGap{}
	}
	for _, st := range p.states {
		r := &st.restart
		r.discard(func(at time.Time) bool { return until.Sub(at) > maxEntryWriteDelay })
		if r.crashedAt.IsZero() && len(r.connsLost) == 0 && p.gap.to.IsZero() {
			r.recoveredAt = time.Time{}
		}
	}
}
