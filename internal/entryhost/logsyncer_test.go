package entryhost

import (
	"testing"
	"time"
)

// inForce is within what time a change must be in force and a leaving upstream
// be left alone, by the tightest of the users' deployments.
const maxLag = 2 * time.Second

// A host follows a copy of the greatest age allowed, and its planner or relay
// then goes silent. It must still know in time what the log says.
func TestReplicaTimeoutsStayWithinMaxLag(t *testing.T) {
	for name, age := range map[string]time.Duration{
		"planner":             maxReplicaAge + followTimeout,
		"relay":               maxRelayedReplicaAge + relayFollowTimeout,
		"planner not found":   directReadAge + plannerRetryInterval,
		"log read by the way": directLongPoll,
	} {
		if age >= maxLag {
			t.Errorf("%s: what a host knows may be %v old", name, age)
		}
	}
}
