package entryhost

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
)

const (
	// evacuationMargin is how much sooner than its bound a host ends an
	// evacuation: it may have read the order 1.8 s after it was given, and a
	// request may wait half its objective for its turn.
	evacuationMargin = 2500 * time.Millisecond
	// assumedColdFor is how long after a data centre is taken back its upstreams
	// are taken for cold: they may have become so meanwhile, and write their
	// entries once a heartbeat. Sent their usual share at once, they ended.
	assumedColdFor = 2 * time.Second
	// maxEntryDelay is how long after it is taken back an upstream's entry tells
	// at the latest whether it is cold.
	maxEntryDelay = time.Second
)

// evacuations are the data centres that operators have evacuated. A data centre
// without an entry was never heard of.
type evacuations struct {
	// timeout is the time from the order to the last request.
	timeout time.Duration
	// leaveBy is when the last request may be sent to an evacuated data centre,
	// backAt when one was taken back.
	leaveBy, endedAt map[string]time.Time
	// entriesRead are those that were taken back and whose upstreams' entries have been
	// read since.
	entriesRead map[string]bool
}

func newEvacuations(bound time.Duration) *evacuations {
	return &evacuations{timeout: bound, leaveBy: map[string]time.Time{}, endedAt: map[string]time.Time{}, entriesRead: map[string]bool{}}
}

// begin takes note of an evacuation. A host that reads of it at its start, or
// after it lost the log, does not know how long ago it was ordered: for it the
// time is over. It reports whether the evacuation is new.
func (e *evacuations) begin(dataCentre string, old bool, now time.Time) bool {
	if _, known := e.leaveBy[dataCentre]; known {
		return false
	}
	delete(e.endedAt, dataCentre)
	e.leaveBy[dataCentre] = now
	if !old {
		e.leaveBy[dataCentre] = now.Add(max(e.timeout-evacuationMargin, 0))
	}
	return true
}

// end takes a data centre back. It reports whether it was evacuated.
func (e *evacuations) end(dataCentre string, now time.Time) bool {
	if _, known := e.leaveBy[dataCentre]; !known {
		return false
	}
	delete(e.leaveBy, dataCentre)
	e.endedAt[dataCentre] = now
	delete(e.entriesRead, dataCentre)
	return true
}

// confirmEntriesRead takes note that all entries were read that upstreams had written by the
// given time. It reports whether that says more of a data centre taken back.
func (e *evacuations) confirmEntriesRead(written, now time.Time) (changed bool) {
	for dc, back := range e.endedAt {
		if !e.entriesRead[dc] && now.Sub(back) >= assumedColdFor && written.Sub(back) >= maxEntryDelay {
			e.entriesRead[dc], changed = true, true
		}
	}
	return changed
}

// annotate returns the upstream, whose slow start lasts so long, as the evacuations make
// it. While its entry cannot be read it may be cold for all of that time.
func (e *evacuations) annotate(u *catalogue.Upstream, slowStart time.Duration) *catalogue.Upstream {
	by, evacuated := e.leaveBy[u.DataCentre]
	back, was := e.endedAt[u.DataCentre]
	if !evacuated && !was {
		return u
	}
	marked := *u
	marked.LeaveBy = by
	unsure := back.Add(assumedColdFor)
	if !e.entriesRead[u.DataCentre] {
		unsure = unsure.Add(slowStart)
	}
	if was && unsure.After(marked.SlowUntil) {
		marked.SlowUntil = unsure
	}
	return &marked
}

// applyEvacuations takes in the records of evacuations among recs. After a reset
// those that are not among them have been taken back.
func (c *controller) applyEvacuations(recs []metastore.Record, reset bool) {
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
	for dc := range c.evacuations.leaveBy {
		if reset && !listed[dc] {
			changed = c.endEvacuation(dc, now) || changed
		}
	}
	if changed {
		c.publishUpstreams()
	}
}

func (c *controller) beginEvacuation(dataCentre string, old bool, now time.Time) bool {
	if !c.evacuations.begin(dataCentre, old, now) {
		return false
	}
	c.zl.Info("data centre evacuated", zap.Int("event", events.EvacuationBegun), zap.String("data_centre", dataCentre),
		zap.Duration("keys_served_for", c.evacuations.leaveBy[dataCentre].Sub(now)))
	return true
}

func (c *controller) endEvacuation(dataCentre string, now time.Time) bool {
	if !c.evacuations.end(dataCentre, now) {
		return false
	}
	c.zl.Info("evacuated data centre taken back", zap.Int("event", events.EvacuationEnded), zap.String("data_centre", dataCentre))
	return true
}
