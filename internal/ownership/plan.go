package ownership

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
)

// span is a run of keys; from and to are inclusive.
type span struct{ from, to int }

// candidate is a possible owner in a plan.
type candidate struct {
	id string
	// load is the load of its spans; see Load.Weight for fairLoad.
	load, fairLoad, capacity float64
	slowToMove, refill       bool
	spans                    []span
}

// relativeLoad returns the load as a fraction of the fair load.
func (c *candidate) relativeLoad() float64 { return c.load / c.fairLoad }

// plan is a table being rebalanced. Candidates are held in a slice and not in a
// map by ID, as the most and the least loaded are searched before each move: with
// a map, 150 moves for 1,600 owners would take about ten times as long.
type plan struct {
	loadBelow []float64 // loadBelow[k] is the load of the keys below k
	// candidates are sorted by ID to make plans repeatable; eligible are those
	// that have not been excluded from further moves.
	candidates, eligible []*candidate
	// refilling is the owner that is being refilled; nil if there is none.
	refilling *candidate
	// unassigned are the runs of keys that have no owner or whose owner is not a
	// candidate.
	unassigned []span
	table      *Table
}

func newPlan(t *Table, load Load) *plan {
	p := &plan{table: t}
	p.loadBelow = loadPrefixSums(load.ByKey, slices.Max(slices.Collect(maps.Values(load.Capacity))))
	weight := load.Weight
	if weight == nil {
		weight = load.Capacity
	}
	byID := make(map[string]*candidate, len(load.Capacity))
	totalWeight := 0.0
	for id, capacity := range load.Capacity {
		byID[id] = &candidate{id: id, capacity: capacity, slowToMove: load.SlowToMove[id], refill: load.Refill[id]}
		p.candidates = append(p.candidates, byID[id])
		totalWeight += weight[id]
	}
	slices.SortFunc(p.candidates, func(x, y *candidate) int { return strings.Compare(x.id, y.id) })
	p.eligible = slices.Clone(p.candidates)
	for _, c := range p.candidates {
		c.fairLoad = p.loadBelow[KeySpaceSize] * weight[c.id] / totalWeight
	}
	for _, r := range t.Ranges {
		s := span{from: r.From, to: r.To}
		if c := byID[r.Owner]; c != nil {
			c.spans = append(c.spans, s)
			c.load += p.loadOf(s)
			continue
		}
		p.unassigned = append(p.unassigned, s)
	}
	return p
}

// loadPrefixSums returns for each k the load of the keys below k. The load of a
// key counts only up to maxLoad, the highest capacity of an owner: the excess is
// refused wherever the key is, and would raise the fair load of all owners.
func loadPrefixSums(byKey []float64, maxLoad float64) []float64 {
	total := 0.0
	for _, l := range byKey {
		total += min(l, maxLoad)
	}
	background := total * backgroundLoadShare / KeySpaceSize
	if total == 0 {
		background = 1
	}
	sums := make([]float64, KeySpaceSize+1)
	for k := range KeySpaceSize {
		sums[k+1] = sums[k] + background
		if k < len(byKey) {
			sums[k+1] += min(byKey[k], maxLoad)
		}
	}
	return sums
}

func (p *plan) loadOf(s span) float64 { return p.loadBelow[s.to+1] - p.loadBelow[s.from] }

// ownerOf returns the owner of the key and the index of its span with the key.
func (p *plan) ownerOf(key int) (*candidate, int) {
	for _, c := range p.candidates {
		for i, s := range c.spans {
			if s.from <= key && key <= s.to {
				return c, i
			}
		}
	}
	panic("ownership: a key has no owner after all unassigned keys were assigned")
}

// prefixEnd returns the last key of the longest prefix of s whose load is at
// most want, but at least the first key of s, and the end of s if the remainder
// would be below minRemainderShare.
func (p *plan) prefixEnd(s span, want float64) int {
	n := sort.Search(s.to-s.from+1, func(i int) bool { return p.loadOf(span{s.from, s.from + i}) > want })
	end := max(s.from+n-1, s.from)
	if p.loadOf(span{end, s.to}) < p.loadBelow[KeySpaceSize]*minRemainderShare {
		return s.to
	}
	return end
}

// suffixStart returns the first key of the longest suffix of s whose load is at
// most want, but at least the last key of s.
func (p *plan) suffixStart(s span, want float64) int {
	n := sort.Search(s.to-s.from+1, func(i int) bool { return p.loadOf(span{s.to - i, s.to}) > want })
	return min(s.to-n+1, s.to)
}

// transfer moves the keys of moved, a part of from's i-th span, to another owner.
func (p *plan) transfer(from *candidate, i int, moved span, to *candidate) {
	old := from.spans[i]
	from.spans = slices.Delete(from.spans, i, i+1)
	if old.from < moved.from {
		from.spans = append(from.spans, span{old.from, moved.from - 1})
	}
	if old.to > moved.to {
		from.spans = append(from.spans, span{moved.to + 1, old.to})
	}
	from.load -= p.loadOf(moved)
	p.assign(to, moved)
}

// assign adds a span that no candidate owns to a candidate.
func (p *plan) assign(to *candidate, s span) {
	to.spans = append(to.spans, s)
	to.load += p.loadOf(s)
}

// moves returns the spans whose owner differs from that in the table, in the
// order of their keys. Each span lies within one range of the table.
func (p *plan) moves() []Move {
	var out []Move
	for _, c := range p.candidates {
		for _, s := range c.spans {
			if c.id != p.table.Find(s.from).Owner {
				out = append(out, Move{From: s.from, To: s.to, NewOwner: c.id})
			}
		}
	}
	slices.SortFunc(out, func(x, y Move) int { return cmp.Compare(x.From, y.From) })
	return out
}
