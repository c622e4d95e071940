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

// fleetUnderTest is a running loopback fleet on which commands run.
type fleetUnderTest struct {
	t           *testing.T
	fleet       *loopback.Fleet
	targetNames []string
	writeCount  int
	writes      []writeResult
	killed      map[int]bool
}

// writeResult is one write with the response that its caller got. checkRuns
// compares all of them with what the targets ran.
type writeResult struct {
	key, idempotencyKey string
	status              int
	outcome             refusal.Outcome
}

var modelKeys = []string{"sheet-1", "sheet-2", "sheet-3", "booking-9"}

// writeCmd sends a write with a new idempotency key through one host.
type writeCmd struct{ key, host int }

func (c writeCmd) Run(sut commands.SystemUnderTest) commands.Result {
	s := sut.(*fleetUnderTest)
	s.writeCount++
	idempotencyKey := fmt.Sprintf("op-%d", s.writeCount)
	r := call(s.t, http.MethodPost, s.fleet.Hosts[c.host].URL+"/routeboard/"+modelKeys[c.key], idempotencyKey)
	if r.status == http.StatusOK && r.body.Key != modelKeys[c.key] {
		s.t.Errorf("caller for %s received the response for %s", modelKeys[c.key], r.body.Key)
	}
	w := writeResult{key: modelKeys[c.key], idempotencyKey: idempotencyKey, status: r.status, outcome: r.refusal.Outcome}
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
	return fmt.Sprintf("write(%s via host %d)", modelKeys[c.key], c.host)
}

// toggleCmd kills a running target, or restarts a killed one without its state,
// like a replaced process.
type toggleCmd struct{ target int }

func (c toggleCmd) Run(sut commands.SystemUnderTest) commands.Result {
	s := sut.(*fleetUnderTest)
	tg := s.fleet.Targets[s.targetNames[c.target]]
	if s.killed[c.target] {
		if err := tg.Start(); err != nil {
			s.t.Errorf("restart %s: %v", s.targetNames[c.target], err)
		}
	} else {
		tg.Kill()
	}
	s.killed[c.target] = !s.killed[c.target]
	return nil
}
func (c toggleCmd) NextState(st commands.State) commands.State { return st }
func (c toggleCmd) PreCondition(commands.State) bool           { return true }
func (c toggleCmd) PostCondition(commands.State, commands.Result) *gopter.PropResult {
	return gopter.NewPropResult(true, "")
}
func (c toggleCmd) String() string { return fmt.Sprintf("toggle(target %d)", c.target) }

// Runs random sequences of writes, target kills and target restarts on a fleet with
// two entry hosts. Afterwards no write may have run more than once over all
// targets, and one refused with outcome not_run must not have run on any.
func TestRandomWritesRunAtMostOnce(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 2)
	names := make([]string, 0, len(f.Manifest.Services[0].Upstreams))
	for _, u := range f.Manifest.Services[0].Upstreams {
		names = append(names, u.Name)
	}
	sut := &fleetUnderTest{t: t, fleet: f, targetNames: names, killed: map[int]bool{}}
	cmds := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return sut },
		DestroySystemUnderTestFunc: func(commands.SystemUnderTest) {
			for i, n := range names {
				if err := f.Targets[n].Start(); err != nil {
					t.Errorf("restart %s: %v", n, err)
				}
				sut.killed[i] = false
			}
		},
		InitialStateGen: gen.Const(struct{}{}),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.Weighted([]gen.WeightedGen{
				{Weight: 6, Gen: gopter.CombineGens(gen.IntRange(0, len(modelKeys)-1), gen.IntRange(0, 1)).
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
	props.Property("every refused write has an outcome", commands.Prop(cmds))
	props.TestingRun(t)
	checkRuns(t, f, sut.writes)
}

// checkRuns checks each write against the runs counted by all targets, those before
// their restarts included: a write ran at most once, exactly once if its response was
// 200, and never if it was refused with outcome not_run.
func checkRuns(t *testing.T, f *loopback.Fleet, writes []writeResult) {
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
			t.Fatalf("%s on %s got 200 but ran %d times", w.idempotencyKey, w.key, runs)
		case w.outcome == refusal.NotRun && runs != 0:
			t.Fatalf("%s on %s refused with outcome not_run but ran", w.idempotencyKey, w.key)
		}
		if w.outcome == refusal.NotRun {
			notRun++
		}
	}
	t.Logf("%d writes checked, %d refused with outcome not_run, %d got 200", len(writes), notRun, countOK(writes))
}

// countOK returns how many writes got 200.
func countOK(writes []writeResult) int {
	n := 0
	for _, w := range writes {
		if w.status == http.StatusOK {
			n++
		}
	}
	return n
}
