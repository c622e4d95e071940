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
func (srv *serverState) recordResult(g *Grant, err error, now bootclock.Time) {
	srv.grantsInFlight--
	if !errors.Is(err, ownership.ErrNotSent) {
		srv.maybeGrantedAt = now
	}
	switch {
	case errors.Is(err, ownership.ErrNoAnswer):
		srv.hasUnanswered = true
		srv.unansweredAt = now
	case errors.Is(err, ownership.ErrFenced):
		srv.answeredAt = now
	case err == nil && !srv.forPastIncarnation(g):
		srv.answeredAt = now
		srv.losses = 0
		srv.ackedSpans = append(srv.ackedSpans, span{g.Range.From, g.Range.To})
		if len(srv.ackedSpans) > maxAckedSpans {
			srv.ackedSpans = srv.ackedSpans[len(srv.ackedSpans)-maxAckedSpans:]
		}
	}
}

// forPastIncarnation reports whether the life that the grant was for has ended: what it
// answers, or does not, says nothing of the next one.
func (srv *serverState) forPastIncarnation(g *Grant) bool {
	return catalogue.IsLaterIncarnation(srv.incarnation, g.Range.Owner)
}

// startIncarnation turns to a newer life. It has forgotten the tokens that the older
// one acknowledged, and none of the older one's failures are its own.
func (srv *serverState) startIncarnation(incarnation string, now bootclock.Time) {
	srv.incarnation = incarnation
	srv.ackedSpans = nil
	srv.lost, srv.losses, srv.excludedUntil = false, 0, 0
	srv.answeredAt = now
}

// maxConfirmed bounds the spans remembered per upstream; more than an
// upstream has ranges is never needed.
const maxAckedSpans = 256

// acknowledgedTerm reports whether the upstream has acknowledged this term's
// token on every key of s, so that it refuses its predecessor's grants.
func (srv *serverState) acknowledgedTerm(s span) bool {
	from := s.from
	for advanced := true; advanced && from <= s.to; {
		advanced = false
		for _, acked := range srv.ackedSpans {
			if acked.from <= from && from <= acked.to {
				from, advanced = acked.to+1, true
			}
		}
	}
	return from > s.to
}
