package entryhost

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayatide/papayatide/internal/bootclock"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/view"
)

func registerUpstream(r *upstreamRegistry, id string) {
	r.register(&catalogue.Upstream{ID: id, Service: "s"})
}

// state says what the roster believes of an upstream.
func (r *upstreamRegistry) state(id string) string {
	switch u := r.upstreams[id]; {
	case u == nil:
		return "unknown"
	case u.Leaving:
		return "leaving"
	}
	return "ready"
}

func wantState(t *testing.T, r *upstreamRegistry, id, want string) {
	t.Helper()
	if got := r.state(id); got != want {
		t.Errorf("%s is %s, want %s", id, got, want)
	}
}

// An upstream's entry is removed while the log service is well: it gets
// nothing new from then on, and is forgotten in the end.
func TestUnlistedUpstreamIsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newUpstreamRegistry(zap.NewNop())
	registerUpstream(r, "u1")
	r.markMissing("u1", now, now)
	wantState(t, r, "u1", "leaving")
	r.expireSuspects(false, now.Add(unlistedRetention+time.Second))
	wantState(t, r, "u1", "unknown")
}

// Entries lapse while the log service is down. An upstream that is listed
// again within two seconds of its return kept its callers all the while; one
// that is not is taken for gone then.
func TestEntriesExpiredDuringOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newUpstreamRegistry(zap.NewNop())
	registerUpstream(r, "back")
	registerUpstream(r, "gone")
	r.markMissing("back", now.Add(relistGracePeriod), now)
	r.markMissing("gone", now.Add(relistGracePeriod), now)
	r.expireSuspects(true, now.Add(time.Minute))
	wantState(t, r, "back", "ready")
	wantState(t, r, "gone", "ready")
	registerUpstream(r, "back")
	r.expireSuspects(false, now.Add(time.Minute))
	wantState(t, r, "back", "ready")
	wantState(t, r, "gone", "leaving")
}

// An upstream that was taken for gone before an outage is missing from the
// list read after it as well. It must not be suspected anew: by the time the
// suspicion was settled it was forgotten, and the host ended.
func TestUnlistedUpstreamIsNotSuspectedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newUpstreamRegistry(zap.NewNop())
	registerUpstream(r, "u1")
	r.markMissing("u1", now, now)
	now = now.Add(unlistedRetention - time.Second)
	r.markMissingExcept(nil, now.Add(relistGracePeriod), now)
	now = now.Add(2 * time.Second)
	r.expireSuspects(true, now)
	r.expireSuspects(false, now.Add(relistGracePeriod))
	wantState(t, r, "u1", "unknown")
}

// A host was cut off; the log service was well all the while. Upstreams that
// left meanwhile are missing from the list it reads then, and it cannot know
// by itself whether their entries lapsed in an outage. The planner's word that
// it had no break settles it: callers go to them no longer.
func TestPartitionedHostUsesPlannersLogStatus(t *testing.T) {
	log := memstore.New()
	views := view.NewPublisher()
	c := newController(zap.NewNop(), log, decoder{}, nil, views, planner.Options{Host: "h"}, testEvacuationTimeout)
	c.registry.register(&catalogue.Upstream{ID: "left", Service: "s"})
	c.onStreamResult(metastore.StreamUpstreams, metastore.ErrNoAnswer)
	c.onStreamResult(metastore.StreamUpstreams, nil)
	c.applyUpstreams(nil, true)
	if u := views.Load().Upstreams.ByID["left"]; u.Leaving {
		t.Fatal("right after an outage a missing entry is taken for leaving")
	}
	c.onPlannerFollowed(time.Second)
	if u := views.Load().Upstreams.ByID["left"]; u.Leaving {
		t.Fatal("a planner that had a break too cannot tell")
	}
	c.onPlannerFollowed(time.Minute)
	if u := views.Load().Upstreams.ByID["left"]; !u.Leaving {
		t.Fatal("still sent to, though the planner saw no outage")
	}
}

