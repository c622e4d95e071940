package ownership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// randomSuccessor returns the table after random moves, a change of the lost
// owners or a change of planner.
func randomSuccessor(t *Table, rng *rand.Rand) *Table {
	switch rng.IntN(8) {
	case 0:
		return t.TakeOver(fmt.Sprint("h", rng.IntN(3)), "a:1", 0)
	case 1:
		return t.WithLost([]string{fmt.Sprint("u", rng.IntN(9))})
	}
	var moves []Move
	step := KeySpaceSize / 5
	for i := range 1 + rng.IntN(5) {
		from := i*step + rng.IntN(step/2)
		to := min(from+rng.IntN(step/2), KeySpaceSize-1)
		moves = append(moves, Move{From: from, To: to, NewOwner: fmt.Sprint("u", rng.IntN(9)), HandoverToken: fmt.Sprint(rng.IntN(3))})
	}
	return t.Apply(moves)
}

// Hosts receive deltas instead of whole tables. Deltas may be lost, duplicated,
// late or out of order, and may span several records and planners. Apply must
// give exactly the planner's table or fail with ErrDigestMismatch: with a wrong
// table a host would send requests to upstreams that do not own their keys.
func TestDeltaGivesTheExactTableOrFails(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 100
	p := gopter.NewProperties(params)
	p.Property("same table or ErrDigestMismatch", prop.ForAll(func(seed uint64) (string, error) {
		rng := rand.New(rand.NewPCG(seed, 7))
		history := []*Table{NewTable("s")}
		for range 30 {
			history = append(history, randomSuccessor(history[len(history)-1], rng))
		}
		current := 0
		for range 60 {
			from, to := rng.IntN(len(history)), rng.IntN(len(history))
			data, err := Diff(history[from], history[to]).Encode()
			if err != nil {
				return "", err
			}
			d, err := DecodeDelta(data)
			if err != nil {
				return "", err
			}
			got, err := d.Apply(history[current])
			switch {
			case from == current && (err != nil || !reflect.DeepEqual(got, history[to])):
				return fmt.Sprintf("delta from table %d to %d: %v", from, to, err), nil
			case from != current && !errors.Is(err, ErrDigestMismatch):
				return fmt.Sprintf("delta from table %d was applied to table %d", from, current), nil
			case from == current:
				current = to
			}
		}
		return "", nil
	}, gen.UInt64()))
	p.TestingRun(t)
}

// Every field of a table must affect its digest: a field that does not could
// differ on a host permanently and unnoticed.
func TestDigestCoversEveryField(t *testing.T) {
	base := NewTable("s").TakeOver("h", "a:1", 0).Apply([]Move{{From: 10, To: 20, NewOwner: "u"}})
	seen := map[uint64]string{base.Digest(): "unchanged"}
	check := func(name string, changed *Table) {
		if other, ok := seen[changed.Digest()]; ok {
			t.Errorf("%s has the same digest as %s", name, other)
		}
		seen[changed.Digest()] = name
	}
	typ := reflect.TypeFor[Table]()
	for i := range typ.NumField() {
		changed := *base
		setDifferentValue(t, reflect.ValueOf(&changed).Elem().Field(i))
		check("Table."+typ.Field(i).Name, &changed)
	}
	typ = reflect.TypeFor[Range]()
	for i := range typ.NumField() {
		changed := base.cloneWithPlanner(base.Planner, base.PlannerAddr)
		setDifferentValue(t, reflect.ValueOf(&changed.Ranges[0]).Elem().Field(i))
		check("Range."+typ.Field(i).Name, changed)
	}
}

// setDifferentValue sets a field to a value other than its present one.
func setDifferentValue(t *testing.T, f reflect.Value) {
	t.Helper()
	switch f.Kind() {
	case reflect.String:
		f.SetString(f.String() + "x")
	case reflect.Int, reflect.Int64:
		f.SetInt(f.Int() + 1000)
	case reflect.Bool:
		f.SetBool(!f.Bool())
	case reflect.Slice:
		f.Set(reflect.Append(reflect.MakeSlice(f.Type(), 0, 1), reflect.Zero(f.Type().Elem())))
	default:
		t.Fatalf("setDifferentValue does not support a field of kind %v", f.Kind())
	}
}

// BenchmarkChange measures a host's cost of receiving a change of three ranges in
// a table of 900, as a whole table ("whole") and as a Delta ("change").
func BenchmarkChange(b *testing.B) {
	var moves []Move
	for i := range 900 {
		moves = append(moves, Move{From: i * 72, To: i*72 + 71, NewOwner: fmt.Sprintf("i-%010x", i*7919), HandoverToken: fmt.Sprintf("%016x", i*104729)})
	}
	old := NewTable("s").Apply(moves)
	next := old.Apply([]Move{{From: 100, To: 120, NewOwner: "a"}, {From: 900, To: 950, NewOwner: "b"}, {From: 9000, To: 9100, NewOwner: "c"}})
	whole, err := next.Encode()
	if err != nil {
		b.Fatal(err)
	}
	delta, err := Diff(old, next).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			if _, err := Decode(whole); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(whole)), "bytes")
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			d, err := DecodeDelta(delta)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := d.Apply(old); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(delta)), "bytes")
	})
}
