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

// countingGranter counts grants.
type countingGranter struct {
	Granter
	grants int
}

func (g *countingGranter) Grant(context.Context, string, ownership.Range, time.Duration, bool) error {
	g.grants++
	return nil
}

// A planner decides on a grant and gets no processor for a second. Meanwhile it, or
// its successor, takes the lease for over and gives the keys to another. The grant
// must not go out then: its owner would hold the keys for three seconds more.
func TestDelayedGrantIsNotSent(t *testing.T) {
	g := &countingGranter{}
	c := newController(zap.NewNop(), memstore.New(), decoder{}, g, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	decided := bootclock.Time(time.Hour)
	for _, step := range []struct {
		late time.Duration
		sent bool
	}{{maxGrantSendDelay, true}, {time.Second, false}} {
		g.grants = 0
		c.clock = func() bootclock.Time { return decided.Add(step.late) }
		err := c.grant(t.Context(), &planner.Grant{SentAt: decided})
		if sent := g.grants == 1; sent != step.sent || errors.Is(err, ownership.ErrNotSent) == step.sent {
			t.Errorf("%v late: sent %v, error %v", step.late, sent, err)
		}
	}
}
