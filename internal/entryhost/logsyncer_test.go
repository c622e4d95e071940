package entryhost

import (
	"testing"
	"time"
)

// maxLag is the time within which a change must be in force and a leaving upstream
// be avoided, in the strictest of the users' deployments.
const maxLag = 2 * time.Second

// The planner or relay that a host follows stops replying just when its replica
// has the greatest usable age. The host must still read what the log contains
// within maxLag.
func TestReplicaTimeoutsStayWithinMaxLag(t *testing.T) {
	for name, age := range map[string]time.Duration{
		"planner":                          maxReplicaAge + followTimeout,
		"relay":                            maxRelayedReplicaAge + relayFollowTimeout,
		"planner not found":                directReadAge + plannerRetryInterval,
		"direct read waiting for a record": defaultLongPoll,
	} {
		if age >= maxLag {
			t.Errorf("%s: a host's replica may be %v old", name, age)
		}
	}
}
