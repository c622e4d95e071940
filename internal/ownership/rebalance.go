package ownership

import (
	"maps"
	"slices"
	"sort"
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
}

// Limits shape a rebalance.
type Limits struct {
	// Trigger is how far above its fair share an owner's load must be
	// before keys move; under it the difference may be chance.
	Trigger float64
	// Settle is the load, relative to the fair share, down to which an
	// overloaded owner is relieved.
	Settle float64
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
type piece struct {
	from, to int
	owner    string
}

type balance struct {
	prefix   []float64 // prefix[k] is the load of the keys below k
	capacity map[string]float64
	fair     map[string]float64
	owners   []string // candidates, sorted for repeatable plans
	load     map[string]float64
	pieces   []piece
	original *Table
}

func newBalance(t *Table, load Load) *balance {
	b := &balance{capacity: load.Capacity, fair: map[string]float64{}, load: map[string]float64{}, original: t}
	b.prefix = prefixSums(load.ByKey, slices.Max(slices.Collect(maps.Values(load.Capacity))))
	share := load.Share
	if share == nil {
		share = load.Capacity
	}
	whole := 0.0
	for id := range load.Capacity {
		b.owners = append(b.owners, id)
		whole += share[id]
	}
	sort.Strings(b.owners)
	for id := range load.Capacity {
		b.fair[id] = b.prefix[Keys] * share[id] / whole
	}
	for _, r := range t.Ranges {
		p := piece{from: r.From, to: r.To, owner: r.Owner}
		if _, ok := load.Capacity[r.Owner]; !ok {
			p.owner = ""
		}
		b.pieces = append(b.pieces, p)
		b.load[p.owner] += b.sum(p.from, p.to)
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
	base := total * idleLoad / Keys
	if total == 0 {
		base = 1
	}
	out := make([]float64, Keys+1)
	for k := range Keys {
		out[k+1] = out[k] + base
		if k < len(byKey) {
			out[k+1] += min(byKey[k], most)
		}
	}
	return out
}

func (b *balance) sum(from, to int) float64 { return b.prefix[to+1] - b.prefix[from] }

// use is an owner's load relative to its fair share.
func (b *balance) use(id string) float64 { return b.load[id] / b.fair[id] }

// least returns the candidate with most room for its size.
func (b *balance) least() string {
	best := b.owners[0]
	for _, id := range b.owners[1:] {
		if b.use(id) < b.use(best) {
			best = id
		}
	}
	return best
}

// most returns the candidate that is furthest above its share.
func (b *balance) most() string {
	best := b.owners[0]
	for _, id := range b.owners[1:] {
		if b.use(id) > b.use(best) {
			best = id
		}
	}
	return best
}

// placeOrphans deals out every run of keys without an owner, in parts that
// fit the candidates' room, or in stripes if no load is known yet.
func (b *balance) placeOrphans(blind bool) {
	for i := 0; i < len(b.pieces); i++ {
		if b.pieces[i].owner != "" {
			continue
		}
		p := b.pieces[i]
		to := b.least()
		cut := b.cutFront(p, max(b.fair[to]-b.load[to], 0))
		if blind {
			cut = min(cut, p.from+stripe-1)
		}
		b.give(i, piece{from: p.from, to: cut, owner: to})
	}
}

// placeHottest moves the busiest key, if it takes most of its owner, to the
// owner with most capacity.
func (b *balance) placeHottest(byKey []float64) {
	hot := 0
	for k, l := range byKey {
		if l > byKey[hot] {
			hot = k
		}
	}
	if len(byKey) == 0 {
		return
	}
	i := sort.Search(len(b.pieces), func(i int) bool { return b.pieces[i].to >= hot })
	owner := b.pieces[i].owner
	if byKey[hot] < hotKey*b.capacity[owner] {
		return
	}
	best := owner
	for _, id := range b.owners {
		if b.capacity[id] > b.capacity[best] {
			best = id
		}
	}
	if b.capacity[best] >= stronger*b.capacity[owner] {
		b.give(i, piece{from: hot, to: hot, owner: best})
	}
}

// cutFront returns the last key of the longest prefix of p whose load is at
// most want, but at least p's first key. What would be left as a sliver is
// taken along.
func (b *balance) cutFront(p piece, want float64) int {
	n := sort.Search(p.to-p.from+1, func(i int) bool { return b.sum(p.from, p.from+i) > want })
	cut := max(p.from+n-1, p.from)
	if b.sum(cut, p.to) < b.prefix[Keys]*sliver {
		return p.to
	}
	return cut
}

// cutBack is cutFront from the other end: it returns the first key.
func (b *balance) cutBack(p piece, want float64) int {
	n := sort.Search(p.to-p.from+1, func(i int) bool { return b.sum(p.to-i, p.to) > want })
	return min(p.to-n+1, p.to)
}

// give replaces the part of piece i that got covers.
func (b *balance) give(i int, got piece) {
	old := b.pieces[i]
	var parts []piece
	if old.from < got.from {
		parts = append(parts, piece{old.from, got.from - 1, old.owner})
	}
	parts = append(parts, got)
	if old.to > got.to {
		parts = append(parts, piece{got.to + 1, old.to, old.owner})
	}
	b.pieces = append(b.pieces[:i], append(parts, b.pieces[i+1:]...)...)
	l := b.sum(got.from, got.to)
	b.load[old.owner] -= l
	b.load[got.owner] += l
}

// relieveOne moves one run of keys from the most loaded owner that can be
// relieved to the least loaded one. It reports whether there was one.
func (b *balance) relieveOne(lim Limits) bool {
	for len(b.owners) > 1 {
		from, to := b.most(), b.least()
		if b.use(from) < lim.Trigger {
			return false
		}
		want := min(b.load[from]-lim.Settle*b.fair[from], b.fair[to]-b.load[to])
		if want <= 0 {
			return false
		}
		if i, got := b.bestCut(from, want); i >= 0 {
			got.owner = to
			b.give(i, got)
			return true
		}
		b.setAside(from)
	}
	return false
}

// setAside takes an owner that cannot be relieved, as one key makes up its
// load, out of the balance: the others share what is left. While it stayed in,
// nobody was relieved for as long as a single key was asked for more than an
// owner can do: for 10 s half of 200 owners idled beside 50 that were asked for
// two to ten times what they could do.
func (b *balance) setAside(owner string) {
	b.owners = slices.DeleteFunc(b.owners, func(id string) bool { return id == owner })
	whole, shares := 0.0, 0.0
	for _, id := range b.owners {
		whole += b.load[id]
		shares += b.fair[id]
	}
	for _, id := range b.owners {
		b.fair[id] *= whole / shares
	}
}

// bestCut looks at both ends of every range of owner and returns the cut
// whose load comes closest to want; among equals the one with fewest keys.
func (b *balance) bestCut(owner string, want float64) (int, piece) {
	best, bestScore := -1, 0.0
	var bestCut piece
	for i, p := range b.pieces {
		if p.owner != owner {
			continue
		}
		front := piece{from: p.from, to: b.cutFront(p, want)}
		back := piece{from: b.cutBack(p, want), to: p.to}
		for _, c := range []piece{front, back} {
			l := b.sum(c.from, c.to)
			if l > want*overshoot {
				continue
			}
			score := l - want*float64(c.to-c.from)/Keys
			if score > bestScore {
				best, bestScore, bestCut = i, score, c
			}
		}
	}
	if bestScore < b.fair[owner]*worthMoving {
		return -1, piece{}
	}
	return best, bestCut
}

// changes returns the pieces that end with another owner than the table
// gives them. A piece lies within one range of the table.
func (b *balance) changes() []Move {
	var out []Move
	for _, p := range b.pieces {
		if p.owner != b.original.Find(p.from).Owner {
			out = append(out, Move{From: p.from, To: p.to, NewOwner: p.owner})
		}
	}
	return out
}
