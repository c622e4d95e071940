package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/papayatide/papayatide/internal/metastore"
)

const upstreams = metastore.StreamUpstreams

// newRecord returns a record; an empty value means that its key is deleted.
// at returns the position at an offset in the only era of most tests.
func at(offset int64) metastore.Position { return metastore.Position{Offset: offset} }

func newRecord(offset int64, key, value string) metastore.Record {
	r := metastore.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// valuesByKey returns the replica's values of the upstreams stream by key.
func valuesByKey(replica *Replica) map[string]string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	out := map[string]string{}
	for k, r := range replica.streams[upstreams].newest {
		out[k] = string(r.Value)
	}
	return out
}

// A follower fetches from the planner's replica while the log grows, while the planner
// resets its replica, and while batches of two sources overlap, repeat and arrive out
// of order. Once it has caught up its replica must equal the log.
func TestFollowerConvergesToTheLog(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 100
	p := gopter.NewProperties(params)
	p.Property("same content after catching up", prop.ForAll(func(seed uint64) (string, error) {
		rng := rand.New(rand.NewPCG(seed, 3))
		planner, follower := NewReplica(), NewReplica()
		planner.Apply(Batch{Stream: upstreams, Reset: true, Next: at(0)})
		want := map[string]string{}
		var log []metastore.Record
		for range 200 {
			switch rng.IntN(6) {
			case 0, 1, 2:
				key := fmt.Sprint("u", rng.IntN(8))
				value := ""
				if rng.IntN(3) > 0 {
					value = fmt.Sprint(rng.IntN(1000))
				}
				r := newRecord(int64(len(log)), key, value)
				log = append(log, r)
				delete(want, key)
				if value != "" {
					want[key] = value
				}
				planner.Apply(Batch{Stream: upstreams, Records: []metastore.Record{r}, Next: at(r.Offset + 1)})
			case 3: // records of the log arrive again, or too early
				if len(log) > 0 {
					from := rng.IntN(len(log))
					follower.Apply(Batch{Stream: upstreams, Records: log[from:], Next: at(int64(len(log)))})
				}
			case 4: // the planner read the newest records only
				var recs []metastore.Record
				for k, v := range want {
					recs = append(recs, newRecord(0, k, v))
				}
				planner.Apply(Batch{Stream: upstreams, Reset: true, Records: recs, Next: at(int64(len(log)))})
			default:
				for _, b := range planner.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: follower.Next(upstreams)}, time.Nanosecond) {
					follower.Apply(b)
				}
			}
		}
		for _, b := range planner.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: follower.Next(upstreams)}, time.Nanosecond) {
			follower.Apply(b)
		}
		if got := valuesByKey(follower); fmt.Sprint(got) != fmt.Sprint(want) {
			return fmt.Sprintf("the follower has %v, the log %v", got, want), nil
		}
		return "", nil
	}, gen.UInt64()))
	p.TestingRun(t)
}

// A call of Fetch that waits must return as soon as a record arrives, not when its
// time is up.
func TestFetchReturnsWhenRecordsArrive(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Batch{Stream: upstreams, Reset: true, Next: at(5)})
	go func() {
		time.Sleep(20 * time.Millisecond)
		replica.Apply(Batch{Stream: upstreams, Records: []metastore.Record{newRecord(5, "u1", "x")}, Next: at(6)})
	}()
	start := time.Now()
	got := replica.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: at(5)}, 5*time.Second)
	if len(got) != 1 || len(got[0].Records) != 1 || time.Since(start) > time.Second {
		t.Fatalf("fetched %+v after %v, want one record within 1s", got, time.Since(start))
	}
}

