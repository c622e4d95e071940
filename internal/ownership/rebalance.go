package ownership

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Load is what the callers ask of a service, by key.
type Load struct {
	// ByKey is the work asked for on each key, in any unit; nil if nothing
	// is known yet.
	ByKey []float64
	// Capacity is how much of it each candidate owner can do, in the same
	// unit. Upstreams that are not listed get nothing and lose what they
	// own.
	Capacity map[string]float64
	// Share is the part of the whole load that each candidate owner should
	// get, in any unit; in proportion to Capacity if nil.
	Share map[string]float64
	// Refill are owners whose keys were taken from them for a while. Where little is
	// asked of one, keys are moved to it from any owner above its share, whether or
	// not that reaches the trigger.
	Refill map[string]bool
	// SlowToMove owners are those whose keys would be without an owner for long on
	// their way to another one.
	SlowToMove map[string]bool
}

// Limits shape a rebalance.
type Limits struct {
	// HighWatermark is how far above its fair share an owner's load must be
	// before keys move; under it the difference may be chance.
	HighWatermark float64
	// LowWatermark is the load, relative to the fair share, down to which an
	// overloaded owner is relieved.
	LowWatermark float64
	// MaxMoves bounds the moves made to relieve owners.
	MaxMoves int
}

const (
	// backgroundLoadShare is the load assumed on all keys together beside what was
	// measured, as a share of the whole, so that keys nobody has asked for
	// yet are divided too.
	backgroundLoadShare = 0.05
	// maxStripeKeys is the widest run of keys placed at once while nothing is
	// known of the load. Busy keys lie close together; runs this narrow,
	// dealt out in turn, spread a busy region of 4,000 keys over ten
	// owners before the first request. At 160 runs the table stays a few
	// kilobytes.
	maxStripeKeys = 410
	// minRemainderShare is the share of the whole load below which a rest is not left
	// behind as a range of its own.
	minRemainderShare = 0.0005
	// maxOvershoot is how much more than wanted a cut may move, as a factor; a
	// single busy key can make the exact amount impossible.
	maxOvershoot = 1.3
	// minMoveShare is the least part of its owner's fair share for which a
	// run of keys is moved: less would not be felt, while each move stops
	// its keys for the time of the work under way on them.
	minMoveShare = 0.01
	// hotKeyUtilization is the part of its owner's capacity from which on a single key
	// is placed by itself: no division of ranges can relieve it, only an
	// owner with more capacity.
	hotKeyUtilization = 0.5
	// hotKeyCapacityFactor is how much more capacity such an owner must have.
	hotKeyCapacityFactor = 1.25
	// minReliefUtilization is the part of its capacity from which on an owner is relieved.
	// Under it requests hardly ever queue, and what looks like uneven load is
	// mostly chance. Keys that changed hands for it were the largest price of
	// a lightly loaded fleet of 30 hosts, whose worth rose from 0.63 to 0.87.
	minReliefUtilization = 0.35
	// refillBelow is the load, relative to its fair share, under which an owner is
	// refilled, and filledUse up to which.
	refillBelow, refillUntil = 0.15, 0.7
	// slowToMoveFactor is how much higher the trigger of slow owners is: their
	// keys stay without an owner for some three seconds, which costs callers
	// more than a moderate overload does that may be over by then.
	slowToMoveFactor = 2
)

// Rebalance returns the moves that relieve overloaded owners and find an
// owner for keys that have none or whose owner is not a candidate. It moves
// as few keys as bring an owner down to its share.
func Rebalance(t *Table, load Load, lim Limits) []Move {
	if len(load.Capacity) == 0 {
		return nil
	}
	b := newPlan(t, load)
	b.assignUnowned(load.ByKey == nil)
	if lim.MaxMoves == 0 {
		return b.moves()
	}
	b.moveHottestKey(load.ByKey)
	for n := 0; n < lim.MaxMoves && b.relieveOne(lim); n++ {
	}
	return b.moves()
}

// span is a run of keys in the plan being made.
type span struct{ from, to int }

// candidate is one candidate owner in the plan being made.
type candidate struct {
	id string
	// load is what its pieces are asked for, fair what they should be.
	load, fairLoad, capacity float64
	slowToMove, refill       bool
	spans                    []span
}

// relativeLoad is its load relative to its fair share.
func (a *candidate) relativeLoad() float64 { return a.load / a.fairLoad }

// plan is the plan being made. Owners are accounts in a slice and not maps
// by ID, as the most and the least loaded are looked for before each move: with
// maps a plan of 150 moves for 1,600 owners took 47 ms and not 4.
type plan struct {
	loadBelow []float64 // prefix[k] is the load of the keys below k
	// candidates are the candidates, by ID for repeatable plans; open are those
	// that are not set aside.
	candidates, eligible []*candidate
	// refilling is an owner that is being refilled; nil if none is.
	refilling *candidate
	unowned   []span
	table     *Table
}

