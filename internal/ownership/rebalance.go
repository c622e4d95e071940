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
	// idleLoad is the load assumed on all keys together beside what was
	// measured, as a share of the whole, so that keys nobody has asked for
	// yet are divided too.
	idleLoad = 0.05
	// stripe is the widest run of keys placed at once while nothing is
	// known of the load. Busy keys lie close together; runs this narrow,
	// dealt out in turn, spread a busy region of 4,000 keys over ten
	// owners before the first request. At 160 runs the table stays a few
	// kilobytes.
	stripe = 410
	// sliver is the share of the whole load below which a rest is not left
	// behind as a range of its own.
	sliver = 0.0005
	// overshoot is how much more than wanted a cut may move, as a factor; a
	// single busy key can make the exact amount impossible.
	overshoot = 1.3
	// worthMoving is the least part of its owner's fair share for which a
	// run of keys is moved: less would not be felt, while each move stops
	// its keys for the time of the work under way on them.
	worthMoving = 0.01
	// hotKey is the part of its owner's capacity from which on a single key
	// is placed by itself: no division of ranges can relieve it, only an
	// owner with more capacity.
	hotKey = 0.5
	// stronger is how much more capacity such an owner must have.
	stronger = 1.25
	// busyFrom is the part of its capacity from which on an owner is relieved.
	// Under it requests hardly ever queue, and what looks like uneven load is
	// mostly chance. Keys that changed hands for it were the largest price of
	// a lightly loaded fleet of 30 hosts, whose worth rose from 0.63 to 0.87.
	busyFrom = 0.35
	// idleUse is the load, relative to its fair share, under which an owner is
	// refilled, and filledUse up to which.
	idleUse, filledUse = 0.15, 0.7
	// slowTrigger is how much higher the trigger of slow owners is: their
	// keys stay without an owner for some three seconds, which costs callers
	// more than a moderate overload does that may be over by then.
	slowTrigger = 2
)

// Rebalance returns the moves that relieve overloaded owners and find an
// owner for keys that have none or whose owner is not a candidate. It moves
// as few keys as bring an owner down to its share.
func Rebalance(t *Table, load Load, lim Limits) []Move {
	if len(load.Capacity) == 0 {
		return nil
	}
	b := newBalance(t, load)
	b.placeOrphans(load.ByKey == nil)
	if lim.MaxMoves == 0 {
		return b.changes()
	}
	b.placeHottest(load.ByKey)
	for n := 0; n < lim.MaxMoves && b.relieveOne(lim); n++ {
	}
	return b.changes()
}

// piece is a run of keys in the plan being made.
type piece struct{ from, to int }

// account is one candidate owner in the plan being made.
type account struct {
	id string
	// load is what its pieces are asked for, fair what they should be.
	load, fair, capacity float64
	slow, refill         bool
	pieces               []piece
}

// use is its load relative to its fair share.
func (a *account) use() float64 { return a.load / a.fair }

// balance is the plan being made. Owners are accounts in a slice and not maps
// by ID, as the most and the least loaded are looked for before each move: with
// maps a plan of 150 moves for 1,600 owners took 47 ms and not 4.
type balance struct {
	prefix []float64 // prefix[k] is the load of the keys below k
	// owners are the candidates, by ID for repeatable plans; open are those
	// that are not set aside.
	owners, open []*account
	// idle is an owner that is being refilled; nil if none is.
	idle     *account
	orphans  []piece
	original *Table
}

