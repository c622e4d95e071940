package entryhost

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/view"
)

// countingGranter counts the grants that it is asked to send.
type countingGranter struct {
	Granter
	grants int
}

func (g *countingGranter) LongestIdleTimeout() (time.Duration, bool) { return 0, true }

func (g *countingGranter) Grant(context.Context, string, ownership.Range, time.Duration, bool) error {
	g.grants++
	return nil
}

// A planner decides on a grant, which sets DecidedAt, and then doesn't run for a
// second. Meanwhile it, or the next planner, considers the earlier grant of the
// keys expired and gives them to another owner. The delayed grant must not be
// sent: its owner would hold the keys for three more seconds.
func TestDelayedGrantIsNotSent(t *testing.T) {
	g := &countingGranter{}
	c := newController(zap.NewNop(), memstore.New(), decoder{}, g, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	decidedAt := bootclock.Time(time.Hour)
	for _, step := range []struct {
		delay time.Duration
		sent  bool
	}{{maxGrantSendDelay, true}, {time.Second, false}} {
		g.grants = 0
		c.clock = func() bootclock.Time { return decidedAt.Add(step.delay) }
		err := c.grant(t.Context(), &planner.Grant{DecidedAt: decidedAt})
		if sent := g.grants == 1; sent != step.sent || errors.Is(err, ownership.ErrNotSent) == step.sent {
			t.Errorf("delayed by %v: sent %v, error %v", step.delay, sent, err)
		}
	}
}