func newPlan(t *Table, load Load) *plan {
	b := &plan{table: t}
	b.loadBelow = loadPrefixSums(load.ByKey, slices.Max(slices.Collect(maps.Values(load.Capacity))))
	share := load.Share
	if share == nil {
		share = load.Capacity
	}
	byID := make(map[string]*candidate, len(load.Capacity))
	whole := 0.0
	for id, capacity := range load.Capacity {
		byID[id] = &candidate{id: id, capacity: capacity, slowToMove: load.SlowToMove[id], refill: load.Refill[id]}
		b.candidates = append(b.candidates, byID[id])
		whole += share[id]
	}
	slices.SortFunc(b.candidates, func(x, y *candidate) int { return strings.Compare(x.id, y.id) })
	b.eligible = slices.Clone(b.candidates)
	for _, o := range b.candidates {
		o.fairLoad = b.loadBelow[KeySpaceSize] * share[o.id] / whole
	}
	for _, r := range t.Ranges {
		p := span{from: r.From, to: r.To}
		if o := byID[r.Owner]; o != nil {
			o.spans = append(o.spans, p)
			o.load += b.loadOf(p)
			continue
		}
		b.unowned = append(b.unowned, p)
	}
	return b
}

// loadPrefixSums counts a key that is asked for more than the strongest owner can
// do, most, as that: the rest is refused wherever the key lies, and would make
// all owners' fair shares too large.
func loadPrefixSums(byKey []float64, most float64) []float64 {
	total := 0.0
	for _, l := range byKey {
		total += min(l, most)
	}
	base := total * backgroundLoadShare / KeySpaceSize
	if total == 0 {
		base = 1
	}
	out := make([]float64, KeySpaceSize+1)
	for k := range KeySpaceSize {
		out[k+1] = out[k] + base
		if k < len(byKey) {
			out[k+1] += min(byKey[k], most)
		}
	}
	return out
}

func (b *plan) loadOf(p span) float64 { return b.loadBelow[p.to+1] - b.loadBelow[p.from] }

// leastLoaded returns the open candidate with most room for its size.
func (b *plan) leastLoaded() *candidate {
	return slices.MinFunc(b.eligible, func(x, y *candidate) int { return cmp.Compare(x.relativeLoad(), y.relativeLoad()) })
}

// mostLoaded returns the busy open candidate that is furthest above its share; nil if
// none is busy.
func (b *plan) mostLoaded() *candidate {
	var most *candidate
	for _, o := range b.eligible {
		if o.load >= minReliefUtilization*o.capacity && (most == nil || o.relativeLoad() > most.relativeLoad()) {
			most = o
		}
	}
	return most
}

// assignUnowned deals out every run of keys without an owner, in parts that
// fit the candidates' room, or in stripes if no load is known yet.
func (b *plan) assignUnowned(blind bool) {
	for _, p := range b.unowned {
		for p.from <= p.to {
			to := b.leastLoaded()
			cut := b.prefixEnd(p, max(to.fairLoad-to.load, 0))
			if blind {
				cut = min(cut, p.from+maxStripeKeys-1)
			}
			b.assign(to, span{from: p.from, to: cut})
			p.from = cut + 1
		}
	}
}

// assign gives a piece that nobody has to an owner.
func (b *plan) assign(to *candidate, p span) {
	to.spans = append(to.spans, p)
	to.load += b.loadOf(p)
}

// moveHottestKey moves the busiest key, if it takes most of its owner, to the
// owner with most capacity.
func (b *plan) moveHottestKey(byKey []float64) {
	if len(byKey) == 0 {
		return
	}
	hot := 0
	for k, l := range byKey {
		if l > byKey[hot] {
			hot = k
		}
	}
	owner, i := b.ownerOf(hot)
	if byKey[hot] < hotKeyUtilization*owner.capacity {
		return
	}
	best := owner
	for _, o := range b.candidates {
		if o.capacity > best.capacity {
			best = o
		}
	}
	if best.capacity >= hotKeyCapacityFactor*owner.capacity {
		b.transfer(owner, i, span{from: hot, to: hot}, best)
	}
}

// ownerOf returns the owner of the key and which of its pieces has it.
func (b *plan) ownerOf(key int) (*candidate, int) {
	for _, o := range b.candidates {
		for i, p := range o.spans {
			if p.from <= key && key <= p.to {
				return o, i
			}
		}
	}
	panic("a key has no owner after orphans were placed")
}

