package entryhost

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// electionStore is a log service whose group gives the planner lease to holder.
// Calls for failingMember fail.
type electionStore struct {
	metastore.Store
	holder        string
	failingMember string
	joined, left  []string
}

func (s *electionStore) JoinElection(_ context.Context, member string, _ time.Duration, generation int64) (metastore.JoinResult, error) {
	s.joined = append(s.joined, member)
	if member == s.failingMember {
		return metastore.JoinResult{}, metastore.ErrNoResponse
	}
	return metastore.JoinResult{Generation: generation + 1, Held: member == s.holder}, nil
}

func (s *electionStore) LeaveElection(_ context.Context, member string) error {
	s.left = append(s.left, member)
	return nil
}

// A host holds the planner lease as its second member, and a renewal fails. This
// must be reported as an error: if it counted as the loss of the lease, it would end the
// term of a planner that still holds it.
func TestFailedRenewalOfSecondMemberIsAnError(t *testing.T) {
	store := &electionStore{holder: "h/2"}
	elector := newPlannerElector(store, "h")
	if _, err := elector.tryAcquireOrRenew(context.Background(), time.Second); err != nil {
		t.Fatal(err)
	}
	if result, err := elector.tryAcquireOrRenew(context.Background(), time.Second); !result.held || err != nil {
		t.Fatalf("result %+v, error %v", result, err)
	}
	store.failingMember = "h/2"
	if _, err := elector.tryAcquireOrRenew(context.Background(), time.Second); !errors.Is(err, metastore.ErrNoResponse) {
		t.Errorf("error %v", err)
	}
}

// In a large fleet one member per host suffices.
func TestHostInLargeFleetJoinsAsOneMember(t *testing.T) {
	store := &electionStore{}
	elector := newPlannerElector(store, "h")
	elector.fleetSize = func() int { return singleMemberFleetSize }
	if _, err := elector.tryAcquireOrRenew(context.Background(), time.Second); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(store.joined, []string{"h"}) {
		t.Errorf("joined as %v", store.joined)
	}
}

// A host that restarts in a large fleet does not know the fleet's size yet. If it joined as two
// members and then renewed only one, the group could assign the lease to the other one, and the
// fleet would have no planner until that membership lapsed, after 2.4 s.
func TestStartingHostLeavesNoUnusedMember(t *testing.T) {
	for _, tt := range []struct {
		name         string
		sizes        []int
		joined, left []string
	}{
		{"size known by the second request", []int{1, singleMemberFleetSize}, []string{"h", "h"}, nil},
		{"size known by the third request", []int{1, 1, singleMemberFleetSize, singleMemberFleetSize}, []string{"h", "h", "h/2", "h", "h"}, []string{"h/2"}},
		{"small fleet", []int{1, 6}, []string{"h", "h", "h/2"}, nil},
	} {
		store := &electionStore{}
		elector := newPlannerElector(store, "h")
		for _, size := range tt.sizes {
			elector.fleetSize = func() int { return size }
			if _, err := elector.tryAcquireOrRenew(context.Background(), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(store.joined, tt.joined) || !slices.Equal(store.left, tt.left) {
			t.Errorf("%s: joined as %v, left as %v; want %v and %v", tt.name, store.joined, store.left, tt.joined, tt.left)
		}
	}
}
