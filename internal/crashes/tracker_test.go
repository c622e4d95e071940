package crashes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/papayatide/papayatide/internal/metastore"
)

var testTime = time.UnixMilli(1_700_000_000_000)

func testFingerprint(i int) Fingerprint {
	return Request{Method: "GET", Host: "a.example", URI: fmt.Sprint("/", i), Key: -1}.Fingerprint()
}

// testFleet is a few hosts' trackers that share one stream of records.
type testFleet struct {
	t       *testing.T
	hosts   []*Tracker
	records map[string][]byte
}

func newTestFleet(t *testing.T, hosts int) *testFleet {
	f := &testFleet{t: t, records: map[string][]byte{}}
	for range hosts {
		f.hosts = append(f.hosts, NewTracker(nil))
	}
	return f
}

// writePending writes the host's pending changes, and applies them on every host.
func (f *testFleet) writePending(host int) {
	f.t.Helper()
	changes := f.hosts[host].FilterPending()
	for _, c := range changes {
		key, data, err := c.Encode(testTime)
		if err != nil {
			f.t.Fatal(err)
		}
		f.records[key] = data
		got, err := Decode(key, data, testTime)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, tracker := range f.hosts {
			tracker.Apply(got)
		}
	}
	f.hosts[host].MarkWritten(changes)
}

// readNewest replaces the tracker's crashes by the newest record of each key.
func (f *testFleet) readNewest(tracker *Tracker) {
	f.t.Helper()
	var crashes []Crash
	for key, data := range f.records {
		c, err := Decode(key, data, testTime)
		if err != nil {
			f.t.Fatal(err)
		}
		if !c.Deleted {
			crashes = append(crashes, c.Crash)
		}
	}
	tracker.Replace(crashes)
}

// One request crashes three servers, and each crash is observed by another host. Once the
// crashes are written, every host must refuse the request, also one that has just started,
// and serve other requests.
func TestCrashesSeenByDifferentHostsAddUp(t *testing.T) {
	f := newTestFleet(t, 4)
	for i := range RefusalThreshold {
		if f.hosts[3].RefusedFor(testFingerprint(1), testTime) > 0 {
			t.Fatalf("refused after %d crashes", i)
		}
		f.hosts[i].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
		f.writePending(i)
	}
	late := NewTracker(nil)
	f.readNewest(late)
	for i, tracker := range append(f.hosts, late) {
		if got := tracker.RefusedFor(testFingerprint(1), testTime.Add(time.Hour)); got != Retention-time.Hour {
			t.Errorf("host %d refuses it for %v more", i, got)
		}
		if tracker.RefusedFor(testFingerprint(2), testTime) > 0 {
			t.Errorf("host %d refuses a request without crashes", i)
		}
	}
}

// The crash of one server breaks many requests, and must count once. The host that
// observes the third crash refuses the request before anything is written.
func TestCrashOfOneServerCountsOnce(t *testing.T) {
	tracker := NewTracker(nil)
	for range 10 {
		tracker.RecordCrash(Crash{testFingerprint(1), "s1", testTime})
	}
	if n := tracker.RecordCrash(Crash{testFingerprint(1), "s2", testTime}); n != 2 || tracker.RefusedFor(testFingerprint(1), testTime) > 0 {
		t.Errorf("two servers crashed, counted as %d", n)
	}
	if tracker.RecordCrash(Crash{testFingerprint(1), "s3", testTime}); tracker.RefusedFor(testFingerprint(1), testTime) != Retention {
		t.Error("not refused by the host that observed the third crash")
	}
}

// Operators are notified by onRefused: it must be called once for each refused fingerprint,
// whether this host observed the crashes or read them.
func TestOnRefusedIsCalledOncePerFingerprint(t *testing.T) {
	calls := map[Fingerprint]int{}
	tracker := NewTracker(func(fp Fingerprint) { calls[fp]++ })
	for round := range 3 {
		for i := range RefusalThreshold + round {
			tracker.RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
			tracker.Apply(Change{Crash: Crash{testFingerprint(2), fmt.Sprint("s", i), testTime}})
		}
	}
	tracker.RecordCrash(Crash{testFingerprint(3), "s1", testTime})
	if known, refused := tracker.Counts(); known != 3 || refused != 2 {
		t.Errorf("%d fingerprints known, %d refused", known, refused)
	}
	if len(calls) != 2 || calls[testFingerprint(1)] != 1 || calls[testFingerprint(2)] != 1 {
		t.Errorf("onRefused calls: %v", calls)
	}
}

// A popular, harmless request is in flight on the servers again and again when another
// request crashes them. Another host sees it succeed in between: no host may refuse it, in
// whatever order the records arrive.
func TestFingerprintThatSucceedsIsNotRefused(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range 3 * RefusalThreshold {
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
		f.writePending(0)
		if i%2 == 1 {
			if !f.hosts[1].RecordSuccess(testFingerprint(1)) {
				t.Fatal("the other host has not read the crashes")
			}
			f.writePending(1)
		}
		for h, tracker := range f.hosts {
			if tracker.RefusedFor(testFingerprint(1), testTime) > 0 {
				t.Fatalf("host %d refuses a request that succeeds", h)
			}
		}
	}
}

