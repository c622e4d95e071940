package entryhost

import (
	"testing"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/settings"
	"github.com/papayatide/papayatide/internal/standin/memstore"
)

// A host that does not pass its memory on limits no bodies at all.
func TestBodyBudgetIsAnEighthOfTheHostsMemory(t *testing.T) {
	h := newHost(&settings.EntryHost{Host: "h", DataCentre: "dc", MemoryMB: 144}, Platform{Store: memstore.New(), Headers: testHeaders}, zap.NewNop())
	if got := h.dispatch.BodyStats().HostLimit; got != 18<<20 {
		t.Errorf("budget of %d bytes", got)
	}
}
