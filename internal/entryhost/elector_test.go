package entryhost

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// electionStore is a log service's group that gives the seat to one member.
type electionStore struct {
	metastore.Store
	holder        string
	failingMember string
	joined        []string
}

func (s *electionStore) JoinElection(_ context.Context, member string, _ time.Duration, generation int64) (metastore.Lease, error) {
	s.joined = append(s.joined, member)
	if member == s.failingMember {
		return metastore.Lease{}, metastore.ErrNoAnswer
	}
	return metastore.Lease{Generation: generation + 1, Held: member == s.holder}, nil
}

// A host holds the seat under its second name. A proof of it that fails must
// count as failed: taken for the loss of the seat, it would end the term of a
// planner that still is one.
func TestFailedRenewalOfSecondMemberIsAnError(t *testing.T) {
	st := &electionStore{holder: "h/2"}
	s := newPlannerElector(st, "h")
	if held, err := s.tryAcquireOrRenew(context.Background(), time.Second); !held || err != nil {
		t.Fatalf("held %v, error %v", held, err)
	}
	st.failingMember = "h/2"
	if _, err := s.tryAcquireOrRenew(context.Background(), time.Second); !errors.Is(err, metastore.ErrNoAnswer) {
		t.Errorf("error %v", err)
	}
}

// A large fleet has members enough with one for each host.
func TestHostInLargeFleetJoinsAsOneMember(t *testing.T) {
	st := &electionStore{}
	s := newPlannerElector(st, "h")
	s.fleetSize = func() int { return singleMemberFleetSize }
	if _, err := s.tryAcquireOrRenew(context.Background(), time.Second); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(st.joined, []string{"h"}) {
		t.Errorf("joined as %v", st.joined)
	}
}