func newBalance(t *Table, load Load) *balance {
	b := &balance{original: t}
	b.prefix = prefixSums(load.ByKey, slices.Max(slices.Collect(maps.Values(load.Capacity))))
	share := load.Share
	if share == nil {
		share = load.Capacity
	}
	byID := make(map[string]*account, len(load.Capacity))
	whole := 0.0
	for id, capacity := range load.Capacity {
		byID[id] = &account{id: id, capacity: capacity, slow: load.SlowToMove[id], refill: load.Refill[id]}
		b.owners = append(b.owners, byID[id])
		whole += share[id]
	}
	slices.SortFunc(b.owners, func(x, y *account) int { return strings.Compare(x.id, y.id) })
	b.open = slices.Clone(b.owners)
	for _, o := range b.owners {
		o.fair = b.prefix[KeySpaceSize] * share[o.id] / whole
	}
	for _, r := range t.Ranges {
		p := piece{from: r.From, to: r.To}
		if o := byID[r.Owner]; o != nil {
			o.pieces = append(o.pieces, p)
			o.load += b.sum(p)
			continue
		}
		b.orphans = append(b.orphans, p)
	}
	return b
}

// prefixSums counts a key that is asked for more than the strongest owner can
// do, most, as that: the rest is refused wherever the key lies, and would make
// all owners' fair shares too large.
func prefixSums(byKey []float64, most float64) []float64 {
	total := 0.0
	for _, l := range byKey {
		total += min(l, most)
	}
	base := total * idleLoad / KeySpaceSize
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

func (b *balance) sum(p piece) float64 { return b.prefix[p.to+1] - b.prefix[p.from] }

// least returns the open candidate with most room for its size.
func (b *balance) least() *account {
	return slices.MinFunc(b.open, func(x, y *account) int { return cmp.Compare(x.use(), y.use()) })
}

// most returns the busy open candidate that is furthest above its share; nil if
// none is busy.
func (b *balance) most() *account {
	var most *account
	for _, o := range b.open {
		if o.load >= busyFrom*o.capacity && (most == nil || o.use() > most.use()) {
			most = o
		}
	}
	return most
}

// placeOrphans deals out every run of keys without an owner, in parts that
// fit the candidates' room, or in stripes if no load is known yet.
func (b *balance) placeOrphans(blind bool) {
	for _, p := range b.orphans {
		for p.from <= p.to {
			to := b.least()
			cut := b.cutFront(p, max(to.fair-to.load, 0))
			if blind {
				cut = min(cut, p.from+stripe-1)
			}
			b.add(to, piece{from: p.from, to: cut})
			p.from = cut + 1
		}
	}
}

// add gives a piece that nobody has to an owner.
func (b *balance) add(to *account, p piece) {
	to.pieces = append(to.pieces, p)
	to.load += b.sum(p)
}

// placeHottest moves the busiest key, if it takes most of its owner, to the
// owner with most capacity.
func (b *balance) placeHottest(byKey []float64) {
	if len(byKey) == 0 {
		return
	}
	hot := 0
	for k, l := range byKey {
		if l > byKey[hot] {
			hot = k
		}
	}
	owner, i := b.holder(hot)
	if byKey[hot] < hotKey*owner.capacity {
		return
	}
	best := owner
	for _, o := range b.owners {
		if o.capacity > best.capacity {
			best = o
		}
	}
	if best.capacity >= stronger*owner.capacity {
		b.give(owner, i, piece{from: hot, to: hot}, best)
	}
}

// holder returns the owner of the key and which of its pieces has it.
func (b *balance) holder(key int) (*account, int) {
	for _, o := range b.owners {
		for i, p := range o.pieces {
			if p.from <= key && key <= p.to {
				return o, i
			}
		}
	}
	panic("a key has no owner after orphans were placed")
}

// cutFront returns the last key of the longest prefix of p whose load is at
// most want, but at least p's first key. What would be left as a sliver is
// taken along.
func (b *balance) cutFront(p piece, want float64) int {
	n := sort.Search(p.to-p.from+1, func(i int) bool { return b.sum(piece{p.from, p.from + i}) > want })
	cut := max(p.from+n-1, p.from)
	if b.sum(piece{cut, p.to}) < b.prefix[KeySpaceSize]*sliver {
		return p.to
	}
	return cut
}

// cutBack is cutFront from the other end: it returns the first key.
func (b *balance) cutBack(p piece, want float64) int {
	n := sort.Search(p.to-p.from+1, func(i int) bool { return b.sum(piece{p.to - i, p.to}) > want })
	return min(p.to-n+1, p.to)
}

// give moves the part got of an owner's piece i to another owner.
func (b *balance) give(from *account, i int, got piece, to *account) {
	old := from.pieces[i]
	from.pieces = slices.Delete(from.pieces, i, i+1)
	if old.from < got.from {
		from.pieces = append(from.pieces, piece{old.from, got.from - 1})
	}
	if old.to > got.to {
		from.pieces = append(from.pieces, piece{got.to + 1, old.to})
	}
	from.load -= b.sum(got)
	b.add(to, got)
}

// relieveOne moves one run of keys from the most loaded owner that can be
// relieved to the least loaded one. It reports whether there was one.
func (b *balance) relieveOne(lim Limits) bool {
	for len(b.open) > 1 {
		from := b.most()
		if from == nil {
			return false
		}
		to := b.receiver(from, lim)
		if to == nil {
			return false
		}
		if from.slow && from.use() < lim.HighWatermark*slowTrigger {
			b.setAside(from)
			continue
		}
		want := min(from.load-lim.LowWatermark*from.fair, to.fair-to.load)
		if want <= 0 {
			return false
		}
		if i, got := b.bestCut(from, want); i >= 0 {
			b.give(from, i, got, to)
			return true
		}
		b.setAside(from)
	}
	return false
}

// receiver returns the owner that is given keys of from, nil if from keeps them.
func (b *balance) receiver(from *account, lim Limits) *account {
	for _, o := range b.open {
		if b.idle == nil && o.refill && o.use() < idleUse {
			b.idle = o
		}
	}
	switch {
	case from.use() >= lim.HighWatermark:
		return b.least()
	case b.idle != nil && b.idle.use() < filledUse:
		return b.idle
	}
	return nil
}

// setAside takes an owner that cannot be relieved, as one key makes up its
// load, out of the balance: the others share what is left. While it stayed in,
// nobody was relieved for as long as a single key was asked for more than an
// owner can do: for 10 s half of 200 owners idled beside 50 that were asked for
// two to ten times what they could do.
func (b *balance) setAside(owner *account) {
	b.open = slices.DeleteFunc(b.open, func(o *account) bool { return o == owner })
	whole, shares := 0.0, 0.0
	for _, o := range b.open {
		whole += o.load
		shares += o.fair
	}
	for _, o := range b.open {
		o.fair *= whole / shares
	}
}

// bestCut looks at both ends of every piece of the owner and returns the cut
// whose load comes closest to want; among equals the one with fewest keys.
func (b *balance) bestCut(owner *account, want float64) (int, piece) {
	best, bestScore := -1, 0.0
	var bestCut piece
	for i, p := range owner.pieces {
		front := piece{from: p.from, to: b.cutFront(p, want)}
		back := piece{from: b.cutBack(p, want), to: p.to}
		for _, c := range []piece{front, back} {
			l := b.sum(c)
			if l > want*overshoot {
				continue
			}
			score := l - want*float64(c.to-c.from)/KeySpaceSize
			if score > bestScore {
				best, bestScore, bestCut = i, score, c
			}
		}
	}
	if bestScore < owner.fair*worthMoving {
		return -1, piece{}
	}
	return best, bestCut
}

// changes returns the pieces that end with another owner than the table
// gives them, in the order of their keys. A piece lies within one range of the
// table.
func (b *balance) changes() []Move {
	var out []Move
	for _, o := range b.owners {
		for _, p := range o.pieces {
			if o.id != b.original.Find(p.from).Owner {
				out = append(out, Move{From: p.from, To: p.to, NewOwner: o.id})
			}
		}
	}
	slices.SortFunc(out, func(x, y Move) int { return cmp.Compare(x.From, y.From) })
	return out
}
