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

// testFleet is a few hosts' ledgers over one stream of records.
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

// writePending writes what the host has pending, and lets every host read it.
func (f *testFleet) writePending(host int) {
	f.t.Helper()
	changes := f.hosts[host].Pending()
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
		for _, l := range f.hosts {
			l.Apply(got)
		}
	}
	f.hosts[host].MarkWritten(changes)
}

// readNewest lets a host read the newest record of each key.
func (f *testFleet) readNewest(l *Tracker) {
	f.t.Helper()
	var ends []Crash
	for key, data := range f.records {
		c, err := Decode(key, data, testTime)
		if err != nil {
			f.t.Fatal(err)
		}
		if !c.Deleted {
			ends = append(ends, c.Crash)
		}
	}
	l.Replace(ends)
}

// Three servers end under one request, each seen by another host. Once what
// they saw is written every host refuses it, one that has just started too, and
// other requests are served.
func TestCrashesSeenByDifferentHostsAddUp(t *testing.T) {
	f := newTestFleet(t, 4)
	for i := range Limit {
		if f.hosts[3].RefusedFor(testFingerprint(1), testTime) > 0 {
			t.Fatalf("refused after %d ends", i)
		}
		f.hosts[i].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
		f.writePending(i)
	}
	late := NewTracker(nil)
	f.readNewest(late)
	for i, l := range append(f.hosts, late) {
		if got := l.RefusedFor(testFingerprint(1), testTime.Add(time.Hour)); got != Retention-time.Hour {
			t.Errorf("host %d refuses it for %v more", i, got)
		}
		if l.RefusedFor(testFingerprint(2), testTime) > 0 {
			t.Errorf("host %d refuses a request that has ended nothing", i)
		}
	}
}

// Many hosts' requests break off as one server ends; that is one end. The host
// that sees the third end refuses before anybody has written anything.
func TestCrashOfOneServerCountsOnce(t *testing.T) {
	l := NewTracker(nil)
	for range 10 {
		l.RecordCrash(Crash{testFingerprint(1), "s1", testTime})
	}
	if n := l.RecordCrash(Crash{testFingerprint(1), "s2", testTime}); n != 2 || l.RefusedFor(testFingerprint(1), testTime) > 0 {
		t.Errorf("two servers ended, counted as %d", n)
	}
	if l.RecordCrash(Crash{testFingerprint(1), "s3", testTime}); l.RefusedFor(testFingerprint(1), testTime) != Retention {
		t.Error("not refused by the host that saw the third end")
	}
}

// On-call is told once of each request that is refused, whoever saw its ends.
func TestOnRefusedIsCalledOncePerFingerprint(t *testing.T) {
	told := map[Fingerprint]int{}
	l := NewTracker(func(c Fingerprint) { told[c]++ })
	for round := range 3 {
		for i := range Limit + round {
			l.RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
			l.Apply(Change{Crash: Crash{testFingerprint(2), fmt.Sprint("s", i), testTime}})
		}
	}
	l.RecordCrash(Crash{testFingerprint(3), "s1", testTime})
	if known, refused := l.Counts(); known != 3 || refused != 2 {
		t.Errorf("%d contents known, %d refused", known, refused)
	}
	if len(told) != 2 || told[testFingerprint(1)] != 1 || told[testFingerprint(2)] != 1 {
		t.Errorf("told %v", told)
	}
}

// A page that many read is at the owner of the keys of a request that ends its
// servers, time after time. It is answered in between, by another host, and
// never refused, whatever order the hosts' records come in.
func TestFingerprintThatSucceedsIsNotRefused(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range 3 * Limit {
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
		f.writePending(0)
		if i%2 == 1 {
			if !f.hosts[1].RecordSuccess(testFingerprint(1)) {
				t.Fatal("the other host does not know of the ends")
			}
			f.writePending(1)
		}
		for h, l := range f.hosts {
			if l.RefusedFor(testFingerprint(1), testTime) > 0 {
				t.Fatalf("host %d refuses a page that is answered", h)
			}
		}
	}
}

