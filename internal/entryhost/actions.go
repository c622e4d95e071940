package entryhost

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/relay"
)

// execute makes a planner's call and hands its result back.
func (c *controller) execute(ctx context.Context, a planner.Action) {
	switch a := a.(type) {
	case *planner.AcquireLease:
		go func() {
			held, err := c.elector.tryAcquireOrRenew(ctx, a.TTL)
			c.post(ctx, func() { c.planner.AcquireLeaseDone(a, held, err, c.clock()) })
		}()
	case *planner.ReleaseLease:
		go func() {
			if err := c.elector.release(ctx); err != nil {
				c.zl.Info("planner's group not left; the membership lapses", zap.Int("event", events.PlannerLeaseLost), ErrorField(err))
			}
		}()
	case *planner.Append:
		go c.append(ctx, a)
	case *planner.Retire:
		go func() {
			rctx, cancel := context.WithTimeout(ctx, retireTimeout)
			host, retired, err := c.retirer.Retire(rctx, a.Addr, a.Service, a.Term)
			cancel()
			if err != nil {
				c.zl.Debug("planner before does not answer", zap.Int("event", events.PreviousPlannerUnreachable), zap.String("peer", a.Host), ErrorField(err))
			}
			c.post(ctx, func() { c.planner.RetireDone(a, host, retired, c.clock()) })
		}()
	case *planner.Grant:
		go func() {
			err := c.grant(ctx, a)
			c.post(ctx, func() { c.planner.GrantDone(a, err, c.clock()) })
		}()
	case *planner.Release:
		go func() {
			rctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			token, err := c.granter.Release(rctx, a.Addr, a.Range)
			cancel()
			c.post(ctx, func() { c.planner.ReleaseDone(a, token, err, c.clock()) })
		}()
	}
}

// grant sends a grant, unless it was decided on too long ago.
func (c *controller) grant(ctx context.Context, a *planner.Grant) error {
	late := c.clock().Sub(a.SentAt)
	if late > maxGrantSendDelay {
		return eris.Wrapf(ownership.ErrNotSent, "upstream %s: grant decided on %v ago", a.Addr, late)
	}
	gctx, cancel := context.WithTimeout(ctx, grantTimeout-late)
	defer cancel()
	return c.granter.Grant(gctx, a.Addr, a.Range, a.TTL, a.ExistingConnOnly)
}

func (c *controller) append(ctx context.Context, a *planner.Append) {
	data, err := a.Table.Encode()
	var end int64
	if err == nil {
		end, err = c.store.AppendAt(ctx, metastore.StreamOwnership, a.Table.Service, data, a.ExpectedOffset)
	}
	c.post(ctx, func() {
		t := c.planner.AppendDone(a, end, err, c.clock())
		if t == nil {
			return
		}
		c.adoptTable(t)
		c.replica.KeepTable(end-1, t)
		c.replica.Apply(relay.Batch{Stream: metastore.StreamOwnership, NextOffset: end,
			Records: []metastore.Record{{Key: t.Service, Value: data, Offset: end - 1}}})
	})
}
