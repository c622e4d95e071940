package planner

import (
	"errors"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
)

const testIdleTimeout = 10 * time.Second

// timeUntilMoved returns how long upstream a owns keys after a new process of the host has become the
// planner, if a stops responding then. The planners before it were on the hosts "me" and previous. respond
// handles the new planner's calls.
func timeUntilMoved(t *testing.T, previous, host string, respond func(h *harness, a Action) error) time.Duration {
	h := newHarness(t, "a", "b")
	h.simulate(12*time.Second, succeedAll)
	h.table = h.table.TakeOver(previous, previous+":1", 0)
	h.streamEnd.Offset++
	h.p = New(testOptions)
	h.p.opts.Host = host
	h.p.IdleTimeout = func() time.Duration { return testIdleTimeout }
	h.p.AdvanceStreamEnd(h.streamEnd)
	h.publishView()
	return h.simulateUntilMoved(func(a Action) error { return respond(h, a) })
}

// Guards against two owners when a planner's process is killed behind a partition and its grants arrive
// after the partition: the keys of owners that do not respond wait for them, whoever plans next.
func TestUnreachableOwnersKeysWaitForGrantsOfKilledPlanner(t *testing.T) {
	shortest := testIdleTimeout + testOptions.GrantTTL
	retireFrom := func(age time.Duration) func(h *harness, a Action) error {
		return func(h *harness, a Action) error {
			if r, ok := a.(*Retire); ok {
				sinceTakeover := h.now.Sub(h.p.startedBy(h.now))
				h.p.RetireDone(r, ownership.Retirement{Host: r.Host, Retired: true, ProcessAge: sinceTakeover + age}, h.now)
			}
			return upstreamAUnresponsive(a)
		}
	}
	unanswered := func(_ *harness, a Action) error { return upstreamAUnresponsive(a) }
	for _, test := range []struct {
		name, previous, host string
		respond              func(h *harness, a Action) error
		shortest, longest    time.Duration
	}{
		{"own host restarted", "me", "me", unanswered, shortest, shortest + 2*time.Second},
		{"other host restarted", "other", "new", retireFrom(100 * time.Millisecond), shortest, shortest + 2*time.Second},
		{"other host does not respond", "other", "new", unanswered, testOptions.MaxRenewalAge + shortest, testOptions.MaxRenewalAge + shortest + 2*time.Second},
		{"other host has run for long", "other", "new", retireFrom(time.Hour), testOptions.GrantTTL, testOptions.GrantTTL * 3 / 2},
	} {
		took := timeUntilMoved(t, test.previous, test.host, test.respond)
		if took < test.shortest || took > test.longest {
			t.Errorf("%s: keys moved %v after the change of planner, want %v to %v", test.name, took, test.shortest, test.longest)
		}
	}
}

// Guards against keys that wait for grants to an owner that cannot accept any, as another process has
// its address.
func TestEndedOwnersKeysDoNotWaitForGrants(t *testing.T) {
	for _, gone := range []bool{false, true} {
		took := timeUntilMoved(t, "other", "new", func(h *harness, a Action) error {
			if h.upstreams["a"] != nil && gone && h.now.Sub(h.p.startedBy(h.now)) > time.Second {
				delete(h.upstreams, "a")
				h.publishView()
			}
			if r, ok := a.(*Release); ok && r.Addr == "a" {
				return ownership.ErrRejected
			}
			return upstreamAUnresponsive(a)
		})
		if took > testOptions.GrantTTL {
			t.Errorf("gone from the view %v: keys moved %v after the change of planner, want at most one grant TTL", gone, took)
		}
	}
}

// Guards against two owners when a planner that was replaced has opened a connection to a server which
// restarted after it had acknowledged the new token, and its grant is held up.
func TestKeysWaitForGrantsOverConnectionsOpenedAfterTheAcknowledgement(t *testing.T) {
	takes := func(acceptsFor time.Duration) time.Duration {
		return timeUntilMoved(t, "other", "new", func(h *harness, a Action) error {
			if h.now.Sub(h.p.startedBy(h.now)) < acceptsFor {
				return nil
			}
			return upstreamAUnresponsive(a)
		})
	}
	if took := takes(recentRenewalAge / 2); took < testIdleTimeout+testOptions.GrantTTL {
		t.Errorf("keys moved %v after the change of planner, although a connection may have been opened since the acknowledgement", took)
	}
	if took := takes(2 * recentRenewalAge); took > 2*recentRenewalAge+2*testOptions.GrantTTL {
		t.Errorf("keys moved %v after the change of planner, although the acknowledgement came after all connections", took)
	}
}

// Guards against two owners when a helper is killed while a partition holds up the grant that it has sent
// for the planner, also if the planner is replaced then.
func TestKeysWaitForGrantsOfLostHelpers(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.p.IdleTimeout = func() time.Duration { return testIdleTimeout }
	h.simulate(12*time.Second, succeedAll)
	took := h.simulateUntilMoved(func(a Action) error {
		if g, ok := a.(*Grant); ok && g.Addr == "a" {
			return errors.Join(ownership.ErrNoResponse, ownership.ErrSenderLost)
		}
		return upstreamAUnresponsive(a)
	})
	if took < testIdleTimeout+testOptions.GrantTTL {
		t.Errorf("keys moved %v after the first grant without a reply of the helper", took)
	}
	lost := &Grant{Service: simService, Range: ownership.Range{Owner: "b"}, server: h.p.terms[simService].server("b")}
	lost.server.grantsInFlight++
	h.p.GrantDone(lost, errors.Join(ownership.ErrNoResponse, ownership.ErrSenderLost), h.now)
	if h.p.Retire(simService, h.table.Term+1, h.now).Retired {
		t.Error("the planner confirms that it has retired while a lost helper's grant may arrive")
	}
	if !h.p.Retire(simService, h.table.Term+1, h.now.Add(h.p.maxHoldUp())).Retired {
		t.Error("the planner does not confirm that it has retired although no grant can arrive any more")
	}
}
