package catalogue

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// A life's ID tells its server and its start, whatever the server is called.
func TestLifeIDTellsServerAndStart(t *testing.T) {
	p := gopter.NewProperties(nil)
	server := gen.OneGenOf(gen.AlphaString(), gen.AnyString(), gen.OneConstOf("a@b", "a@7", "@", ""))
	p.Property("server and start are found again", prop.ForAll(func(server string, start int64) bool {
		id := LifeID(server, start)
		return ServerOf(id) == server && StartOf(id) == start
	}, server, gen.Int64Range(0, 1<<45)))
	p.TestingRun(t)
}

func TestLaterLifeSucceedsAnEarlierOne(t *testing.T) {
	for _, c := range []struct {
		life, old string
		want      bool
	}{
		{LifeID("a", 2), LifeID("a", 1), true},
		{LifeID("a", 1), LifeID("a", 0), true},
		{LifeID("a", 1), LifeID("a", 1), false},
		{LifeID("a", 1), LifeID("a", 2), false},
		{LifeID("b", 2), LifeID("a", 1), false},
	} {
		if got := Succeeds(c.life, c.old); got != c.want {
			t.Errorf("Succeeds(%q, %q) = %v", c.life, c.old, got)
		}
	}
}
