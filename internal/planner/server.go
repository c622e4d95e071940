package planner

import (
	"errors"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/ownership"
)

// serverState is what is known of the grants sent to one server. Its lives share
// it: a grant that was sent to one may reach the next.
type serverState struct {
	// incarnation is the newest life a grant was meant for or that was listed. What
	// earlier ones acknowledged does not count for it.
	incarnation    string
	grantsInFlight int
	// maybeGrantedAt is when the last grant was sent that may have reached it.
	maybeGrantedAt bootclock.Time
	grantSent      bool
	// unansweredAt is when the last grant was sent that got no answer; it
	// may be carried out late, even after a release.
	unansweredAt  bootclock.Time
	hasUnanswered bool
	// answeredAt is when it last answered, or was first sent a grant.
	answeredAt bootclock.Time
	// ackedSpans are the spans on which it has seen this term's token.
	ackedSpans []span
	// throttles is what was last told of orders that failed.
	throttles     map[EventKind]eventThrottle
	losses        int
	excludedUntil bootclock.Time
	lost          bool
}

// eventThrottle is when a kind of failure was last told, and how many were not since.
type eventThrottle struct {
	emittedAt  bootclock.Time
	suppressed int
}

// recordResult takes in a grant's result. It must be called for each that was sent, on the
// holder for which it was, also after the term has ended: a later term may go on with
// the account.
func (h *serverState) recordResult(g *Grant, err error, now bootclock.Time) {
	h.grantsInFlight--
	if !errors.Is(err, ownership.ErrNotSent) {
		h.maybeGrantedAt = now
	}
	switch {
	case errors.Is(err, ownership.ErrNoAnswer):
		h.hasUnanswered = true
		h.unansweredAt = now
	case errors.Is(err, ownership.ErrFenced):
		h.answeredAt = now
	case err == nil && !h.forPastIncarnation(g):
		h.answeredAt = now
		h.losses = 0
		h.ackedSpans = append(h.ackedSpans, span{g.Range.From, g.Range.To})
		if len(h.ackedSpans) > maxAckedSpans {
			h.ackedSpans = h.ackedSpans[len(h.ackedSpans)-maxAckedSpans:]
		}
	}
}

// forPastIncarnation reports whether the life that the grant was for has ended: what it
// answers, or does not, says nothing of the next one.
func (h *serverState) forPastIncarnation(g *Grant) bool {
	return catalogue.IsLaterIncarnation(h.incarnation, g.Range.Owner)
}

// startIncarnation turns to a newer life. It has forgotten the tokens that the older
// one acknowledged, and none of the older one's failures are its own.
func (h *serverState) startIncarnation(life string, now bootclock.Time) {
	h.incarnation = life
	h.ackedSpans = nil
	h.lost, h.losses, h.excludedUntil = false, 0, 0
	h.answeredAt = now
}

// maxConfirmed bounds the spans remembered per upstream; more than an
// upstream has ranges is never needed.
const maxAckedSpans = 256

// acknowledgedTerm reports whether the upstream has acknowledged this term's
// token on every key of s, so that it refuses its predecessor's grants.
func (h *serverState) acknowledgedTerm(s span) bool {
	from := s.from
	for again := true; again && from <= s.to; {
		again = false
		for _, c := range h.ackedSpans {
			if c.from <= from && from <= c.to {
				from, again = c.to+1, true
			}
		}
	}
	return from > s.to
}
