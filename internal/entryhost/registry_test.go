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

// registerUpstream registers an upstream of a service as ready.
func registerUpstream(r *upstreamRegistry, id string) {
	r.register(&catalogue.Upstream{ID: id, Service: "s"}, nil)
}

// state returns the state of an upstream: unknown, leaving or ready.
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

// An upstream's entry is deleted while the log service works. The upstream must
// count as leaving from then on and be forgotten after unlistedRetention.
func TestUnlistedUpstreamIsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newUpstreamRegistry(zap.NewNop())
	registerUpstream(r, "u1")
	r.markMissing("u1", now, now)
	wantState(t, r, "u1", "leaving")
	r.expireSuspects(false, now.Add(unlistedRetention+time.Second))
	wantState(t, r, "u1", "unknown")
}

// Entries expire while the log service is down. An upstream whose entry is written
// again within relistGracePeriod of its return must stay ready all the time, and
// one whose entry is not must count as leaving after that.
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

// An upstream that was unlisted before an outage is still missing from the list read
// after it. It must not become a suspect: it would be forgotten before its grace
// period ends, and the host would crash when it tries to unlist it.
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

// A network partition separated a host from the log service, which worked all the
// time. Upstreams that left meanwhile are missing from the list read afterwards, but
// the host can't tell whether their entries expired in an outage. It must mark them as
// leaving once the planner reports that it reached the service without failure.
func TestPartitionedHostUsesPlannersLogStatus(t *testing.T) {
	log := memstore.New()
	views := view.NewPublisher()
	c := newController(zap.NewNop(), log, decoder{}, nil, views, planner.Options{Host: "h"}, testEvacuationTimeout)
	c.registry.register(&catalogue.Upstream{ID: "left", Service: "s"}, nil)
	c.onStreamResult(metastore.StreamUpstreams, metastore.ErrNoResponse)
	c.onStreamResult(metastore.StreamUpstreams, nil)
	c.applyUpstreams(nil, true)
	if u := views.Load().Upstreams.ByID["left"]; u.Leaving {
		t.Fatal("an upstream whose entry is missing right after an outage is marked as leaving")
	}
	c.onPlannerFollowed(time.Second)
	if u := views.Load().Upstreams.ByID["left"]; u.Leaving {
		t.Fatal("the upstream is marked as leaving though the planner failed to reach the log service too")
	}
	c.onPlannerFollowed(time.Minute)
	if u := views.Load().Upstreams.ByID["left"]; !u.Leaving {
		t.Fatal("the upstream is not marked as leaving though the planner reports no outage")
	}
}

// After a network partition a host can read one stream again, and the list of upstreams half a
// second later. The grace period for expired entries must start with the first stream, because
// it proves that the log service is back.
func TestRelistGracePeriodStartsAtFirstRecoveredStream(t *testing.T) {
	c := newController(zap.NewNop(), memstore.New(), decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	for _, s := range []metastore.Stream{metastore.StreamOperators, metastore.StreamUpstreams} {
		c.onStreamResult(s, metastore.ErrNoResponse)
	}
	c.onStreamResult(metastore.StreamOperators, nil)
	recoveredAt := c.logRecoveredAt
	c.logRecoveredAt = recoveredAt.Add(-500 * time.Millisecond)
	c.onStreamResult(metastore.StreamUpstreams, nil)
	now := time.Now()
	if left := c.missingGraceUntil(now).Sub(now); left > relistGracePeriod-400*time.Millisecond {
		t.Errorf("the grace period lasts %v more", left)
	}
}

// While the log service fails, only the recovery reader may retry at once. The others
// must wait until it succeeds, or for maxRecoveryWait.
func TestOnlyRecoveryReaderRetriesDuringOutage(t *testing.T) {
	log := memstore.New()
	log.SetDown(true)
	c := newController(zap.NewNop(), log, decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	ownershipReader, others := c.newStreamReaders(ctx)
	for _, reader := range append(others, ownershipReader) {
		go reader.run(ctx)
	}
	time.Sleep(1500 * time.Millisecond)
	if n := log.Calls("newest"); n > 15 {
		t.Errorf("%d calls in 1.5 s of an outage", n)
	}
}

// A host stalls for five seconds, during which the log service was down and entries
// expired. It detected no outage, but must give missing upstreams the same grace period
// as after one: their entries are written again within two seconds.
func TestStalledHostKeepsMissingUpstreams(t *testing.T) {
	c := newController(zap.NewNop(), memstore.New(), decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h"}, testEvacuationTimeout)
	clock := bootclock.Time(time.Hour)
	c.clock = func() bootclock.Time { return clock }
	c.detectStall()
	registerUpstream(c.registry, "u")
	clock = clock.Add(followerTickInterval)
	c.detectStall()
	if now := time.Now(); c.missingGraceUntil(now).After(now) {
		t.Fatal("missing upstreams get a grace period though the host neither stalled nor detected an outage")
	}
	clock = clock.Add(5 * time.Second)
	c.detectStall()
	now := time.Now()
	c.registry.markMissing("u", c.missingGraceUntil(now), now)
	wantState(t, c.registry, "u", "ready")
	if c.replica.LogReachableFor(now) > time.Second {
		t.Error("the log service counts as reachable during the stall")
	}
}

// A server restarts under its ID while hosts know its earlier incarnation. Its new
// entry must replace the earlier incarnation, and an entry that the earlier one
// wrote late must be ignored. When the server's entry is deleted, the new
// incarnation must be the one that is leaving.
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

// Another writer replaces an upstream's entry with an unreadable one, and writes
// unreadable entries under other keys. The upstream must get no new requests until
// it writes its entry again, the other upstreams must be unaffected, and only one
// line may be logged.
func TestUnreadableEntryAddsNoUpstream(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	views := view.NewPublisher()
	c := newController(zap.New(core), memstore.New(), decoder{}, nil, views, planner.Options{Host: "h"}, testEvacuationTimeout)
	entry := func(id string) metastore.Record {
		return metastore.Record{Key: id, Value: fmt.Appendf(nil, `{"ID":%q,"Service":"s"}`, id)}
	}
	unreadable := func(id string) metastore.Record { return metastore.Record{Key: id, Value: []byte("\xff")} }
	c.applyUpstreams([]metastore.Record{entry("u1"), entry("u2")}, true)
	c.applyUpstreams([]metastore.Record{unreadable("u1"), unreadable("nobody"), unreadable("")}, false)
	if ups := views.Load().Upstreams.ByID; !ups["u1"].Leaving || ups["u2"].Leaving || len(ups) != 2 {
		t.Errorf("upstreams are %+v", ups)
	}
	if n := logs.Len(); n != 1 {
		t.Errorf("%d lines logged", n)
	}
	c.applyUpstreams([]metastore.Record{entry("u1")}, false)
	if views.Load().Upstreams.ByID["u1"].Leaving {
		t.Error("the upstream is still leaving after it wrote its entry again")
	}
}
