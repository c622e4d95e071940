package ownership

import (
	"cmp"
	"slices"
)

// Load describes the load on a service's keys and how it should be divided among
// the candidate owners.
type Load struct {
	// ByKey is the load on each key, in any unit; nil if nothing is known yet.
	ByKey []float64
	// Capacity is the load that each candidate owner can take, in the unit of
	// ByKey. Upstreams that are not in it get no keys, and those that they own
	// move to candidates.
	Capacity map[string]float64
	// Weight is the relative weight by which the total load is divided among
	// the candidate owners; Capacity if nil. An owner's part of the total load
	// by weight is its fair load.
	Weight map[string]float64
	// Refill holds owners from which keys may have been moved away for a time,
	// for example while a rate limit was in force. While such an owner has
	// little load, keys move to it from the most loaded owner above
	// LowWatermark, even if that owner is below HighWatermark.
	Refill map[string]bool
	// SlowToMove holds owners whose keys would be without an owner for long
	// during a move to another owner.
	SlowToMove map[string]bool
}

// Limits bound a rebalance.
type Limits struct {
	// HighWatermark is the load of an owner, relative to its fair load, at or
	// above which keys move away from it; a smaller excess may be random.
	HighWatermark float64
	// LowWatermark is the load, relative to the fair load, down to which an
	// overloaded owner is relieved.
	LowWatermark float64
	// MaxMoves bounds the moves that relieve or refill owners, not counting
	// that of the hottest key. If it is 0, only keys without a candidate owner
	// are assigned.
	MaxMoves int
}

const (
	// backgroundLoadShare is the load assumed on all keys evenly in addition
	// to the measured load, as a fraction of it, so that keys without
	// requests so far are divided too.
	backgroundLoadShare = 0.05
	// maxStripeKeys is the longest run of keys assigned at once while the
	// load is unknown. Busy keys are close together: runs this short, assigned
	// in turn, spread a busy region of 4,000 keys over ten owners. Shorter ones
	// would enlarge the table, which takes a few kilobytes with 160 runs.
	maxStripeKeys = 410
	// minRemainderShare is the fraction of the total load below which the
	// remainder of a run is not left as a range of its own.
	minRemainderShare = 0.0005
	// maxOvershoot bounds the load of a moved run relative to the wanted
	// load; a single busy key can make the exact amount impossible.
	maxOvershoot = 1.3
	// minMoveShare is the least load for which a run of keys is moved, as a
	// fraction of its owner's fair load. A smaller move has no noticeable
	// effect, yet delays new requests for its keys until those in flight have
	// ended.
	minMoveShare = 0.01
	// hotKeyUtilization is the fraction of its owner's capacity at or above
	// which a single key is moved by itself: splitting ranges cannot relieve
	// the owner, so the key needs an owner with more capacity.
	hotKeyUtilization = 0.5
	// hotKeyCapacityFactor is the least ratio of the new owner's capacity to
	// the present owner's for which the hottest key is moved.
	hotKeyCapacityFactor = 1.25
	// minReliefUtilization is the fraction of its capacity at or above which an
	// owner is relieved. Below it requests hardly ever queue and uneven load is
	// mostly random; without the bound, moves would be the largest cost in a
	// lightly loaded service.
	minReliefUtilization = 0.35
	// refillBelow is the load, relative to its fair load, below which an owner
	// in Load.Refill is refilled, and refillUntil the load at which that ends.
	refillBelow, refillUntil = 0.15, 0.7
	// slowToMoveFactor multiplies HighWatermark for owners in Load.SlowToMove.
	// Their keys stay without an owner for about 3 s, which costs callers more
	// than a moderate overload that may be over by then.
	slowToMoveFactor = 2
)

// Rebalance returns the moves that assign keys that have no owner or whose owner is not
// a candidate, move the hottest key if it needs more capacity, and relieve overloaded
// owners down to about LowWatermark or refill those in Load.Refill. It returns nil if
// there are no candidates.
func Rebalance(t *Table, load Load, lim Limits) []Move {
	if len(load.Capacity) == 0 {
		return nil
	}
	p := newPlan(t, load)
	p.assignUnassigned(load.ByKey == nil)
	if lim.MaxMoves == 0 {
		return p.moves()
	}
	p.moveHottestKey(load.ByKey)
	for n := 0; n < lim.MaxMoves && p.relieveOne(lim); n++ {
	}
	return p.moves()
}

// leastLoaded returns the eligible candidate with the lowest relative load.
func (p *plan) leastLoaded() *candidate {
	return slices.MinFunc(p.eligible, func(x, y *candidate) int { return cmp.Compare(x.relativeLoad(), y.relativeLoad()) })
}

