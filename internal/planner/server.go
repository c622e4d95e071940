package planner

import (
	"errors"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// serverState tracks the grants sent to one server. Its incarnations share the
// state, because a grant sent to one may reach the next.
type serverState struct {
	// incarnation is the newest one that was in the view or sent a grant.
	// Acknowledgements by earlier ones do not count for it.
	incarnation    string
	grantsInFlight int
	route          route
	// maybeGrantedAt is when the last grant that may have reached the server completed.
	maybeGrantedAt bootclock.Time
	grantSent      bool
	// noResponseAt is when the last grant without a response was given up, or if its sender was lost the
	// latest time at which it may arrive; hadNoResponse is whether there was one. It may take effect
	// late, even after a release.
	noResponseAt  bootclock.Time
	hadNoResponse bool
	// respondedAt is when the server last accepted or fenced a grant; a rejection of
	// another kind does not count. It is also set when the first grant is sent, when a
	// newer incarnation starts, and when a move off the server is cancelled because
	// the server is back.
	respondedAt bootclock.Time
	// minAckToken is the lowest token whose acknowledgement counts: after a return of the log, those
	// of earlier eras do not. ackedSpans are the spans for which the server has acknowledged this
	// term's token.
	minAckToken int64
	ackedSpans  []ackedSpan
	// throttles limits the events for failed calls.
	throttles map[EventKind]eventThrottle
	// exclusions counts how often the server was excluded since it last accepted a
	// grant. Until excludedUntil it gets no keys.
	exclusions    int
	excludedUntil bootclock.Time
	// unresponsive is set when a grant fails, respondedAt is longer ago than
	// unresponsiveAfterFraction of the grant TTL, and route.failed.
	unresponsive bool
	// ended is the newest incarnation that is known to have ended, as another process has its address.
	// It holds no keys and accepts no grants.
	ended string
}

// eventThrottle records when an event of one kind was last emitted, and how
// many were suppressed since.
type eventThrottle struct {
	emittedAt  bootclock.Time
	suppressed int
}

// recordResult records a grant's result. It must be called once for each grant
// sent, on the state that counted the grant, even after the term has ended: a
// later term may continue to use the state.
func (srv *serverState) recordResult(g *Grant, err error, maxHoldUp time.Duration, now bootclock.Time) {
	srv.grantsInFlight--
	if g.closing == nil {
		srv.route.record(g.Indirect, err, now)
	}
	if !errors.Is(err, ownership.ErrNotSent) {
		srv.maybeGrantedAt = now
	}
	switch {
	case errors.Is(err, ownership.ErrSenderLost):
		srv.hadNoResponse, srv.noResponseAt = true, max(srv.noResponseAt, now.Add(maxHoldUp))
	case errors.Is(err, ownership.ErrNoResponse):
		srv.hadNoResponse, srv.noResponseAt = true, max(srv.noResponseAt, now)
	case errors.Is(err, ownership.ErrFenced):
		srv.respondedAt = now
	case err == nil && !srv.forPastIncarnation(g):
		srv.respondedAt = now
		srv.exclusions = 0
		if g.Range.FencingToken < srv.minAckToken {
			return
		}
		srv.ackedSpans = append(srv.ackedSpans, ackedSpan{span{g.Range.From, g.Range.To}, g.DecidedAt})
		if len(srv.ackedSpans) > maxAckedSpans {
			srv.ackedSpans = srv.ackedSpans[len(srv.ackedSpans)-maxAckedSpans:]
		}
	}
}

// forPastIncarnation reports whether the grant was meant for an incarnation
// that has ended. Its result does not apply to the current one.
func (srv *serverState) forPastIncarnation(g *Grant) bool {
	return catalogue.IsLaterIncarnation(srv.incarnation, g.Range.Owner)
}

// startIncarnation switches to a newer incarnation. It has forgotten the tokens that
// the old one acknowledged, and the old one's failures do not count against it.
func (srv *serverState) startIncarnation(incarnation string, now bootclock.Time) {
	srv.incarnation = incarnation
	srv.ackedSpans = nil
	srv.unresponsive, srv.exclusions, srv.excludedUntil = false, 0, 0
	srv.respondedAt = now
}

// ackedSpan is a span for which a server has acknowledged this term's token, in response to a grant that
// was decided on at grantedAt.
type ackedSpan struct {
	span
	grantedAt bootclock.Time
}

// maxAckedSpans bounds the spans kept per server. It must be at least the number
// of ranges that a server owns, or acknowledgements that still count are dropped.
const maxAckedSpans = 256

// hasEnded reports whether the owner is known to have ended.
func (t *term) hasEnded(owner string) bool { return owner != "" && t.server(owner).ended == owner }

// acknowledgedTerm reports whether the server has acknowledged this term's
// token for every key of s after the given time, so that it rejects the grants of previous planners.
func (srv *serverState) acknowledgedTerm(s span, after bootclock.Time) bool {
	from := s.from
	for advanced := true; advanced && from <= s.to; {
		advanced = false
		for _, acked := range srv.ackedSpans {
			if !acked.grantedAt.Before(after) && acked.from <= from && from <= acked.to {
				from, advanced = acked.to+1, true
			}
		}
	}
	return from > s.to
}