// A host regains one stream after a cut, and reads the list of upstreams half
// a second later. The time in which lapsed entries come back runs from the
// first sign that the log service is back, not from the list.
func TestRelistGracePeriodStartsAtFirstRecoveredStream(t *testing.T) {
	c := newController(zap.NewNop(), memstore.New(), decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	for _, s := range []metastore.Stream{metastore.StreamDesired, metastore.StreamUpstreams} {
		c.onStreamResult(s, metastore.ErrNoAnswer)
	}
	c.onStreamResult(metastore.StreamDesired, nil)
	first := c.logRecoveredAt
	c.logRecoveredAt = first.Add(-500 * time.Millisecond)
	c.onStreamResult(metastore.StreamUpstreams, nil)
	now := time.Now()
	if got := c.missingGraceUntil(now).Sub(now); got > relistGracePeriod-400*time.Millisecond {
		t.Errorf("spared for %v more", got)
	}
}

// While the service fails, one reader tries and the others wait for it.
func TestOnlyProbeReadsDuringOutage(t *testing.T) {
	log := memstore.New()
	log.SetDown(true)
	c := newController(zap.NewNop(), log, decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	own, rest := c.newStreamReaders(ctx)
	for _, f := range append(rest, own) {
		go f.run(ctx)
	}
	time.Sleep(1500 * time.Millisecond)
	if n := log.Calls("newest"); n > 15 {
		t.Errorf("%d calls in 1.5 s of an outage", n)
	}
}

// A host stands still for five seconds, in which the log service was down and
// entries lapsed. It never saw the outage, but spares what is missing now as
// if it had: the entries are back within two seconds.
func TestStalledHostKeepsMissingUpstreams(t *testing.T) {
	c := newController(zap.NewNop(), memstore.New(), decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	clock := bootclock.Time(time.Hour)
	c.clock = func() bootclock.Time { return clock }
	c.detectStall()
	registerUpstream(c.registry, "u")
	clock = clock.Add(followerTickInterval)
	c.detectStall()
	if now := time.Now(); c.missingGraceUntil(now).After(now) {
		t.Fatal("spares entries without a reason")
	}
	clock = clock.Add(5 * time.Second)
	c.detectStall()
	now := time.Now()
	c.registry.markMissing("u", c.missingGraceUntil(now), now)
	wantState(t, c.registry, "u", "ready")
	if c.replica.LogReachableFor(now) > time.Second {
		t.Error("claims to have reached the log service all the while")
	}
}

// A server starts again under its ID while callers and the planner know its
// earlier life. Only the new life is known from its entry on, and an entry that
// the old one wrote late does not bring it back. When the server leaves it is
// the new life that is leaving.
func TestServerRestartsUnderSameID(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newUpstreamRegistry(zap.NewNop())
	first, second := catalogue.IncarnationID("u1", 1), catalogue.IncarnationID("u1", 2)
	registerUpstream(r, first)
	registerUpstream(r, second)
	registerUpstream(r, first)
	wantState(t, r, first, "unknown")
	wantState(t, r, second, "ready")
	r.markMissing("u1", now, now)
	wantState(t, r, second, "leaving")
	r.expireSuspects(false, now.Add(unlistedRetention+time.Second))
	wantState(t, r, second, "unknown")
	registerUpstream(r, first)
	wantState(t, r, first, "ready")
}

// Another writer replaces an upstream's entry by one that cannot be read, and
// writes one under a key of its own. The first upstream gets nothing new until
// it writes again, the others are left alone, and one line is logged for all.
func TestForeignEntryAddsNoUpstream(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	views := view.NewPublisher()
	c := newController(zap.New(core), memstore.New(), decoder{}, nil, views, planner.Options{Host: "h"}, testEvacuationTimeout)
	entry := func(id string) metastore.Record {
		return metastore.Record{Key: id, Value: fmt.Appendf(nil, `{"ID":%q,"Service":"s"}`, id)}
	}
	forged := func(id string) metastore.Record { return metastore.Record{Key: id, Value: []byte("\xff")} }
	c.applyUpstreams([]metastore.Record{entry("u1"), entry("u2")}, true)
	c.applyUpstreams([]metastore.Record{forged("u1"), forged("nobody"), forged("")}, false)
	if ups := views.Load().Upstreams.ByID; !ups["u1"].Leaving || ups["u2"].Leaving || len(ups) != 2 {
		t.Errorf("upstreams are %+v", ups)
	}
	if n := logs.Len(); n != 1 {
		t.Errorf("%d lines logged", n)
	}
	c.applyUpstreams([]metastore.Record{entry("u1")}, false)
	if views.Load().Upstreams.ByID["u1"].Leaving {
		t.Error("the upstream's own entry does not bring it back")
	}
}