// mostLoaded returns the eligible candidate with the highest relative load among
// those at or above minReliefUtilization; nil if there is none.
func (p *plan) mostLoaded() *candidate {
	var most *candidate
	for _, c := range p.eligible {
		if c.load >= minReliefUtilization*c.capacity && (most == nil || c.relativeLoad() > most.relativeLoad()) {
			most = c
		}
	}
	return most
}

// assignUnassigned assigns all unassigned keys in parts that each bring the least
// loaded candidate about up to its fair load, and that have at most maxStripeKeys
// keys if the load is unknown.
func (p *plan) assignUnassigned(loadUnknown bool) {
	for _, s := range p.unassigned {
		for s.from <= s.to {
			to := p.leastLoaded()
			end := p.prefixEnd(s, max(to.fairLoad-to.load, 0))
			if loadUnknown {
				end = min(end, s.from+maxStripeKeys-1)
			}
			p.assign(to, span{from: s.from, to: end})
			s.from = end + 1
		}
	}
}

// moveHottestKey moves the busiest key to the candidate with the most capacity,
// if it takes at least hotKeyUtilization of its owner's capacity.
func (p *plan) moveHottestKey(byKey []float64) {
	if len(byKey) == 0 {
		return
	}
	hot := 0
	for k, l := range byKey {
		if l > byKey[hot] {
			hot = k
		}
	}
	owner, i := p.ownerOf(hot)
	if byKey[hot] < hotKeyUtilization*owner.capacity {
		return
	}
	best := owner
	for _, c := range p.candidates {
		if c.capacity > best.capacity {
			best = c
		}
	}
	if best.capacity >= hotKeyCapacityFactor*owner.capacity {
		p.transfer(owner, i, span{from: hot, to: hot}, best)
	}
}

// relieveOne moves one run of keys from the most loaded owner that can be
// relieved to the owner that pickReceiver selects. It reports whether there was
// such a run.
func (p *plan) relieveOne(lim Limits) bool {
	for len(p.eligible) > 1 {
		from := p.mostLoaded()
		if from == nil {
			return false
		}
		to := p.pickReceiver(from, lim)
		if to == nil {
			return false
		}
		if from.slowToMove && from.relativeLoad() < lim.HighWatermark*slowToMoveFactor {
			p.exclude(from)
			continue
		}
		want := min(from.load-lim.LowWatermark*from.fairLoad, to.fairLoad-to.load)
		if want <= 0 {
			return false
		}
		if i, moved := p.bestSpanToMove(from, want); i >= 0 {
			p.transfer(from, i, moved, to)
			return true
		}
		p.exclude(from)
	}
	return false
}

// pickReceiver returns the owner that keys of from should move to, or nil if
// from should keep them.
func (p *plan) pickReceiver(from *candidate, lim Limits) *candidate {
	for _, c := range p.eligible {
		if p.refilling == nil && c.refill && c.relativeLoad() < refillBelow {
			p.refilling = c
		}
	}
	switch {
	case from.relativeLoad() >= lim.HighWatermark:
		return p.leastLoaded()
	case p.refilling != nil && p.refilling.relativeLoad() < refillUntil:
		return p.refilling
	}
	return nil
}

// exclude makes an owner that cannot be relieved now, for example one whose load is on a
// single key, ineligible for further moves, and scales the others' fair loads to their
// total load. Otherwise it would remain the most loaded and no other would be relieved:
// of 200 owners, half could be idle while 50 get two to ten times their capacity.
func (p *plan) exclude(owner *candidate) {
	p.eligible = slices.DeleteFunc(p.eligible, func(c *candidate) bool { return c == owner })
	totalLoad, totalFairLoad := 0.0, 0.0
	for _, c := range p.eligible {
		totalLoad += c.load
		totalFairLoad += c.fairLoad
	}
	for _, c := range p.eligible {
		c.fairLoad *= totalLoad / totalFairLoad
	}
}

// bestSpanToMove returns the index of one of the owner's spans and the prefix or
// suffix of it to move: the one with the highest load up to maxOvershoot times
// want, less a small penalty for the number of its keys. The index is -1 if that is
// below minMoveShare of the owner's fair load for all of them.
func (p *plan) bestSpanToMove(owner *candidate, want float64) (int, span) {
	best, bestScore := -1, 0.0
	var bestSpan span
	for i, s := range owner.spans {
		front := span{from: s.from, to: p.prefixEnd(s, want)}
		back := span{from: p.suffixStart(s, want), to: s.to}
		for _, part := range []span{front, back} {
			load := p.loadOf(part)
			if load > want*maxOvershoot {
				continue
			}
			score := load - want*float64(part.to-part.from)/KeySpaceSize
			if score > bestScore {
				best, bestScore, bestSpan = i, score, part
			}
		}
	}
	if bestScore < owner.fairLoad*minMoveShare {
		return -1, span{}
	}
	return best, bestSpan
}