// prefixEnd returns the last key of the longest prefix of p whose load is at
// most want, but at least p's first key. What would be left as a sliver is
// taken along.
func (b *plan) prefixEnd(p span, want float64) int {
	n := sort.Search(p.to-p.from+1, func(i int) bool { return b.loadOf(span{p.from, p.from + i}) > want })
	cut := max(p.from+n-1, p.from)
	if b.loadOf(span{cut, p.to}) < b.loadBelow[KeySpaceSize]*minRemainderShare {
		return p.to
	}
	return cut
}

// suffixStart is cutFront from the other end: it returns the first key.
func (b *plan) suffixStart(p span, want float64) int {
	n := sort.Search(p.to-p.from+1, func(i int) bool { return b.loadOf(span{p.to - i, p.to}) > want })
	return min(p.to-n+1, p.to)
}

// transfer moves the part got of an owner's piece i to another owner.
func (b *plan) transfer(from *candidate, i int, got span, to *candidate) {
	old := from.spans[i]
	from.spans = slices.Delete(from.spans, i, i+1)
	if old.from < got.from {
		from.spans = append(from.spans, span{old.from, got.from - 1})
	}
	if old.to > got.to {
		from.spans = append(from.spans, span{got.to + 1, old.to})
	}
	from.load -= b.loadOf(got)
	b.assign(to, got)
}

// relieveOne moves one run of keys from the most loaded owner that can be
// relieved to the least loaded one. It reports whether there was one.
func (b *plan) relieveOne(lim Limits) bool {
	for len(b.eligible) > 1 {
		from := b.mostLoaded()
		if from == nil {
			return false
		}
		to := b.pickReceiver(from, lim)
		if to == nil {
			return false
		}
		if from.slowToMove && from.relativeLoad() < lim.HighWatermark*slowToMoveFactor {
			b.exclude(from)
			continue
		}
		want := min(from.load-lim.LowWatermark*from.fairLoad, to.fairLoad-to.load)
		if want <= 0 {
			return false
		}
		if i, got := b.bestSpanToMove(from, want); i >= 0 {
			b.transfer(from, i, got, to)
			return true
		}
		b.exclude(from)
	}
	return false
}

// pickReceiver returns the owner that is given keys of from, nil if from keeps them.
func (b *plan) pickReceiver(from *candidate, lim Limits) *candidate {
	for _, o := range b.eligible {
		if b.refilling == nil && o.refill && o.relativeLoad() < refillBelow {
			b.refilling = o
		}
	}
	switch {
	case from.relativeLoad() >= lim.HighWatermark:
		return b.leastLoaded()
	case b.refilling != nil && b.refilling.relativeLoad() < refillUntil:
		return b.refilling
	}
	return nil
}

// exclude takes an owner that cannot be relieved, as one key makes up its
// load, out of the balance: the others share what is left. While it stayed in,
// nobody was relieved for as long as a single key was asked for more than an
// owner can do: for 10 s half of 200 owners idled beside 50 that were asked for
// two to ten times what they could do.
func (b *plan) exclude(owner *candidate) {
	b.eligible = slices.DeleteFunc(b.eligible, func(o *candidate) bool { return o == owner })
	whole, shares := 0.0, 0.0
	for _, o := range b.eligible {
		whole += o.load
		shares += o.fairLoad
	}
	for _, o := range b.eligible {
		o.fairLoad *= whole / shares
	}
}

// bestSpanToMove looks at both ends of every piece of the owner and returns the cut
// whose load comes closest to want; among equals the one with fewest keys.
func (b *plan) bestSpanToMove(owner *candidate, want float64) (int, span) {
	best, bestScore := -1, 0.0
	var bestCut span
	for i, p := range owner.spans {
		front := span{from: p.from, to: b.prefixEnd(p, want)}
		back := span{from: b.suffixStart(p, want), to: p.to}
		for _, c := range []span{front, back} {
			l := b.loadOf(c)
			if l > want*maxOvershoot {
				continue
			}
			score := l - want*float64(c.to-c.from)/KeySpaceSize
			if score > bestScore {
				best, bestScore, bestCut = i, score, c
			}
		}
	}
	if bestScore < owner.fairLoad*minMoveShare {
		return -1, span{}
	}
	return best, bestCut
}

// moves returns the pieces that end with another owner than the table
// gives them, in the order of their keys. A piece lies within one range of the
// table.
func (b *plan) moves() []Move {
	var out []Move
	for _, o := range b.candidates {
		for _, p := range o.spans {
			if o.id != b.table.Find(p.from).Owner {
				out = append(out, Move{From: p.from, To: p.to, NewOwner: o.id})
			}
		}
	}
	slices.SortFunc(out, func(x, y Move) int { return cmp.Compare(x.From, y.From) })
	return out
}
