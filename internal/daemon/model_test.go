package daemon_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/papayatide/papayatide/internal/refusal"
	"github.com/papayatide/papayatide/internal/standin/loopback"
)

// fleetUnderTest is a running loopback fleet driven by commands.
type fleetUnderTest struct {
	t          *testing.T
	fleet      *loopback.Fleet
	targets    []string
	writeCount int
	writes     []writeResult
	stopped    map[int]bool
}

// writeResult is one write and what its caller was told; the oracle is
// the list of them, checked against what the targets ran.
type writeResult struct {
	key, idempotencyKey string
	status              int
	outcome             refusal.Outcome
}

var fuzzKeys = []string{"sheet-1", "sheet-2", "sheet-3", "booking-9"}

// writeCmd sends a charge with a fresh idempotency key through one host.
type writeCmd struct{ key, host int }

func (c writeCmd) Run(sut commands.SystemUnderTest) commands.Result {
	s := sut.(*fleetUnderTest)
	s.writeCount++
	idem := fmt.Sprintf("op-%d", s.writeCount)
	r := call(s.t, http.MethodPost, s.fleet.Hosts[c.host].URL+"/routeboard/"+fuzzKeys[c.key], idem)
	if r.status == http.StatusOK && r.body.Key != fuzzKeys[c.key] {
		s.t.Errorf("caller for %s got the answer for %s", fuzzKeys[c.key], r.body.Key)
	}
	w := writeResult{key: fuzzKeys[c.key], idempotencyKey: idem, status: r.status, outcome: r.refusal.Outcome}
	s.writes = append(s.writes, w)
	return w
}
func (c writeCmd) NextState(st commands.State) commands.State { return st }
func (c writeCmd) PreCondition(commands.State) bool           { return true }
func (c writeCmd) PostCondition(st commands.State, res commands.Result) *gopter.PropResult {
	w := res.(writeResult)
	if w.status != http.StatusOK && w.outcome != refusal.NotRun && w.outcome != refusal.Unknown {
		return gopter.NewPropResult(false, fmt.Sprintf("refusal without an outcome: %+v", w))
	}
	return gopter.NewPropResult(true, "")
}
func (c writeCmd) String() string {
	return fmt.Sprintf("write(%s via host %d)", fuzzKeys[c.key], c.host)
}

// toggleCmd kills a running target, or restarts a killed one with fresh
// state, as a replaced process would come back.
type toggleCmd struct{ target int }

func (c toggleCmd) Run(sut commands.SystemUnderTest) commands.Result {
	s := sut.(*fleetUnderTest)
	tg := s.fleet.Targets[s.targets[c.target]]
	if s.stopped[c.target] {
		if err := tg.Start(); err != nil {
			s.t.Errorf("restart %s: %v", s.targets[c.target], err)
		}
	} else {
		tg.Kill()
	}
	s.stopped[c.target] = !s.stopped[c.target]
	return nil
}
func (c toggleCmd) NextState(st commands.State) commands.State { return st }
func (c toggleCmd) PreCondition(commands.State) bool           { return true }
func (c toggleCmd) PostCondition(commands.State, commands.Result) *gopter.PropResult {
	return gopter.NewPropResult(true, "")
}
func (c toggleCmd) String() string { return fmt.Sprintf("toggle(target %d)", c.target) }

// TestFleetAgainstOracle runs random writes, target kills and restarts
// against a live loopback fleet (two entry hosts, three upstreams). After
// each sequence, for every write: a caller told "not run" finds it ran on
// no target, and no write ran more than once anywhere.
func TestFleetAgainstOracle(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 2)
	names := make([]string, 0, len(f.Manifest.Services[0].Upstreams))
	for _, u := range f.Manifest.Services[0].Upstreams {
		names = append(names, u.Name)
	}
	sut := &fleetUnderTest{t: t, fleet: f, targets: names, stopped: map[int]bool{}}
	cmds := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return sut },
		DestroySystemUnderTestFunc: func(commands.SystemUnderTest) {
			for i, n := range names {
				if err := f.Targets[n].Start(); err != nil {
					t.Errorf("restart %s: %v", n, err)
				}
				sut.stopped[i] = false
			}
		},
		InitialStateGen: gen.Const(struct{}{}),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.Weighted([]gen.WeightedGen{
				{Weight: 6, Gen: gopter.CombineGens(gen.IntRange(0, len(fuzzKeys)-1), gen.IntRange(0, 1)).
					Map(func(v []any) commands.Command { return writeCmd{key: v[0].(int), host: v[1].(int)} })},
				{Weight: 2, Gen: gen.IntRange(0, len(names)-1).
					Map(func(v int) commands.Command { return toggleCmd{target: v} })},
			})
		},
	}
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 15
	params.MaxSize = 25
	props := gopter.NewProperties(params)
	props.Property("writes keep their promises", commands.Prop(cmds))
	props.TestingRun(t)
	checkExecutions(t, f, sut.writes)
}

// checkExecutions asserts the oracle over every write sent: none ran more than
// once over all targets and their restarts; one answered 200 ran once; one
// refused as not run ran nowhere.
func checkExecutions(t *testing.T, f *loopback.Fleet, writes []writeResult) {
	t.Helper()
	notRun := 0
	for _, w := range writes {
		var runs int64
		for _, tg := range f.Targets {
			runs += tg.Runs("routeboard", w.key, w.idempotencyKey)
		}
		switch {
		case runs > 1:
			t.Fatalf("%s on %s ran %d times", w.idempotencyKey, w.key, runs)
		case w.status == http.StatusOK && runs != 1:
			t.Fatalf("%s on %s answered 200 but ran %d times", w.idempotencyKey, w.key, runs)
		case w.outcome == refusal.NotRun && runs != 0:
			t.Fatalf("%s on %s refused as not run but ran", w.idempotencyKey, w.key)
		}
		if w.outcome == refusal.NotRun {
			notRun++
		}
	}
	t.Logf("%d writes checked, %d refused as not run, %d answered", len(writes), notRun, countOK(writes))
}

func countOK(writes []writeResult) int {
	n := 0
	for _, w := range writes {
		if w.status == http.StatusOK {
			n++
		}
	}
	return n
}
