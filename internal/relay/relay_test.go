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

const ups = metastore.StreamUpstreams

func newRecord(offset int64, key, value string) metastore.Record {
	r := metastore.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// valuesByKey returns what a copy believes, by key.
func valuesByKey(c *Replica) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for k, r := range c.streams[ups].newest {
		out[k] = string(r.Value)
	}
	return out
}

// A host follows the planner's copy while the log grows, forgets its history
// and while batches from two sources overlap, repeat and come out of order.
// Whenever it has caught up it believes what the log says.
func TestFollowerConvergesToTheLog(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 100
	p := gopter.NewProperties(params)
	p.Property("same content after catching up", prop.ForAll(func(seed uint64) (string, error) {
		rng := rand.New(rand.NewPCG(seed, 3))
		hub, follower := NewReplica(), NewReplica()
		hub.Apply(Batch{Stream: ups, Reset: true, NextOffset: 0})
		truth := map[string]string{}
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
				delete(truth, key)
				if value != "" {
					truth[key] = value
				}
				hub.Apply(Batch{Stream: ups, Records: []metastore.Record{r}, NextOffset: r.Offset + 1})
			case 3: // a piece of the log comes again, or too early
				if len(log) > 0 {
					from := rng.IntN(len(log))
					follower.Apply(Batch{Stream: ups, Records: log[from:], NextOffset: int64(len(log))})
				}
			case 4: // the planner lost the history and read the newest
				var recs []metastore.Record
				for k, v := range truth {
					recs = append(recs, newRecord(0, k, v))
				}
				hub.Apply(Batch{Stream: ups, Reset: true, Records: recs, NextOffset: int64(len(log))})
			default:
				for _, b := range hub.Fetch(context.Background(), map[metastore.Stream]int64{ups: follower.NextOffset(ups)}, time.Nanosecond) {
					follower.Apply(b)
				}
			}
		}
		for _, b := range hub.Fetch(context.Background(), map[metastore.Stream]int64{ups: follower.NextOffset(ups)}, time.Nanosecond) {
			follower.Apply(b)
		}
		if got := valuesByKey(follower); fmt.Sprint(got) != fmt.Sprint(truth) {
			return fmt.Sprintf("believes %v, the log says %v", got, truth), nil
		}
		return "", nil
	}, gen.UInt64()))
	p.TestingRun(t)
}

// A host that waits is answered as soon as something is new.
func TestFetchReturnsWhenRecordsArrive(t *testing.T) {
	c := NewReplica()
	c.Apply(Batch{Stream: ups, Reset: true, NextOffset: 5})
	go func() {
		time.Sleep(20 * time.Millisecond)
		c.Apply(Batch{Stream: ups, Records: []metastore.Record{newRecord(5, "u1", "x")}, NextOffset: 6})
	}()
	start := time.Now()
	got := c.Fetch(context.Background(), map[metastore.Stream]int64{ups: 5}, 5*time.Second)
	if len(got) != 1 || len(got[0].Records) != 1 || time.Since(start) > time.Second {
		t.Fatalf("got %+v after %v", got, time.Since(start))
	}
}

// A host that is further behind than the records kept gets the newest of
// each key.
func TestFetchBeyondRecentRecordsResets(t *testing.T) {
	c := NewReplica()
	c.Apply(Batch{Stream: ups, Reset: true, NextOffset: 0})
	for i := range int64(maxRecentRecords + 10) {
		c.Apply(Batch{Stream: ups, Records: []metastore.Record{newRecord(i, "u1", fmt.Sprint(i))}, NextOffset: i + 1})
	}
	got := c.Fetch(context.Background(), map[metastore.Stream]int64{ups: 3}, time.Nanosecond)
	if len(got) != 1 || !got[0].Reset || len(got[0].Records) != 1 {
		t.Fatalf("got %+v", got)
	}
}

// A copy that was never confirmed is as old as can be, so that nobody relies
// on it.
func TestAge(t *testing.T) {
	c := NewReplica()
	now := time.Now()
	if c.Age(now) < time.Hour {
		t.Error("an unconfirmed copy counts as young")
	}
	c.MarkCurrent(metastore.StreamDesired, now)
	if c.Age(now) < time.Hour {
		t.Error("a copy with an unconfirmed stream counts as young")
	}
	c.MarkCurrent(ups, now.Add(-time.Second))
	if got := c.Age(now); got != time.Second {
		t.Errorf("age %v, want that of the older stream", got)
	}
}

// A host that is several ownership records behind is sent the newest only.
func TestFetchSendsOnlyTheNewestOwnershipRecord(t *testing.T) {
	c, follower := NewReplica(), NewReplica()
	own := metastore.StreamOwnership
	c.Apply(Batch{Stream: own, Reset: true, NextOffset: 0})
	for i := range int64(5) {
		c.Apply(Batch{Stream: own, Records: []metastore.Record{newRecord(i, "svc", fmt.Sprint("table ", i))}, NextOffset: i + 1})
	}
	got := c.Fetch(context.Background(), map[metastore.Stream]int64{own: 1}, time.Nanosecond)
	if len(got) != 1 || len(got[0].Records) != 1 || string(got[0].Records[0].Value) != "table 4" {
		t.Fatalf("sent %+v", got)
	}
	follower.Apply(got[0])
	if follower.NextOffset(own) != 5 {
		t.Errorf("the follower is at %d, want 5", follower.NextOffset(own))
	}
}
