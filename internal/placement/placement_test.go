package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/papayatide/papayatide/internal/manifest"
)

const testUpstreams = 12

func testService() *manifest.Service {
	m := manifest.Generate("t", []string{"a"}, []manifest.ServiceSpec{{Name: "svc", Upstreams: testUpstreams}}, 3, 10, 1)
	m.Services[0].Shards = 512
	// Uneven weights, so that a wrong use of weights shows.
	for i := range m.Services[0].Upstreams {
		m.Services[0].Upstreams[i].Slots = 1 + i%3
	}
	return &m.Services[0]
}

// placementSystem is the system under test: the current assignment, which each
// membership change replaces as the control loop does.
type placementSystem struct {
	svc    *manifest.Service
	assign *Assignment
	epoch  int64
}

// oracleState is the reference model: the set of members.
type oracleState struct{ members map[string]bool }

func (o oracleState) sorted() []string {
	var out []string
	for n := range o.members {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// memberChange is a test command in which one upstream joins or leaves.
type memberChange struct {
	name string
	join bool
}

func (c memberChange) Run(sut commands.SystemUnderTest) commands.Result {
	s := sut.(*placementSystem)
	var members []string
	for _, m := range s.assign.Members {
		if m.Name != c.name {
			members = append(members, m.Name)
		}
	}
	if c.join {
		members = append(members, c.name)
	}
	old := s.assign
	s.epoch++
	s.assign = Update(old, s.svc, members, s.epoch, nil, 0)
	return [3]*Assignment{old, s.assign, Assign(s.svc, members, s.epoch)}
}

func (c memberChange) NextState(state commands.State) commands.State {
	o := state.(oracleState)
	next := map[string]bool{}
	for n := range o.members {
		next[n] = true
	}
	if c.join {
		next[c.name] = true
	} else {
		delete(next, c.name)
	}
	return oracleState{next}
}

func (c memberChange) PreCondition(commands.State) bool { return true }

// PostCondition checks that after a change each shard is owned by a member, that
// the incremental update gives the same owners as a full computation (or hosts with
// different histories would disagree), and that shards move only from the leaving
// or to the joining member.
func (c memberChange) PostCondition(state commands.State, result commands.Result) *gopter.PropResult {
	o := state.(oracleState)
	r := result.([3]*Assignment)
	old, next, fresh := r[0], r[1], r[2]
	if got := names(next.Members); !slices.Equal(got, o.sorted()) {
		return &gopter.PropResult{Status: gopter.PropFalse, Error: fmt.Errorf("members %v, oracle %v", got, o.sorted())}
	}
	for shard := 0; shard < next.Shards(); shard++ {
		owner := next.Owner(shard)
		if (owner == nil) != (len(o.members) == 0) || (owner != nil && !o.members[owner.Name]) {
			return &gopter.PropResult{Status: gopter.PropFalse, Error: fmt.Errorf("shard %d owner %v not a member", shard, owner)}
		}
		if f := fresh.Owner(shard); (f == nil) != (owner == nil) || (f != nil && f.Name != owner.Name) {
			return &gopter.PropResult{Status: gopter.PropFalse, Error: fmt.Errorf("shard %d: updated owner %v, fresh %v", shard, owner, f)}
		}
		previous := old.Owner(shard)
		if previous == nil || owner == nil || previous.Name == owner.Name {
			continue
		}
		if c.join && owner.Name != c.name {
			return &gopter.PropResult{Status: gopter.PropFalse, Error: fmt.Errorf("join of %s moved shard %d %s->%s", c.name, shard, previous.Name, owner.Name)}
		}
		if !c.join && previous.Name != c.name {
			return &gopter.PropResult{Status: gopter.PropFalse, Error: fmt.Errorf("leave of %s moved shard %d %s->%s", c.name, shard, previous.Name, owner.Name)}
		}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (c memberChange) String() string { return fmt.Sprintf("change(%s, join=%v)", c.name, c.join) }

func names(us []manifest.Upstream) []string {
	out := make([]string, len(us))
	for i, u := range us {
		out[i] = u.Name
	}
	return out
}

// TestPlacementAgainstOracle applies random joins and leaves to an assignment and
// checks it against the set of members after each one.
func TestPlacementAgainstOracle(t *testing.T) {
	svc := testService()
	all := svc.UpstreamNames()
	cmds := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(initial commands.State) commands.SystemUnderTest {
			return &placementSystem{svc: svc, assign: Assign(svc, initial.(oracleState).sorted(), 0)}
		},
		InitialStateGen: gen.SliceOfN(testUpstreams, gen.Bool()).Map(func(in []bool) oracleState {
			o := oracleState{map[string]bool{}}
			for i, b := range in {
				if b {
					o.members[all[i]] = true
				}
			}
			return o
		}),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(gen.IntRange(0, testUpstreams-1), gen.Bool()).Map(func(v []any) commands.Command {
				return memberChange{name: all[v[0].(int)], join: v[1].(bool)}
			})
		},
	}
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 200
	props := gopter.NewProperties(params)
	props.Property("placement matches the oracle", commands.Prop(cmds))
	props.TestingRun(t)
}

// TestHomesAreDataCentresWithUpstreams checks that every shard's home is a data
// centre that has upstreams of the service, and that each of these is home to some
// shards. In any other data centre a shard would never have an owner.
func TestHomesAreDataCentresWithUpstreams(t *testing.T) {
	m := manifest.Generate("t", []string{"a", "b", "c"}, []manifest.ServiceSpec{{Name: "svc", Upstreams: 2}}, 3, 10, 1)
	homes := Homes(&m.Services[0], m.DataCentres)
	counts := map[uint8]int{}
	for _, h := range homes {
		counts[h]++
	}
	if counts[2] != 0 || counts[0] == 0 || counts[1] == 0 {
		t.Fatalf("homes per data centre %v: want shards only in a and b", counts)
	}
}
