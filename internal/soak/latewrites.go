package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/metastore"
)

const (
	// maxLateWriteGap is the longest pause between two heartbeats without a response.
	maxLateWriteGap = 2 * time.Second
	// minLateness and maxLateness bound the time after which the log service carries one out.
	minLateness, maxLateness = time.Second, 6 * time.Second
	// entryExpiry is after how long without heartbeats the log service deletes an entry.
	entryExpiry = 3 * heartbeatInterval
	// drainTime is how long an upstream that leaves keeps serving after its report, or after the removal of
	// its entry; no request may reach it later than drainTimeout after that.
	drainTime, drainTimeout = 6 * time.Second, 2 * time.Second
)

// departure is an upstream that leaves for good from a time on.
type departure struct {
	inc  *incarnation
	from time.Time
}

// runLateWrites has heartbeats of random upstreams get no response until ctx ends; the log service
// carries them out late. Some of the upstreams leave meanwhile. It has its own random generator, so
// that the other faults of a seed do not depend on it.
func (in *injector) runLateWrites(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 15))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxLateWriteGap))))
		ep := in.env.endpoints[rng.IntN(len(in.env.endpoints))]
		late := minLateness + time.Duration(rng.Int64N(int64(maxLateness-minLateness)))
		switch rng.IntN(3) {
		case 0:
			in.runFault("late heartbeat of "+ep.proxy.Addr(), nil, lateWriteKey{ep}, late, func() { in.env.loseHeartbeat(ep, late) }, func() {})
		case 1:
			in.leaveWithLateHeartbeat(ep, late, "reports that it drains", func(inc *incarnation) { in.env.writeEntry(inc, true) })
		case 2:
			in.leaveWithLateHeartbeat(ep, late, "leaves without a report", func(inc *incarnation) {
				inc.SetDraining()
				inc.withdrawn = true
				in.env.log.Put(metastore.StreamUpstreams, inc.ID, nil)
			})
		}
	}
}

// lateWriteKey marks an endpoint as busy with a late write, which other faults of it can overlap.
type lateWriteKey struct{ *endpoint }

// leaveWithLateHeartbeat has the endpoint's incarnation leave, after a heartbeat that is carried out
// late, and starts the next one after drainTime.
func (in *injector) leaveWithLateHeartbeat(ep *endpoint, late time.Duration, how string, leave func(*incarnation)) {
	in.runFault("upstream "+ep.proxy.Addr()+" "+how+", late heartbeat", nil, ep, drainTime,
		func() {
			in.env.loseHeartbeat(ep, late)
			in.env.mu.Lock()
			inc := ep.current
			leave(inc)
			in.env.mu.Unlock()
			in.mu.Lock()
			defer in.mu.Unlock()
			in.departures = append(in.departures, departure{inc, time.Now()})
		},
		func() {
			in.env.expireEntry(in.env.kill(ep))
			in.startUpstream(ep)
		})
}

// loseHeartbeat has the endpoint's incarnation write an entry that gets no response. The log service
// carries it out after the given time.
func (env *Environment) loseHeartbeat(ep *endpoint, late time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	inc := ep.current
	data := env.nextEntry(inc)
	time.AfterFunc(late, func() {
		env.log.PutLate(metastore.StreamUpstreams, inc.ID, data)
		time.AfterFunc(entryExpiry, func() { env.expireSilentEntry(inc) })
	})
}

// expireSilentEntry deletes the incarnation's entry if it writes no more and no later one has its ID.
func (env *Environment) expireSilentEntry(inc *incarnation) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if now := inc.endpoint.current; (now == inc || now.ID != inc.ID) && (!inc.up || inc.withdrawn) {
		env.log.Put(metastore.StreamUpstreams, inc.ID, nil)
	}
}

// acknowledgement is a line of a host's log which states that an upstream is leaving or has no entry.
type acknowledgement struct {
	Event int     `json:"event"`
	Unix  float64 `json:"ts"`
	Peer  string  `json:"peer"`
}

// acknowledged returns when the host has acknowledged first after from that an upstream leaves; zero if it
// has not.
func (h *Host) acknowledged(id string, from time.Time) (first time.Time, err error) {
	f, err := os.Open(h.outputPath)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line acknowledgement
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Peer != id || (line.Event != events.UpstreamLeaving && line.Event != events.UpstreamUnlisted) {
			continue
		}
		if at := time.UnixMicro(int64(line.Unix * 1e6)); at.After(from) {
			return at, nil
		}
	}
	return time.Time{}, lines.Err()
}

// checkDepartures returns the requests that began more than drainTimeout after their host had
// acknowledged that the upstream leaves.
func (in *injector) checkDepartures(outcomes []*outcome) (bad []string) {
	byID := map[string]*outcome{}
	for _, o := range outcomes {
		byID[o.id] = o
	}
	for _, d := range in.departures {
		id := catalogue.IncarnationID(d.inc.ID, d.inc.startNumber)
		acknowledged := map[*Host]time.Time{}
		for _, h := range in.hosts {
			at, err := h.acknowledged(id, d.from)
			if err != nil {
				bad = append(bad, fmt.Sprintf("%s: log: %v", h.Name, err))
			}
			acknowledged[h] = at
		}
		for _, a := range d.inc.Arrivals(d.from, time.Now()) {
			o := byID[a.ID]
			if o == nil || acknowledged[o.host].IsZero() {
				continue
			}
			if at := acknowledged[o.host]; o.began.Sub(at) > drainTimeout && in.hostProcessFaultFree(o.host, at, a.At) {
				bad = append(bad, fmt.Sprintf("%s: DRAIN: %s reached %s through %s %v after that host had acknowledged that it leaves",
					a.At.Format(timestampFormat), a.ID, d.inc.ID, o.host.Name, a.At.Sub(at)))
			}
		}
	}
	return bad
}
