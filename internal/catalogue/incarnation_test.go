package catalogue

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// ServerID and StartUnixMilli must return what was passed to IncarnationID, also
// for servers whose own ID contains the separator.
func TestIncarnationIDEncodesServerAndStart(t *testing.T) {
	p := gopter.NewProperties(nil)
	server := gen.OneGenOf(gen.AlphaString(), gen.AnyString(), gen.OneConstOf("a@b", "a@7", "@", ""))
	p.Property("server and start round-trip", prop.ForAll(func(server string, start int64) bool {
		id := IncarnationID(server, start)
		return ServerID(id) == server && StartUnixMilli(id) == start
	}, server, gen.Int64Range(0, 1<<45)))
	p.TestingRun(t)
}

func TestIsLaterIncarnation(t *testing.T) {
	for _, c := range []struct {
		id, old string
		want    bool
	}{
		{IncarnationID("a", 2), IncarnationID("a", 1), true},
		{IncarnationID("a", 1), IncarnationID("a", 0), true},
		{IncarnationID("a", 1), IncarnationID("a", 1), false},
		{IncarnationID("a", 1), IncarnationID("a", 2), false},
		{IncarnationID("b", 2), IncarnationID("a", 1), false},
	} {
		if got := IsLaterIncarnation(c.id, c.old); got != c.want {
			t.Errorf("IsLaterIncarnation(%q, %q) = %v", c.id, c.old, got)
		}
	}
}