// A follower whose next record is older than all records kept gets the newest record of
// each key.
func TestFetchBeforeRecentRecordsResets(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Batch{Stream: upstreams, Reset: true, Next: at(0)})
	for i := range int64(maxRecentRecords + 10) {
		replica.Apply(Batch{Stream: upstreams, Records: []metastore.Record{newRecord(i, fmt.Sprint("u", i), "x")}, Next: at(i + 1)})
	}
	got := replica.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: at(3)}, time.Nanosecond)
	if len(got) != 1 || !got[0].Reset || len(got[0].Records) != maxRecentRecords+10 {
		t.Fatalf("fetched %+v, want a reset with all %d keys", got, maxRecentRecords+10)
	}
}

// A replica of which a stream was never marked current must count as very old, or hosts
// would rely on it.
func TestAge(t *testing.T) {
	replica := NewReplica()
	now := time.Now()
	for _, s := range Streams {
		replica.Apply(Batch{Stream: s, Reset: true, Next: at(3)})
	}
	if replica.Age(now) < time.Hour {
		t.Error("a replica that was never marked current counts as current")
	}
	replica.MarkCurrent(metastore.StreamOperators, at(3), now)
	if replica.Age(now) < time.Hour {
		t.Error("a replica with a stream that was never marked current counts as current")
	}
	replica.MarkCurrent(upstreams, at(3), now.Add(-time.Second))
	if got := replica.Age(now); got != time.Second {
		t.Errorf("age %v, want that of the older stream, 1s", got)
	}
}

// A follower that is several ownership records behind gets only the newest one: each
// holds a full table.
func TestFetchSendsOnlyTheNewestOwnershipRecord(t *testing.T) {
	replica, follower := NewReplica(), NewReplica()
	own := metastore.StreamOwnership
	replica.Apply(Batch{Stream: own, Reset: true, Next: at(0)})
	for i := range int64(5) {
		replica.Apply(Batch{Stream: own, Records: []metastore.Record{newRecord(i, "svc", fmt.Sprint("table ", i))}, Next: at(i + 1)})
	}
	got := replica.Fetch(context.Background(), map[metastore.Stream]metastore.Position{own: at(1)}, time.Nanosecond)
	if len(got) != 1 || len(got[0].Records) != 1 || string(got[0].Records[0].Value) != "table 4" {
		t.Fatalf("fetched %+v, want the newest record only", got)
	}
	follower.Apply(got[0])
	if follower.Next(own).Offset != 5 {
		t.Errorf("next offset of the follower %d, want 5", follower.Next(own).Offset)
	}
}

// Guards against a host that counts as current although a batch was dropped: it neither reads
// the log itself nor asks for the missing records again.
func TestReplicaWithoutTheLastRecordsIsNotCurrent(t *testing.T) {
	replica, now := NewReplica(), time.Now()
	for _, s := range Streams {
		if replica.MarkCurrent(s, at(0), now) {
			t.Errorf("%s: current before it was read", s)
		}
		replica.Apply(Batch{Stream: s, Reset: true, Next: at(3)})
		replica.MarkCurrent(s, at(3), now.Add(-time.Minute))
		replica.Apply(Batch{Stream: s, Records: []metastore.Record{newRecord(4, "a", "x")}, Next: at(5)}) // record 3 is missing
		if replica.MarkCurrent(s, at(5), now) {
			t.Errorf("%s: current up to record 5, but read only up to %d", s, replica.Next(s).Offset)
		}
	}
	if got := replica.Age(now); got != time.Minute {
		t.Errorf("age %v, want %v", got, time.Minute)
	}
}

