package entryhost

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
)

const (
	// evacuationMargin is how long before the evacuation timeout a host sends
	// its last request. The host may have read the evacuation's record up to
	// 1.8 s late, and a request may then queue for half its latency objective.
	evacuationMargin = 2500 * time.Millisecond
	// assumedColdFor is how long after the end of an evacuation the data
	// centre's upstreams are treated as cold. They may have restarted
	// meanwhile, which their entries show only after their next heartbeat. Cold
	// upstreams that get their usual load at once can crash.
	assumedColdFor = 2 * time.Second
	// maxEntryDelay is the longest time from the end of an evacuation until an
	// upstream's entry shows whether it is cold.
	maxEntryDelay = time.Second
)

// evacuations tracks the data centres that operators evacuate, or have
// evacuated before.
type evacuations struct {
	// timeout is the time after the start of an evacuation from which on no
	// request may reach the data centre.
	timeout time.Duration
	// handoverBy is when hosts stop sending requests to each evacuated data
	// centre; other owners must have its keys by then. endedAt is when the
	// evacuation of a data centre ended.
	handoverBy, endedAt map[string]time.Time
	// missingUntil holds when evacuations end whose records a copy of the log lacks, unless they
	// are written again.
	missingUntil map[string]time.Time
	// entriesRead holds the data centres whose upstreams' entries have been
	// read since the evacuation ended.
	entriesRead map[string]bool
}

func newEvacuations(timeout time.Duration) *evacuations {
	return &evacuations{timeout: timeout, handoverBy: map[string]time.Time{}, endedAt: map[string]time.Time{}, missingUntil: map[string]time.Time{}, entriesRead: map[string]bool{}}
}

// begin records an evacuation and reports whether it is new. With startUnknown
// the evacuation may have begun at any time before now; the timeout then counts
// as expired.
func (e *evacuations) begin(dataCentre string, startUnknown bool, now time.Time) bool {
	delete(e.missingUntil, dataCentre)
	if _, known := e.handoverBy[dataCentre]; known {
		return false
	}
	delete(e.endedAt, dataCentre)
	e.handoverBy[dataCentre] = now
	if !startUnknown {
		e.handoverBy[dataCentre] = now.Add(max(e.timeout-evacuationMargin, 0))
	}
	return true
}

// end records the end of a data centre's evacuation and reports whether it was
// evacuated.
func (e *evacuations) end(dataCentre string, now time.Time) bool {
	if _, known := e.handoverBy[dataCentre]; !known {
		return false
	}
	delete(e.handoverBy, dataCentre)
	delete(e.missingUntil, dataCentre)
	e.endedAt[dataCentre] = now
	delete(e.entriesRead, dataCentre)
	return true
}

// confirmEntriesRead records that all entries written before readUpTo have been
// read. It reports whether this changes the state of a data centre whose
// evacuation has ended.
func (e *evacuations) confirmEntriesRead(readUpTo, now time.Time) (changed bool) {
	for dc, endedAt := range e.endedAt {
		if !e.entriesRead[dc] && now.Sub(endedAt) >= assumedColdFor && readUpTo.Sub(endedAt) >= maxEntryDelay {
			e.entriesRead[dc], changed = true, true
		}
	}
	return changed
}

// annotate returns u with the effects of evacuations on HandoverBy and SlowUntil.
// slowStart is the duration of its slow start: until its entry has been read
// after an evacuation, it may be cold for all of that time.
func (e *evacuations) annotate(u *catalogue.Upstream, slowStart time.Duration) *catalogue.Upstream {
	handoverBy, evacuated := e.handoverBy[u.DataCentre]
	endedAt, ended := e.endedAt[u.DataCentre]
	if !evacuated && !ended {
		return u
	}
	annotated := *u
	annotated.HandoverBy = handoverBy
	coldUntil := endedAt.Add(assumedColdFor)
	if !e.entriesRead[u.DataCentre] {
		coldUntil = coldUntil.Add(slowStart)
	}
	if ended && coldUntil.After(annotated.SlowUntil) {
		annotated.SlowUntil = coldUntil
	}
	return &annotated
}

// applyEvacuations applies the evacuation records among recs. After a reset, the
// evacuations without a record have ended, and the start of new ones is unknown:
// this host has just started, or the records since its last read were no longer
// retained. After a reset of a new era they end only after relistGracePeriod, unless their
// records are written again.
func (c *controller) applyEvacuations(recs []metastore.Record, reset, newEra bool) {
	now := time.Now()
	changed := false
	listed := map[string]bool{}
	for _, rec := range recs {
		dc, ok := c.decoder.EvacuatedDataCentre(rec.Key)
		switch {
		case !ok:
		case rec.Value == nil:
			changed = c.endEvacuation(dc, now) || changed
		default:
			listed[dc] = true
			changed = c.beginEvacuation(dc, reset, now) || changed
		}
	}
	for dc := range c.evacuations.handoverBy {
		switch {
		case !reset || listed[dc]:
		case newEra:
			c.evacuations.missingUntil[dc] = now.Add(relistGracePeriod)
		default:
			changed = c.endEvacuation(dc, now) || changed
		}
	}
	if changed {
		c.publishUpstreams()
	}
}

// endMissingEvacuations ends the evacuations whose records were not written again in time.
func (c *controller) endMissingEvacuations(now time.Time) (changed bool) {
	for dc, at := range c.evacuations.missingUntil {
		if !now.Before(at) {
			changed = c.endEvacuation(dc, now) || changed
		}
	}
	return changed
}

// beginEvacuation begins a data centre's evacuation and reports whether it is new.
func (c *controller) beginEvacuation(dataCentre string, startUnknown bool, now time.Time) bool {
	if !c.evacuations.begin(dataCentre, startUnknown, now) {
		return false
	}
	c.zl.Info("evacuation of data centre begun", zap.Int("event", events.EvacuationBegun), zap.String("data_centre", dataCentre),
		zap.Duration("keys_served_for", c.evacuations.handoverBy[dataCentre].Sub(now)))
	return true
}

// endEvacuation ends a data centre's evacuation and reports whether there was one.
func (c *controller) endEvacuation(dataCentre string, now time.Time) bool {
	if !c.evacuations.end(dataCentre, now) {
		return false
	}
	c.zl.Info("evacuation of data centre ended", zap.Int("event", events.EvacuationEnded), zap.String("data_centre", dataCentre))
	return true
}
