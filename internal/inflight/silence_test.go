package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/balance"
	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/feedback"
)

// simulateSilence lets hosts send 14 requests a second of 240 ms to one upstream, the owner of their
// keys, which responds to nobody for 10 s; if cutOff is set, only the first host gets no responses. It
// returns how many are sent in that time, and how often a host takes it for silent by a notice.
func simulateSilence(hosts int, notices, cutOff bool) (sent, noticed int) {
	const tick, follow, silenceStart, silenceEnd = 10 * time.Millisecond, 300 * time.Millisecond, time.Minute, 70 * time.Second
	rng, start := rand.New(rand.NewPCG(1, uint64(hosts))), time.Unix(1000, 0)
	snapshot := catalogue.NewSnapshot(map[string]*catalogue.Upstream{"u": {ID: "u", Service: "s", Slots: 6}})
	agg := New(func() *catalogue.Snapshot { return snapshot }, start)
	class, pickers := desired.Class{Service: "s", Priority: 1, Objective: 800 * time.Millisecond}, make([]*balance.Picker, hosts)
	for i := range pickers {
		pickers[i] = balance.NewPicker(fmt.Sprint(i))
		pickers[i].SetClassWork(class, 240*time.Millisecond)
		pickers[i].OnSilenceNotice = func(string, time.Duration) { noticed++ }
	}
	ends := map[time.Time][]func(now time.Time){}
	for t := time.Duration(0); t < silenceEnd; t += tick {
		now := start.Add(t)
		for _, end := range ends[now] {
			end(now)
		}
		for i, p := range pickers {
			if (t+follow*time.Duration(i)/time.Duration(hosts)).Truncate(tick)%follow != 0 {
				continue
			}
			if notices {
				p.SetSilenceNotices(agg.SilenceNotices(now), now) // the reply to the last call
			}
			agg.Record(fmt.Sprint(i), p.FlushLoadStats(), now)
			agg.PeerLoads(fmt.Sprint(i), nil, now)
		}
		i := rng.IntN(hosts)
		p := pickers[i]
		if rng.Float64() > 14*tick.Seconds() || p.IsEjected("u", now) || p.Silent("u", now) || p.NoticedSilence("u", now) > 0 {
			continue
		}
		outcome, took := balance.Served, time.Duration(15+rng.IntN(18))*tick
		if t >= silenceStart && t < silenceEnd {
			sent++
			if !cutOff || i == 0 {
				outcome, took = balance.Failed, 1200*time.Millisecond
			}
		}
		sending := p.StartSend(snapshot.ByID["u"], class, now)
		ends[now.Add(took)] = append(ends[now.Add(took)], func(now time.Time) {
			p.Done("u", outcome, took, now)
			p.FinishSend(sending, outcome, took, feedback.Load{}, now)
		})
	}
	return sent, noticed
}

// Guards against every host of a fleet losing requests at a silent upstream until it has noticed by
// itself, and against a host that is cut off from an upstream depriving the others of it.
func TestSilenceNoticesSpareRequests(t *testing.T) {
	// Three hosts notice by themselves: each has two requests there at the same time.
	for _, c := range []struct{ hosts, percent int }{{3, 100}, {63, 75}, {300, 75}} {
		without, _ := simulateSilence(c.hosts, false, false)
		with, _ := simulateSilence(c.hosts, true, false)
		_, noticed := simulateSilence(c.hosts, true, true)
		if t.Logf("%d hosts: %d requests without notices, %d with", c.hosts, without, with); with > without*c.percent/100 || noticed > 0 {
			t.Errorf("%d hosts: %d requests without notices, %d with; %d notices if one host is cut off", c.hosts, without, with, noticed)
		}
	}
}

// Guards against notices where one host alone waits, the upstream has responded to another, reports
// its load or is of a service without competing classes, or where statistics are old, and against
// notices that outlast their term or the next response.
func TestSilenceNeedsRequestsOfSeveralHosts(t *testing.T) {
	waiting := balance.LoadStats{InFlight: 1}
	for _, c := range []struct {
		name     string
		second   balance.LoadStats // of the second host
		interval int               // records of the first host for one of the second
		expected time.Duration
		want     bool
	}{{"silent", waiting, 1, time.Second, true}, {"one host", balance.LoadStats{}, 1, time.Second, false},
		{"response", balance.LoadStats{InFlight: 1, Responses: 1}, 1, time.Second, false}, {"load report", balance.LoadStats{InFlight: 1, HasReport: true}, 1, time.Second, false},
		{"stalled host", waiting, 4, time.Second, false}, {"unknown work", waiting, 1, 0, false}} {
		s, now := silences{upstreams: map[string]*upstreamSilence{}}, time.Unix(1000, 0)
		record := func(host string, l balance.LoadStats) {
			if l.ID == "" {
				l.ID, l.WorkInFlight = "u", time.Second
			}
			s.record(host, []balance.LoadStats{l}, []balance.LoadStats{l}, func(string) time.Duration { return c.expected }, now)
		}
		began, active := 0, 0
		for i := range 29 { // 8.7 s: one notice, as the next one begins after 9 s
			record("other service", balance.LoadStats{ID: "v", InFlight: 9})
			if record("a", waiting); i%c.interval == 0 {
				record("b", c.second)
			}
			if s.notices(now) != nil {
				active++
			} else if active == 0 {
				began = i
			}
			now = now.Add(300 * time.Millisecond)
		}
		if c.want && (began < 11 || began > 12 || active < 13 || active > 14) || !c.want && active > 0 || len(s.upstreams) != 1 {
			t.Errorf("%s: no notice up to record %d, then for %d records; %d upstreams observed", c.name, began, active, len(s.upstreams))
		}
		s.upstreams["u"].noticeUntil, s.until = now.Add(time.Second), now.Add(time.Second)
		if record("c", balance.LoadStats{Responses: 1}); s.notices(now) != nil {
			t.Errorf("%s: notice after a response", c.name)
		}
	}
}
