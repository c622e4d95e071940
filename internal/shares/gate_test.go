package shares

import (
	"math/rand/v2"
	"testing"
	"time"
)

// admitted counts the requests of a class that the gate admits when one arrives every
// interval for d.
func admitted(g *Gate, s Share, interval, d time.Duration, now time.Time) (n int) {
	for at := now; at.Before(now.Add(d)); at = at.Add(interval) {
		if ok, wait := g.Admit(s.Class, 0, at); ok {
			n++
		} else if wait <= 0 {
			return -1
		}
	}
	return n
}

func scarceShare(s Share, perSecond time.Duration, fraction float64) Share {
	s.Scarce, s.PerSecond, s.Valid, s.AdmittedFraction = true, perSecond, 100*time.Second, fraction
	return s
}

var (
	paymentShare  = Share{Class: payments, Work: 160 * time.Millisecond}
	browsingShare = Share{Class: browsing, Work: 930 * time.Millisecond}
)

// Over time a class must get its share, also where that is less than one request in a
// burst, and no more than its share while the others use theirs.
func TestGateAdmitsTheShare(t *testing.T) {
	g := NewGate()
	g.Update([]Share{scarceShare(browsingShare, 500*time.Millisecond, 0.5)}, epoch)
	if n := admitted(g, browsingShare, 50*time.Millisecond, 60*time.Second, epoch); n < 31 || n > 34 {
		t.Errorf("%d requests admitted in 60 s, want 32", n) // 60 * 0.5 / 0.93
	}
}

// Guards against unused shares being lost, against unevenly arriving requests refused in a class with
// room for all, and against a rationed class that uses the shares of less urgent ones.
func TestUnusedSharesGoToOtherClasses(t *testing.T) {
	g := NewGate()
	both := func(fraction float64) []Share {
		return []Share{scarceShare(paymentShare, time.Second, fraction), scarceShare(browsingShare, time.Second, 0.5)}
	}
	g.Update(both(1), epoch)
	if n := admitted(g, browsingShare, 50*time.Millisecond, 30*time.Second, epoch); n < 60 || n > 67 {
		t.Errorf("%d of 600 requests admitted, want 64 by both shares", n)
	}
	for fraction, want := range map[float64]int{1: 9, 0.5: 2} {
		g = NewGate()
		g.Update(both(fraction), epoch)
		n := 0
		for range 10 {
			if ok, _ := g.Admit(payments, 0, epoch); ok {
				n++
			}
		}
		if n != want {
			t.Errorf("admitted fraction %v: %d payments at once, want %d", fraction, n, want)
		}
		g.Update(both(0.5), epoch)
		if ok, wait := g.Admit(payments, 0, epoch); ok || wait > paymentShare.Work {
			t.Errorf("admitted fraction %v: once rationed, the next payment is admitted after %v", fraction, wait)
		}
	}
}

// Guards against refusing urgent requests of a small host because they arrive at random, and against
// both classes together not getting the shares of both.
func TestUnevenUrgentRequestsAreAdmitted(t *testing.T) {
	g, random := NewGate(), rand.New(rand.NewPCG(1, 2))
	const perSecond, minutes = 4.8, 10
	g.Update([]Share{scarceShare(paymentShare, 770*time.Millisecond, 1), scarceShare(browsingShare, 550*time.Millisecond, 0.25)}, epoch)
	next, arrived, refused, work := 0.0, 0, 0, 0.0
	for at := 0.0; at < minutes*60; at += 0.01 {
		now := epoch.Add(seconds(at))
		g.services["pay"].expiresAt = now.Add(Validity)
		for ; next < at; next += random.ExpFloat64() / perSecond {
			arrived++
			if ok, _ := g.Admit(payments, 0, now); ok {
				work += 0.16
			} else {
				refused++
			}
		}
		if ok, _ := g.Admit(browsing, 0, now); ok {
			work += 0.93
		}
	}
	t.Logf("%d of %d urgent requests were refused", refused, arrived)
	if refused > arrived/50 {
		t.Errorf("%d of %d urgent requests were refused", refused, arrived)
	}
	if rate := work / (minutes * 60); rate < 1.25 || rate > 1.35 {
		t.Errorf("work of %.2f s a second was admitted, want 1.32", rate)
	}
}

// Without a share in force the gate must admit everything: before the first one, after it
// has expired, and once the service is not scarce any more.
func TestGateWithoutShareAdmitsAll(t *testing.T) {
	g := NewGate()
	share := scarceShare(browsingShare, time.Millisecond, 0.5)
	share.Valid = Validity
	check := func(when string, at time.Time, want bool) {
		t.Helper()
		if n := admitted(g, browsingShare, time.Millisecond, 50*time.Millisecond, at); (n == 50) != want {
			t.Errorf("%s: %d of 50 requests admitted", when, n)
		}
	}
	check("before the first share", epoch, true)
	g.Update([]Share{share}, epoch)
	check("with a share", epoch, false)
	g.Update(nil, epoch.Add(Validity/2)) // from a new divider
	check("with a share of the previous divider", epoch.Add(Validity-50*time.Millisecond), false)
	check("after it has expired", epoch.Add(Validity), true)
	g.Update([]Share{share}, epoch.Add(2*Validity))
	g.Update([]Share{browsingShare}, epoch.Add(2*Validity))
	check("after the end of scarcity", epoch.Add(2*Validity), true)
	if w, ok := g.Work(browsing); !ok || w != browsingShare.Work {
		t.Errorf("work %v %v, want %v", w, ok, browsingShare.Work)
	}
}

// BenchmarkAdmit measures what a request to a scarce service costs more.
func BenchmarkAdmit(b *testing.B) {
	g := NewGate()
	g.Update([]Share{scarceShare(paymentShare, time.Second, 1), scarceShare(browsingShare, time.Second, 0.5)}, epoch)
	for i := range b.N {
		g.Admit(browsing, 0, epoch.Add(time.Duration(i%50000)*time.Millisecond))
	}
}
