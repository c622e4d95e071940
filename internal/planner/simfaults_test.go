package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
)

// faults holds the probability of each fault, per call or per second.
type faults struct {
	responseLost       float64 // per call: executed, response lost
	grantLate          float64 // per grant: executed 2 to 12 s later, no response
	responseOutage     float64 // per second: most of an upstream's responses are lost for a while
	upstreamPartition  float64 // per second: a host cannot reach an upstream for a while
	appendResponseLost float64 // per append: record written, response lost
	appendLate         float64 // per append: record written 1 to 6 s later if the stream still ends at the expected offset
	logOutage          float64 // per second: for a while the log service rejects a host's lease requests and appends, and its view gets no updates
	leaseChange        float64 // per second: the planner lease goes to a random host
	stall              float64 // per second: a host stalls for a while
	crash              float64 // per second: an upstream crashes for good; a new one registers
	restart            float64 // per second: an upstream restarts under its ID
	leave              float64 // per second: an upstream starts to leave; a new one registers
	hostRestart        float64 // per second: a host restarts
	logReturn          float64 // per second: the log returns from a copy of the last seconds
	cutOff             float64 // per second: a host loses its paths to all upstreams for a while
	killAll            float64 // per log return: all hosts restart within a second of it
	killBehindCut      float64 // per second: upstreams are cut off from all hosts for a while, and right after it the planner's host restarts
}

// busyRegionSize is the number of adjacent keys that have all the load.
const busyRegionSize = 1024

// injectFaults injects random faults for one step, and occasionally changes the load.
func (s *simulation) injectFaults() {
	f := s.faults
	if s.faultOccurs(f.leaseChange, simStep) {
		s.leaseHolder = s.hosts[s.rng.IntN(len(s.hosts))].name

		s.leaseUntil = s.now.Add(s.opts.LeaseTTL)
	}
	if f.logReturn > 0 {
		s.injectLogReturn()
	}
	for _, h := range s.hosts {
		if s.faultOccurs(f.stall, simStep) {
			h.stalledUntil = s.now.Add(s.randomDuration(time.Second, 8*time.Second))
		}
		if s.faultOccurs(f.logOutage, simStep) {
			h.logOutageUntil = s.now.Add(s.randomDuration(time.Second, 9*time.Second))
		}
		if s.faultOccurs(f.hostRestart, simStep) {
			s.restartHost(h)
		}
		for _, u := range s.upstreams {
			if s.faultOccurs(f.upstreamPartition, simStep) {
				h.unreachableUntil[u.id] = s.now.Add(s.randomDuration(time.Second, 9*time.Second))
			}
		}
	}
	if f.cutOff > 0 {
		s.injectCutOffs()
	}
	if f.killBehindCut > 0 {
		s.injectKillsBehindCuts()
	}
	s.injectUpstreamFaults()
	if !s.steadyLoad && s.rng.IntN(100) == 0 {
		clear(s.loadByKey)
		regionStart := s.rng.IntN(ownership.KeySpaceSize - busyRegionSize)
		for range 40 {
			s.loadByKey[regionStart+s.rng.IntN(busyRegionSize)] = s.rng.Float64() * 10
		}
	}
}

const (
	// copyInterval is how often a copy of the log is made, maxCopyAge the greatest age of one from
	// which it returns.
	copyInterval = 500 * time.Millisecond
	maxCopyAge   = 6 * time.Second
)

// injectLogReturn makes copies of the log, and at random lets it return from one.
func (s *simulation) injectLogReturn() {
	if n := len(s.copies); n == 0 || s.now.Sub(s.copies[n-1].at) >= copyInterval {
		s.copies = append(s.copies, simCopy{s.now, slices.Clone(s.log), s.leaseHolder})
	}
	s.copies = slices.DeleteFunc(s.copies, func(c simCopy) bool { return s.now.Sub(c.at) > maxCopyAge })
	if len(s.log) == 0 || !s.faultOccurs(s.faults.logReturn, simStep) {
		return
	}
	c := s.copies[s.rng.IntN(len(s.copies))]
	if len(c.log) == 0 {
		return
	}
	s.log, s.leaseHolder, s.leaseUntil = slices.Clone(c.log), c.leaseHolder, s.now.Add(s.opts.LeaseTTL)
	s.era++
	if s.rng.Float64() < s.faults.killAll {
		for _, h := range s.hosts {
			s.after(s.randomDuration(0, time.Second), func() { s.restartHost(h) })
		}
	}
}

// injectUpstreamFaults injects random faults of the upstreams themselves for one step.
func (s *simulation) injectUpstreamFaults() {
	for _, u := range slices.Clone(s.upstreams) {
		if !u.up || !u.listed || u.leaving {
			continue
		}
		if s.faultOccurs(s.faults.responseOutage, simStep) {
			u.responsesLostUntil = s.now.Add(s.randomDuration(1500*time.Millisecond, 4*time.Second))
		}
		next := fmt.Sprintf("u%d", len(s.upstreams))
		switch {
		case s.faultOccurs(s.faults.crash, simStep):
			u.up, u.grants = false, nil
			s.after(s.randomDuration(500*time.Millisecond, 3*time.Second), func() { u.listed = false })
			s.addUpstream(next)
		case s.faultOccurs(s.faults.restart, simStep):
			u.up, u.grants, u.tokensSeen = false, nil, nil
			s.after(s.randomDuration(0, 2*time.Second), func() { u.up, u.incarnation = true, u.incarnation+1 })
		case s.faultOccurs(s.faults.leave, simStep):
			u.leaving = true
			s.after(s.randomDuration(4*time.Second, 12*time.Second), func() { u.listed, u.up, u.grants = false, false, nil })
			s.addUpstream(next)
		}
	}
}
