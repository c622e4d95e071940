package planner

import (
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/bootclock"
)

// Guards against keys without an owner of which no log tells why: their owner has released them,
// and they wait since for a grant to it that got no response.
func TestBlockedMoveIsReported(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.simulate(3*time.Second, succeedAll)
	var reported []Event
	h.p.OnEvent = func(e Event) {
		if e.Kind == MoveBlocked {
			reported = append(reported, e)
		}
	}
	term := h.p.terms[simService]
	old := term.table.Ranges[0]
	releasedAt := h.now
	term.insertMove(&move{span: span{old.From, old.To}, old: old, dest: "b", released: true, releasedAt: releasedAt, cause: causeLoad})
	for _, c := range []struct {
		after bootclock.Time
		want  int
	}{{releasedAt.Add(blockedMoveDelay / 2), 0}, {releasedAt.Add(blockedMoveDelay), 1}, {releasedAt.Add(blockedMoveDelay + blockedReportInterval/2), 1}} {
		srv := term.server(old.Owner)
		srv.hadNoResponse, srv.noResponseAt, srv.grantsInFlight = true, c.after, 0
		term.dueAppend(c.after)
		if len(reported) != c.want {
			t.Errorf("%v after the release: %d reports, want %d", c.after.Sub(releasedAt), len(reported), c.want)
		}
	}
	if len(reported) > 0 && (reported[0].Cause != "grant without a response" || reported[0].Upstream != old.Owner || reported[0].Age != blockedMoveDelay) {
		t.Errorf("reported %+v", reported[0])
	}
}