// The log service is away while servers end. What this host saw counts here at
// once, outlives a reading of the newest records, and is written later.
func TestPendingCrashesSurviveALogOutage(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range Limit {
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	f.readNewest(f.hosts[0])
	if f.hosts[0].RefusedFor(testFingerprint(1), testTime) == 0 {
		t.Error("what was not written yet is forgotten with the newest records")
	}
	f.writePending(0)
	if f.hosts[1].RefusedFor(testFingerprint(1), testTime) == 0 || len(f.hosts[0].Pending()) > 0 {
		t.Errorf("not written later: %d changes left", len(f.hosts[0].Pending()))
	}
}

// A day later the content is tried again; the planner's host has the records
// deleted, the others only forget.
func TestCrashesExpire(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range Limit {
		f.hosts[0].RecordCrash(Crash{testFingerprint(1), fmt.Sprint("s", i), testTime})
	}
	f.writePending(0)
	for h, l := range f.hosts {
		l.Expire(testTime.Add(Retention-time.Second), h == 0)
		if l.RefusedFor(testFingerprint(1), testTime.Add(Retention-time.Second)) != time.Second || len(l.Pending()) > 0 {
			t.Errorf("host %d forgets early", h)
		}
		l.Expire(testTime.Add(Retention), h == 0)
		if l.HasCrashes() || l.RefusedFor(testFingerprint(1), testTime.Add(Retention)) > 0 {
			t.Errorf("host %d still knows of it a day later", h)
		}
	}
	if a, b := len(f.hosts[0].Pending()), len(f.hosts[1].Pending()); a != Limit || b != 0 {
		t.Errorf("%d and %d records are to be deleted", a, b)
	}
	f.writePending(0)
	for key, data := range f.records {
		if data != nil {
			t.Errorf("record %s is left", key)
		}
	}
}

// What a look at a request costs while any end is known: 0.7 us and 288 bytes,
// on one of five cores.
func BenchmarkRefused(b *testing.B) {
	l := NewTracker(nil)
	for i := range 1000 {
		l.RecordCrash(Crash{testFingerprint(i), "s1", testTime})
	}
	ask := Request{Method: "GET", Host: "a.example", URI: "/job/1234?page=2", Key: 28264}
	b.ReportAllocs()
	for b.Loop() {
		l.RefusedFor(ask.Fingerprint(), testTime)
	}
}

// A host whose clock is behind the writer's takes an end to be seen just now.
func TestFutureCrashTimeIsReadAsNow(t *testing.T) {
	key, data, err := Change{Crash: Crash{testFingerprint(1), "s", testTime}}.Encode(testTime.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ now, want time.Time }{{testTime.Add(time.Hour), testTime}, {testTime.Add(-time.Hour), testTime.Add(-time.Hour)}} {
		if got, err := Decode(key, data, c.now); err != nil || !got.At.Equal(c.want) {
			t.Errorf("read at %v: seen at %v, %v", c.now, got.At, err)
		}
	}
}

// A record that another writer left, or that cannot be read, is refused; one
// that was written is read back as it was.
func TestRecordsRoundTripOrAreRejected(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("read back", prop.ForAll(func(server string, ms int64, forget bool) bool {
		in := Change{Crash{testFingerprint(1), "s/" + server, time.UnixMilli(ms)}, forget}
		key, data, err := in.Encode(testTime)
		if tooLong := 2*fingerprintBytes+len("/s/")+len(server) > metastore.MaxKey; tooLong || err != nil {
			return tooLong && err != nil
		}
		out, err := Decode(key, data, testTime)
		if forget {
			in.At = time.Time{}
		}
		return err == nil && out.Fingerprint == in.Fingerprint && out.Server == in.Server && out.Deleted == forget && out.At.Equal(in.At)
	}, gen.AnyString(), gen.Int64Range(1, testTime.UnixMilli()), gen.Bool()))
	p.TestingRun(t)
	long := Change{Crash: Crash{testFingerprint(1), strings.Repeat("s", metastore.MaxKey), testTime}}
	if key, _, err := long.Encode(testTime); err == nil {
		t.Errorf("a key of %d bytes is written", len(key))
	}
	good := string(testFingerprint(1)) + "/s"
	for key, data := range map[string]string{"": "{}", "s": `{"at_ms":1}`, "abc/s": `{"at_ms":1}`, string(testFingerprint(1)) + "/": `{"at_ms":1}`,
		good: "{}", good + "1": `{"at_ms":"1"}`, good + "2": `{"at_ms":-1}`, good + "3": "\xff"} {
		if c, err := Decode(key, []byte(data), testTime); err == nil {
			t.Errorf("%q %q is taken for %+v", key, data, c)
		}
	}
}
