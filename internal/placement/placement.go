package placement

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/papayatide/papayatide/internal/manifest"
)

// ShardOf returns the shard, in [0, shards), that a service's key hashes to.
func ShardOf(service, key string, shards int) int {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return int(d.Sum64() % uint64(shards))
}

// Assignment is the owner of every shard of one service at one epoch.
type Assignment struct {
	// Service is the service's name.
	Service string
	// Epoch is the log offset of the placement record this was built from;
	// it is the fencing token sent with grants and requests.
	Epoch int64
	// Members are the upstreams that own shards, sorted by name.
	Members []manifest.Upstream
	// ownerIndex maps a shard to an index into Members.
	ownerIndex []uint16
}

// Assign computes the owner of each shard among the named members of svc.
// Names not in the service are ignored; with no members every shard is
// unowned and Owner returns nil. Use AssignHomed for one data centre.
func Assign(svc *manifest.Service, members []string, epoch int64) *Assignment {
	return AssignHomed(svc, members, epoch, nil, 0)
}

// AssignHomed is Assign restricted to the shards whose entry in homes is
// home; other shards are unowned. A nil homes means every shard.
func AssignHomed(svc *manifest.Service, members []string, epoch int64, homes []uint8, home uint8) *Assignment {
	a := &Assignment{Service: svc.Name, Epoch: epoch, Members: selectMembers(svc, members)}
	a.ownerIndex = make([]uint16, svc.ShardCount())
	if len(a.Members) == 0 {
		return a
	}
	if len(a.Members) >= unowned {
		panic("placement: too many members")
	}
	seeds, weights := seedsAndWeights(a.Members)
	for shard := range a.ownerIndex {
		if homes != nil && homes[shard] != home {
			a.ownerIndex[shard] = unowned
			continue
		}
		a.ownerIndex[shard] = uint16(highestScore(uint64(shard), seeds, weights))
	}
	return a
}

// unowned marks a shard that this assignment does not place.
const unowned = 1<<16 - 1

