package entryhost

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/relay"
)

// Granter grants key ranges to upstreams and releases them. Its errors wrap the
// sentinel errors of package ownership.
type Granter interface {
	// Grant grants r for ttl to the upstream at addr. With existingConnOnly it
	// never opens a connection.
	Grant(ctx context.Context, addr string, r ownership.Range, ttl time.Duration, existingConnOnly bool) error
	// Release ends the grant of r. It returns once the upstream's work in
	// flight on r has ended, with a token that lets the next owner start warm.
	Release(ctx context.Context, addr string, r ownership.Range) (handoverToken string, err error)
	// LongestIdleTimeout returns the longest time for which an upstream may keep an idle connection
	// open. known is false before the first response of one.
	LongestIdleTimeout() (timeout time.Duration, known bool)
}

// Retirer asks a previous planner to stop sending grants.
type Retirer interface {
	// Retire asks the host at addr to send no grant of a term before the given
	// one. The result has the closing of its last term if the log has returned before the
	// given era.
	Retire(ctx context.Context, addr, service string, term, era int64) (ownership.Retirement, error)
}

// execute starts a planner's action on a goroutine of its own, which posts the
// result back to the planner.
func (c *controller) execute(ctx context.Context, a planner.Action) {
	switch a := a.(type) {
	case *planner.AcquireLease:
		go func() {
			result, err := c.elector.tryAcquireOrRenew(ctx, a.TTL)
			c.post(ctx, func() {
				c.observeEra(result.era)
				if result.era < c.era && err == nil {
					err = metastore.ErrEraChanged // the lease of a lost history
				}
				c.planner.AcquireLeaseDone(a, result.held, err, c.clock())
				if result.rebalanced {
					c.planner.LeaseMayMove()
				}
			})
		}()
	case *planner.LeaveElection:
		go func() {
			if err := c.elector.leave(ctx); err != nil {
				c.zl.Info("leaving the planner election failed; the membership will expire", zap.Int("event", events.PlannerLeaseLost), ErrorField(err))
			}
		}()
	case *planner.Append:
		go c.append(ctx, a)
	case *planner.Retire:
		era := c.era
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, retireTimeout)
			result, err := c.retirer.Retire(callCtx, a.Addr, a.Service, a.Term, era)
			cancel()
			if err != nil {
				c.zl.Debug("previous planner does not respond", zap.Int("event", events.PreviousPlannerUnreachable), zap.String("peer", a.Host), ErrorField(err))
			}
			c.post(ctx, func() { c.planner.RetireDone(a, result, c.clock()) })
		}()
	case *planner.Grant:
		go func() {
			err := c.grant(ctx, a)
			if !a.Indirect && (errors.Is(err, ownership.ErrNotSent) || errors.Is(err, ownership.ErrNoResponse)) {
				c.onGrantFailed(ctx, a.Range.Owner)
			}
			c.post(ctx, func() { c.planner.GrantDone(a, err, c.clock()) })
		}()
	case *planner.Release:
		decidedAt := c.clock()
		go func() {
			token, err := c.release(ctx, a, decidedAt)
			c.post(ctx, func() { c.planner.ReleaseDone(a, token, err, c.clock()) })
		}()
	}
}

// grant sends a grant, unless the planner decided on it (a.DecidedAt) longer than
// maxGrantSendDelay ago. It runs on a goroutine of its own.
func (c *controller) grant(ctx context.Context, a *planner.Grant) error {
	delay := c.clock().Sub(a.DecidedAt)
	if delay > maxGrantSendDelay {
		return eris.Wrapf(ownership.ErrNotSent, "upstream %s: grant was decided on %v ago", a.Addr, delay)
	}
	if a.Indirect {
		_, err := c.relayGrant(ctx, a.Addr, a.Range, a.TTL, a.DecidedAt, grantTimeout)
		return err
	}
	grantCtx, cancel := context.WithTimeout(ctx, grantTimeout-delay)
	defer cancel()
	return c.granter.Grant(grantCtx, a.Addr, a.Range, a.TTL, a.ExistingConnOnly)
}

// append appends an ownership table to the log, and adopts it if the log accepts it.
// It runs on a goroutine of its own.
func (c *controller) append(ctx context.Context, a *planner.Append) {
	data, err := a.Table.Encode()
	var end metastore.Position
	if err == nil {
		end, err = c.store.AppendAt(ctx, metastore.StreamOwnership, a.Table.Service, data, a.At)
	}
	c.post(ctx, func() {
		table := c.planner.AppendDone(a, end, err, c.clock())
		if table == nil {
			return
		}
		c.adoptTable(table)
		offset := end.Offset - 1
		c.replica.KeepTable(offset, table)
		c.replica.Apply(relay.Batch{Stream: metastore.StreamOwnership, Next: end, Records: []metastore.Record{{Key: table.Service, Value: data, Offset: offset}}})
	})
}
