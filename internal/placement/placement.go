package placement

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/papayatide/papayatide/internal/manifest"
)

// ShardOf returns the shard of a service's key, in [0, shards).
func ShardOf(service, key string, shards int) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return int(digest.Sum64() % uint64(shards))
}

// Assignment holds the owner of each shard of one service at one epoch.
type Assignment struct {
	// Service is the service's name.
	Service string
	// Epoch is the log offset of the placement record from which, together with the
	// manifest, the assignment is computed. It is the fencing token of grants and
	// requests.
	Epoch int64
	// Members are the upstreams that may own shards, sorted by name.
	Members []manifest.Upstream
	// ownerIndex maps a shard to an index into Members, or unowned. Without Members
	// its entries mean nothing.
	ownerIndex []uint16
}

// Assign assigns all shards of svc to the named members. Names that are not in
// the service are ignored. Without members no shard has an owner. Use AssignDataCentre
// for one data centre.
func Assign(svc *manifest.Service, members []string, epoch int64) *Assignment {
	return AssignDataCentre(svc, members, epoch, nil, 0)
}

// AssignDataCentre assigns only the shards whose home data centre is dc; other
// shards have no owner. homes is the result of Homes, and dc an index into the same
// list of data centres. With nil homes it assigns all shards.
func AssignDataCentre(svc *manifest.Service, members []string, epoch int64, homes []uint8, dc uint8) *Assignment {
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
		if homes != nil && homes[shard] != dc {
			a.ownerIndex[shard] = unowned
			continue
		}
		a.ownerIndex[shard] = uint16(highestScore(uint64(shard), seeds, weights))
	}
	return a
}

// unowned marks a shard without an owner in Assignment.ownerIndex.
const unowned = 1<<16 - 1

// selectMembers returns the upstreams of svc named in members, sorted by name.
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

// seedsAndWeights returns each member's hash seed and its weight, its slots.
func seedsAndWeights(members []manifest.Upstream) ([]uint64, []float64) {
	seeds := make([]uint64, len(members))
	weights := make([]float64, len(members))
	for i, u := range members {
		seeds[i] = xxhash.Sum64String(u.Name)
		weights[i] = float64(u.Slots)
	}
	return seeds, weights
}

// score returns a member's weighted rendezvous score for a shard:
// weight / -ln(u), with u uniform in (0,1) from the hash of member and shard.
func score(shard, seed uint64, weight float64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], shard)
	h := xxhash.Sum64(buf[:])
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(u)
}

// highestScore returns the index of the member with the highest score for the
// shard; of equal scores, the lowest index.
func highestScore(shard uint64, seeds []uint64, weights []float64) int {
	best, bestScore := 0, math.Inf(-1)
	for i, seed := range seeds {
		if sc := score(shard, seed, weights[i]); sc > bestScore {
			best, bestScore = i, sc
		}
	}
	return best
}

// Shards returns the number of shards.
func (a *Assignment) Shards() int { return len(a.ownerIndex) }

// Owner returns the upstream that owns shard, or nil if the shard has no owner.
func (a *Assignment) Owner(shard int) *manifest.Upstream {
	if len(a.Members) == 0 || a.ownerIndex[shard] == unowned {
		return nil
	}
	return &a.Members[a.ownerIndex[shard]]
}

// ShardsOf returns the shards that the named upstream owns, ascending.
func (a *Assignment) ShardsOf(name string) []int {
	var out []int
	for shard := range a.ownerIndex {
		if o := a.Owner(shard); o != nil && o.Name == name {
			out = append(out, shard)
		}
	}
	return out
}

// Moved returns the shards whose owner differs between old and next, which must
// have the same number of shards. It returns nil if old is nil.
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

// Imbalance returns the highest ratio, over all members, of a member's shards to
// its share by weight; 1.0 is perfect balance. It returns 0 without members.
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

// Homes returns the home data centre of each shard of svc, as an index into dcs.
// Homes are assigned by rendezvous hashing, weighted by the slots of svc in each
// data centre; one without upstreams of svc is home to no shards. Only the entry
// hosts of its home data centre move a shard between upstreams.
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

// Update returns the same assignment as AssignDataCentre, so that hosts with different
// histories agree, but computes it from the previous one, old: a shard whose owner stays can
// move only to a joining member, and only shards without an owner or of leaving members are
// scored against all. If weights or the number of shards changed, it calls AssignDataCentre.
func Update(old *Assignment, svc *manifest.Service, members []string, epoch int64, homes []uint8, dc uint8) *Assignment {
	next := &Assignment{Service: svc.Name, Epoch: epoch, Members: selectMembers(svc, members)}
	remap, joiners, ok := diffMembers(old, next.Members, svc.ShardCount())
	if !ok || len(next.Members) == 0 {
		return AssignDataCentre(svc, members, epoch, homes, dc)
	}
	seeds, weights := seedsAndWeights(next.Members)
	next.ownerIndex = make([]uint16, len(old.ownerIndex))
	for shard, o := range old.ownerIndex {
		switch {
		case homes != nil && homes[shard] != dc:
			next.ownerIndex[shard] = unowned
		case o == unowned || remap[o] < 0:
			next.ownerIndex[shard] = uint16(highestScore(uint64(shard), seeds, weights))
		default:
			next.ownerIndex[shard] = uint16(ownerAfterJoins(uint64(shard), remap[o], joiners, seeds, weights))
		}
	}
	return next
}

// diffMembers compares old's members with next. remap maps an index of an old
// member to its index in next, -1 for a member that left; joiners are the indexes
// in next of members that joined. ok is false if an incremental update is not
// possible.
func diffMembers(old *Assignment, next []manifest.Upstream, shards int) (remap []int, joiners []int, ok bool) {
	if old == nil || len(old.ownerIndex) != shards || len(old.Members) == 0 {
		return nil, nil, false
	}
	indexByName := map[string]int{}
	for i, u := range next {
		indexByName[u.Name] = i
	}
	remap = make([]int, len(old.Members))
	stayed := map[int]bool{}
	for i, u := range old.Members {
		j, found := indexByName[u.Name]
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

// ownerAfterJoins returns the one of owner and joiners with the highest score for
// the shard; of equal scores, the lowest index. All are member indexes.
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

// Pick returns the n hosts with the highest rendezvous score for key, highest first, or
// all if there are no more than n. Entry hosts use it to divide work such as sending
// grants: with the same list of hosts, they pick the same ones.
func Pick(key string, hosts []string, n int) []string {
	type scored struct {
		name  string
		score float64
	}
	keyHash := xxhash.Sum64String(key)
	all := make([]scored, len(hosts))
	for i, host := range hosts {
		all[i] = scored{host, score(keyHash, xxhash.Sum64String(host), 1)}
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
