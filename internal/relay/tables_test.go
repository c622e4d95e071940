package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/ownership"
)

// tableHost is a host's replica of the ownership stream with its current table, as the
// control loop keeps them.
type tableHost struct {
	replica *Replica
	table   *ownership.Table
	// fullBytes counts the bytes received as full tables, deltaBytes those received as
	// deltas.
	fullBytes, deltaBytes int
}

// apply applies a batch as a host does.
func (h *tableHost) apply(t *testing.T, b Batch) {
	t.Helper()
	if len(b.Deltas) > 0 {
		h.applyDeltas(t, b)
		return
	}
	added := h.replica.Apply(b)
	if added == nil {
		return
	}
	for _, r := range added.Records {
		got, err := ownership.Decode(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		h.fullBytes += len(r.Value)
		if h.table == nil || got.MaxFencingToken > h.table.MaxFencingToken {
			h.table = got
		}
		h.replica.KeepTable(r.Offset, got)
	}
}

func (h *tableHost) applyDeltas(t *testing.T, b Batch) {
	t.Helper()
	for _, encoded := range b.Deltas {
		h.deltaBytes += len(encoded.Data)
		delta, err := ownership.DecodeDelta(encoded.Data)
		if err != nil {
			t.Fatal(err)
		}
		next, err := delta.Apply(h.table)
		if err != nil {
			h.replica.RequestFullTables()
			return
		}
		if h.replica.ApplyTables(b.Next, map[int64]*ownership.Table{encoded.Offset: next}) {
			h.table = next
		}
	}
}

// fetch makes one call of h to the host that it fetches from.
func (h *tableHost) fetch(from *tableHost) []Batch {
	offsets := map[metastore.Stream]metastore.Position{metastore.StreamOwnership: h.replica.FetchFrom(metastore.StreamOwnership)}
	return from.replica.Fetch(context.Background(), offsets, time.Nanosecond)
}

// A planner records a table several times a second; a relay fetches from it and a host from
// the relay. Replies get lost, repeat or arrive late, and hosts read single records from the
// log service in between. Once all have fetched without loss they must have the planner's
// table: with a wrong one, requests go to upstreams that don't own their keys, permanently.
func TestTablesConvergeThroughDeltas(t *testing.T) {
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 5))
		planner, relay, host := &tableHost{replica: NewReplica()}, &tableHost{replica: NewReplica()}, &tableHost{replica: NewReplica()}
		planner.replica.Apply(Batch{Stream: metastore.StreamOwnership, Reset: true})
		table := ownership.NewTable("s")
		var late []Batch
		follow := func(h, from *tableHost, loss bool) {
			for _, b := range h.fetch(from) {
				switch n := rng.IntN(10); {
				case loss && n == 0: // the reply is lost
				case loss && n == 1:
					late = append(late, b)
				case loss && n == 2:
					h.apply(t, b)
					h.apply(t, b)
				default:
					h.apply(t, b)
				}
			}
		}
		for offset := range int64(120) {
			from := rng.IntN(ownership.KeySpaceSize - 500)
			table = table.Apply([]ownership.Move{{From: from, To: from + rng.IntN(500), NewOwner: fmt.Sprint("u", rng.IntN(30))}})
			data, err := table.Encode()
			if err != nil {
				t.Fatal(err)
			}
			batch := Batch{Stream: metastore.StreamOwnership, Next: at(offset + 1),
				Records: []metastore.Record{{Key: "s", Value: data, Offset: offset}}}
			planner.table = table
			planner.replica.KeepTable(offset, table)
			planner.replica.Apply(batch)
			if rng.IntN(3) > 0 {
				follow(relay, planner, true)
			}
			if rng.IntN(3) > 0 {
				follow(host, relay, true)
			}
			if rng.IntN(20) == 0 {
				host.apply(t, batch)
			}
			if len(late) > 0 && rng.IntN(4) == 0 {
				host.apply(t, late[0])
				late = late[1:]
			}
		}
		for range 3 {
			follow(relay, planner, false)
			follow(host, relay, false)
		}
		for _, h := range []*tableHost{relay, host} {
			if h.table == nil || h.table.Digest() != table.Digest() {
				t.Fatalf("seed %d: a host does not have the planner's table", seed)
			}
		}
	}
}

// A fleet of 300 hosts has a table of 900 ranges that changes seven times a second. Sent
// as full tables of 10 KB, that would exceed the 26 KB a second that a host may use for
// control traffic; a delta takes a few hundred bytes.
func TestFollowersAreSentOnlyDeltas(t *testing.T) {
	planner, host := &tableHost{replica: NewReplica()}, &tableHost{replica: NewReplica()}
	table := ownership.NewTable("s")
	var moves []ownership.Move
	for i := range 900 {
		moves = append(moves, ownership.Move{From: i * 72, To: i*72 + 71, NewOwner: fmt.Sprintf("i-%010x", i*7919), HandoverToken: fmt.Sprintf("%016x", i*104729)})
	}
	table = table.Apply(moves)
	planner.replica.Apply(Batch{Stream: metastore.StreamOwnership, Reset: true})
	const records = 20
	first := 0
	for offset := range int64(records) {
		table = table.Apply([]ownership.Move{{From: int(offset) * 1000, To: int(offset)*1000 + 30, NewOwner: "i-00000000ff", HandoverToken: "0123456789abcdef"}})
		data, err := table.Encode()
		if err != nil {
			t.Fatal(err)
		}
		planner.replica.KeepTable(offset, table)
		planner.replica.Apply(Batch{Stream: metastore.StreamOwnership, Next: at(offset + 1), Records: []metastore.Record{{Key: "s", Value: data, Offset: offset}}})
		for _, b := range host.fetch(planner) {
			host.apply(t, b)
		}
		if offset == 0 {
			first = host.fullBytes
		}
	}
	if host.fullBytes != first {
		t.Errorf("%d bytes received as full tables after the first, want 0", host.fullBytes-first)
	}
	if per := host.deltaBytes / (records - 1); per > 700 {
		t.Errorf("the delta for a change of one range takes %d bytes, want at most 700", per)
	}
	if host.table.Digest() != table.Digest() {
		t.Error("the host does not have the planner's table")
	}
}