// Servers crash while the log service is unavailable. The crashes that a host observed must
// count on that host at once, survive Replace, and be written later.
func TestPendingCrashesSurviveALogOutage(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range RefusalThreshold {
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	f.readNewest(f.hosts[0])
	if f.hosts[0].RefusedFor(testFingerprint(1), testTime) == 0 {
		t.Error("pending crashes are lost on Replace")
	}
	f.writePending(0)
	if f.hosts[1].RefusedFor(testFingerprint(1), testTime) == 0 || len(f.hosts[0].FilterPending()) > 0 {
		t.Errorf("not written later: %d changes left", len(f.hosts[0].FilterPending()))
	}
}

// Crashes expire after Retention. The planner's host deletes their records as well, the
// other hosts only their own state.
func TestCrashesExpire(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range RefusalThreshold {
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	f.writePending(0)
	for h, tracker := range f.hosts {
		tracker.Expire(testTime.Add(Retention-time.Second), h == 0)
		if tracker.RefusedFor(testFingerprint(1), testTime.Add(Retention-time.Second)) != time.Second || len(tracker.FilterPending()) > 0 {
			t.Errorf("host %d expires crashes early", h)
		}
		tracker.Expire(testTime.Add(Retention), h == 0)
		if tracker.HasCrashes() || tracker.RefusedFor(testFingerprint(1), testTime.Add(Retention)) > 0 {
			t.Errorf("host %d still has crashes after Retention", h)
		}
	}
	if a, b := len(f.hosts[0].FilterPending()), len(f.hosts[1].FilterPending()); a != RefusalThreshold || b != 0 {
		t.Errorf("%d and %d records to delete", a, b)
	}
	f.writePending(0)
	for key, data := range f.records {
		if data != nil {
			t.Errorf("record %s is left", key)
		}
	}
}

// BenchmarkRefused measures the check of one request while there are crashes.
func BenchmarkRefused(b *testing.B) {
	tracker := NewTracker(nil)
	for i := range 1000 {
		tracker.RecordCrash(Crash{testFingerprint(i), "s1", testTime})
	}
	req := Request{Method: "GET", Host: "a.example", URI: "/job/1234?page=2", Key: 28264}
	b.ReportAllocs()
	for b.Loop() {
		tracker.RefusedFor(req.Fingerprint(), testTime)
	}
}

// A record's time is ahead of the reading host's clock: it must be read as now.
func TestFutureCrashTimeIsReadAsNow(t *testing.T) {
	key, data, err := Change{Crash: Crash{testFingerprint(1), "s", testTime}}.Encode(testTime.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ now, want time.Time }{{testTime.Add(time.Hour), testTime}, {testTime.Add(-time.Hour), testTime.Add(-time.Hour)}} {
		if got, err := Decode(key, data, c.now); err != nil || !got.At.Equal(c.want) {
			t.Errorf("decoded at %v: crash at %v, %v", c.now, got.At, err)
		}
	}
}

// Encoded records decode to the same change. Records from other writers that are malformed
// are rejected, and so are changes whose key is too long.
func TestRecordsRoundTripOrAreRejected(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("read back", prop.ForAll(func(server string, ms int64, deleted bool) bool {
		in := Change{Crash{testFingerprint(1), "s/" + server, time.UnixMilli(ms)}, deleted}
		key, data, err := in.Encode(testTime)
		if tooLong := 2*fingerprintBytes+len("/s/")+len(server) > metastore.MaxKey; tooLong || err != nil {
			return tooLong && err != nil
		}
		out, err := Decode(key, data, testTime)
		if deleted {
			in.At = time.Time{}
		}
		return err == nil && out.Fingerprint == in.Fingerprint && out.Server == in.Server && out.Deleted == deleted && out.At.Equal(in.At)
	}, gen.AnyString(), gen.Int64Range(1, testTime.UnixMilli()), gen.Bool()))
	p.TestingRun(t)
	long := Change{Crash: Crash{testFingerprint(1), strings.Repeat("s", metastore.MaxKey), testTime}}
	if key, _, err := long.Encode(testTime); err == nil {
		t.Errorf("a key of %d bytes is accepted", len(key))
	}
	good := string(testFingerprint(1)) + "/s"
	for key, data := range map[string]string{"": "{}", "s": `{"at_ms":1}`, "abc/s": `{"at_ms":1}`, string(testFingerprint(1)) + "/": `{"at_ms":1}`,
		good: "{}", good + "1": `{"at_ms":"1"}`, good + "2": `{"at_ms":-1}`, good + "3": "\xff"} {
		if c, err := Decode(key, []byte(data), testTime); err == nil {
			t.Errorf("%q %q is decoded as %+v", key, data, c)
		}
	}
}

// Guards against a harmless request that is refused again, on live hosts, by crash records that the log service
// carries out after their deletion. A later crash of the same server must count.
func TestLateCrashRecordsAreIgnored(t *testing.T) {
	tracker, now := NewTracker(nil), time.Now()
	fp := testFingerprint(1)
	var late []Crash
	for i := range RefusalThreshold {
		c := Crash{fp, fmt.Sprint("s", i), now.Add(-2 * time.Second)}
		late = append(late, c)
		tracker.Apply(Change{Crash: c})
	}
	for _, c := range late {
		tracker.Apply(Change{Crash: Crash{Fingerprint: fp, Server: c.Server}, Deleted: true})
	}
	for _, c := range late {
		tracker.Apply(Change{Crash: c})
	}
	if tracker.IsSuspect(fp) {
		t.Error("late records count after the deletion")
	}
	tracker.Replace(late)
	if tracker.IsSuspect(fp) {
		t.Error("late records count after a reset")
	}
	tracker.Apply(Change{Crash: Crash{fp, "s0", time.Now().Add(time.Second)}})
	if !tracker.IsSuspect(fp) {
		t.Error("a crash after the deletion is ignored")
	}
}