// Guards against a replica that keeps every version of a desired state of a megabyte, and sends
// all that a follower has missed.
func TestOnlyTheNewestRecordOfAKeyIsKeptAndSent(t *testing.T) {
	replica, follower := NewReplica(), NewReplica()
	replica.Apply(Batch{Stream: upstreams, Reset: true})
	for i := range int64(20) {
		value := make([]byte, minBaseBytes)
		value[0] = byte(i)
		replica.Apply(Batch{Stream: upstreams, Records: []metastore.Record{{Key: "large", Value: value, Offset: i}}, Next: at(i + 1)})
		if i == 3 || i == 18 || i == 19 {
			next := follower.Next(upstreams)
			got := replica.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: next}, time.Nanosecond)
			if len(got) != 1 || len(got[0].Records) != 1 || got[0].Records[0].Offset != i {
				t.Fatalf("fetched %d batches, want one with the record at offset %d only", len(got), i)
			}
			if base, ok := got[0].Bases["large"]; ok != (i == 19) || (ok && base.Offset != 18) {
				t.Errorf("record %d relative to that at %d (%v), want a base only for the one after the follower's newest", i, base.Offset, ok)
			}
			follower.Apply(got[0])
		}
	}
	if got := follower.Next(upstreams).Offset; got != 20 {
		t.Errorf("the follower was read up to %d, want 20", got)
	}
	if n := len(replica.streams[upstreams].recent); n != 1 {
		t.Errorf("%d records are kept for one key", n)
	}
}

// Guards against a replica, or a follower of one, that keeps the records of a lost history because
// the new one ends at a lower offset, or mixes both.
func TestResetOfALaterEraReplacesALongerHistory(t *testing.T) {
	host, follower := NewReplica(), NewReplica()
	host.Apply(Batch{Stream: upstreams, Reset: true, Next: metastore.Position{Era: 4, Offset: 9}, Records: []metastore.Record{newRecord(8, "u1", "old")}})
	follow := func() {
		for _, b := range host.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: follower.FetchFrom(upstreams)}, time.Nanosecond) {
			follower.Apply(b)
		}
	}
	follow()
	start := metastore.Position{Era: 5, Offset: 2}
	if added := host.Apply(Batch{Stream: upstreams, Reset: true, Next: start, Records: []metastore.Record{newRecord(1, "u2", "copy")}}); added == nil || !added.NewEra {
		t.Fatalf("the reset was applied as %+v, want one of a new era", added)
	}
	for i := start.Offset; i < 12; i++ {
		next := metastore.Position{Era: 5, Offset: i + 1}
		host.Apply(Batch{Stream: upstreams, Next: next, Records: []metastore.Record{newRecord(i, "u3", fmt.Sprint(i))}})
		if i == 8 { // the new history is as long as the old one was
			follow()
		}
		old := metastore.Position{Era: 4, Offset: i + 1}
		if follower.Apply(Batch{Stream: upstreams, Next: old, Records: []metastore.Record{newRecord(i, "u1", "late")}}) != nil && i >= 8 {
			t.Error("a record of the lost history was applied to the new one")
		}
		if follower.MarkCurrent(upstreams, next, time.Now()) && follower.Next(upstreams).Before(next) {
			t.Error("the follower counts as current without the records of the new history")
		}
	}
	follow()
	if got, want := fmt.Sprint(valuesByKey(follower)), fmt.Sprint(valuesByKey(host)); got != want || follower.Next(upstreams) != host.Next(upstreams) {
		t.Errorf("the follower has %s up to %+v, want %s", got, follower.Next(upstreams), want)
	}
}

// Guards against a follower that gets only a late write of an upstream's entry, and not the newer one that the
// log has before it.
func TestFollowerGetsUpstreamRecordsInOrder(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Batch{Stream: upstreams, Reset: true, Records: []metastore.Record{newRecord(0, "u1", "ready 1")}, Next: at(1)})
	replica.Apply(Batch{Stream: upstreams, Records: []metastore.Record{newRecord(1, "u1", "draining 6")}, Next: at(2)})
	replica.Apply(Batch{Stream: upstreams, Records: []metastore.Record{newRecord(2, "u1", "ready 2")}, Next: at(3)})
	got := replica.Fetch(context.Background(), map[metastore.Stream]metastore.Position{upstreams: at(1)}, time.Nanosecond)
	if len(got) != 1 || len(got[0].Records) != 2 || string(got[0].Records[0].Value) != "draining 6" || string(got[0].Records[1].Value) != "ready 2" {
		t.Errorf("fetched %+v", got)
	}
}
