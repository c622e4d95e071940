package entryhost

import (
	"testing"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/planner"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/internal/view"
)

// Guards against a fleet that is never served after its first start: the planner appended a record
// before its first read of the ownership stream had returned, its replica dropped it, and it no longer
// read the stream, so that its followers never got an owner of any key. The log service states no era.
func TestPlannerReadsTheStreamUntilItsReplicaIsComplete(t *testing.T) {
	c := newController(zap.NewNop(), memstore.New(), decoder{}, nil, view.NewPublisher(), planner.Options{Host: "h", Candidate: true}, testEvacuationTimeout)
	now := fleetClock()
	c.clock = fleetClock
	c.planner.AcquireLeaseDone(&planner.AcquireLease{SentAt: now}, true, nil, now)
	table, err := ownership.NewTable("s").Encode()
	if err != nil {
		t.Fatal(err)
	}
	record := metastore.Record{Key: "s", Value: table}
	want := func(step string, skips bool) {
		t.Helper()
		if got := c.planner.SoleWriter(now) && c.holdsOwnershipStream(); got != skips {
			t.Errorf("%s: the planner skips reading the stream: %v, want %v", step, got, skips)
		}
	}
	want("nothing read", false)
	c.planner.AdvanceStreamEnd(metastore.Position{Offset: 1}) // its own append
	c.replica.Apply(relay.Batch{Stream: metastore.StreamOwnership, Next: metastore.Position{Offset: 1}, Records: []metastore.Record{record}})
	want("record appended before the first read", false)
	c.apply(relay.Batch{Stream: metastore.StreamOwnership, Reset: true})
	want("first read, sent before the append", false)
	c.apply(relay.Batch{Stream: metastore.StreamOwnership, Records: []metastore.Record{record}, Next: metastore.Position{Offset: 1}})
	want("record read", true)
}