// selectMembers returns the upstreams of svc named in members, sorted by
// name.
func selectMembers(svc *manifest.Service, members []string) []manifest.Upstream {
	wanted := map[string]bool{}
	for _, n := range members {
		wanted[n] = true
	}
	var out []manifest.Upstream
	for _, u := range svc.Upstreams {
		if wanted[u.Name] {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// seedsAndWeights returns each member's hash seed and weight.
func seedsAndWeights(members []manifest.Upstream) ([]uint64, []float64) {
	seeds := make([]uint64, len(members))
	weights := make([]float64, len(members))
	for i, u := range members {
		seeds[i] = xxhash.Sum64String(u.Name)
		weights[i] = float64(u.Slots)
	}
	return seeds, weights
}

// score is the weighted rendezvous score of a member for a shard:
// weight / -ln(u), with u uniform in (0,1) from the hash of both.
func score(shard, seed uint64, weight float64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], shard)
	h := xxhash.Sum64(buf[:])
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(u)
}

// highestScore returns the index of the member with the highest score for
// the shard; ties go to the lower index.
func highestScore(shard uint64, seeds []uint64, weights []float64) int {
	best, bestScore := 0, math.Inf(-1)
	for i, seed := range seeds {
		if sc := score(shard, seed, weights[i]); sc > bestScore {
			best, bestScore = i, sc
		}
	}
	return best
}

// Shards returns the shard count.
func (a *Assignment) Shards() int { return len(a.ownerIndex) }

// Owner returns the upstream owning shard, or nil if the service has no
// members.
func (a *Assignment) Owner(shard int) *manifest.Upstream {
	if len(a.Members) == 0 || a.ownerIndex[shard] == unowned {
		return nil
	}
	return &a.Members[a.ownerIndex[shard]]
}

// ShardsOf returns the shards the named upstream owns, ascending.
func (a *Assignment) ShardsOf(name string) []int {
	var out []int
	for shard := range a.ownerIndex {
		if o := a.Owner(shard); o != nil && o.Name == name {
			out = append(out, shard)
		}
	}
	return out
}

// Moved returns the shards whose owner differs between old and next; with
// a nil old, no shard counts as moved. Both must have the same shard count.
func Moved(old, next *Assignment) []int {
	if old == nil {
		return nil
	}
	var out []int
	for shard := range next.ownerIndex {
		o, n := old.Owner(shard), next.Owner(shard)
		if (o == nil) != (n == nil) || (o != nil && o.Name != n.Name) {
			out = append(out, shard)
		}
	}
	return out
}

// Imbalance returns the most-loaded member's shard share divided by its
// fair share by weight; 1.0 is perfect balance. It returns 0 with no
// members.
func (a *Assignment) Imbalance() float64 {
	if len(a.Members) == 0 {
		return 0
	}
	counts := make([]int, len(a.Members))
	placed := 0
	for _, i := range a.ownerIndex {
		if i != unowned {
			counts[i]++
			placed++
		}
	}
	total := 0.0
	for _, u := range a.Members {
		total += float64(u.Slots)
	}
	worst := 0.0
	for i, u := range a.Members {
		fair := float64(placed) * float64(u.Slots) / total
		worst = math.Max(worst, float64(counts[i])/fair)
	}
	return worst
}

// Homes returns, for each shard of svc, the index into dcs of the data
// centre that owns it. Shards are homed by weighted rendezvous hashing over
// the data centres, weighted by the slots the service has in each, so only
// that data centre's entry hosts ever move the shard between upstreams.
// A data centre with no upstreams of svc homes no shards.
func Homes(svc *manifest.Service, dcs []string) []uint8 {
	weights := make([]float64, len(dcs))
	seeds := make([]uint64, len(dcs))
	for i, dc := range dcs {
		seeds[i] = xxhash.Sum64String(svc.Name + "/" + dc)
		for _, u := range svc.Upstreams {
			if u.DataCentre == dc {
				weights[i] += float64(u.Slots)
			}
		}
	}
	homes := make([]uint8, svc.ShardCount())
	for shard := range homes {
		homes[shard] = uint8(highestScore(uint64(shard), seeds, weights))
	}
	return homes
}

// Update returns the assignment for members at epoch, given the one in
// force before it; the result equals AssignHomed's, so hosts with different
// histories agree. It is what the control loop calls on every placement
// record. Rendezvous hashing lets it skip most work: a shard whose owner
// stays can only move to a joining member, and only shards of leaving
// members need scoring against all members. Any change of weights, or a
// different shard count, falls back to the full computation.
func Update(old *Assignment, svc *manifest.Service, members []string, epoch int64, homes []uint8, home uint8) *Assignment {
	next := &Assignment{Service: svc.Name, Epoch: epoch, Members: selectMembers(svc, members)}
	remap, joiners, ok := diffMembers(old, next.Members, svc.ShardCount())
	if !ok || len(next.Members) == 0 {
		return AssignHomed(svc, members, epoch, homes, home)
	}
	seeds, weights := seedsAndWeights(next.Members)
	next.ownerIndex = make([]uint16, len(old.ownerIndex))
	for shard, o := range old.ownerIndex {
		switch {
		case homes != nil && homes[shard] != home:
			next.ownerIndex[shard] = unowned
		case o == unowned || remap[o] < 0:
			next.ownerIndex[shard] = uint16(highestScore(uint64(shard), seeds, weights))
		default:
			next.ownerIndex[shard] = uint16(ownerAfterJoins(uint64(shard), remap[o], joiners, seeds, weights))
		}
	}
	return next
}

// diffMembers maps old member indexes to indexes in next (-1 for a member that
// left) and lists the indexes in next of members that joined. ok is false
// when an incremental update is not possible.
func diffMembers(old *Assignment, next []manifest.Upstream, shards int) (remap []int, joiners []int, ok bool) {
	if old == nil || len(old.ownerIndex) != shards || len(old.Members) == 0 {
		return nil, nil, false
	}
	idx := map[string]int{}
	for i, u := range next {
		idx[u.Name] = i
	}
	remap = make([]int, len(old.Members))
	stayed := map[int]bool{}
	for i, u := range old.Members {
		j, found := idx[u.Name]
		if !found {
			remap[i] = -1
			continue
		}
		if next[j].Slots != u.Slots {
			return nil, nil, false
		}
		remap[i] = j
		stayed[j] = true
	}
	for j := range next {
		if !stayed[j] {
			joiners = append(joiners, j)
		}
	}
	return remap, joiners, true
}

// ownerAfterJoins returns owner unless a joiner outscores it for the shard.
func ownerAfterJoins(shard uint64, owner int, joiners []int, seeds []uint64, weights []float64) int {
	if len(joiners) == 0 {
		return owner
	}
	best, bestScore := owner, score(shard, seeds[owner], weights[owner])
	for _, j := range joiners {
		if sc := score(shard, seeds[j], weights[j]); sc > bestScore || (sc == bestScore && j < best) {
			best, bestScore = j, sc
		}
	}
	return best
}

// Pick returns the n candidates with the highest rendezvous score for key
// (all of them if there are n or fewer), best first. Entry hosts use it to
// share out work, such as renewing an upstream's grant, among themselves
// so that all agree on who does what from the same candidate list.
func Pick(key string, candidates []string, n int) []string {
	type scored struct {
		name  string
		score float64
	}
	k := xxhash.Sum64String(key)
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{c, score(k, xxhash.Sum64String(c), 1)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	out := make([]string, 0, min(n, len(all)))
	for i := 0; i < n && i < len(all); i++ {
		out = append(out, all[i].name)
	}
	return out
}
