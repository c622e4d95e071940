package bodybudget

import (
	"errors"
	"testing"
)

// Guards against one upstream's responses that use the memory for those of others, and against memory that
// is not given back.
func TestResponsesShareMemory(t *testing.T) {
	const largest = 1 << 20
	r := NewResponses(64, largest) // 8 MiB, of which 2 MiB for an upstream
	one, other := r.Reserve("u1"), r.Reserve("u1")
	if err := one.Grow(2 << 20); err != nil {
		t.Fatal(err)
	}
	if err := other.Grow(1); !errors.Is(err, ErrUpstreamShare) {
		t.Errorf("beyond the upstream's share: %v", err)
	}
	for _, id := range []string{"u2", "u3", "u4"} {
		if err := r.Reserve(id).Grow(2 << 20); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	if err := r.Reserve("u5").Grow(1); !errors.Is(err, ErrHostLimit) {
		t.Errorf("beyond the host's limit: %v", err)
	}
	one.Release()
	one.Release()
	if got := r.InUse(); got != 6<<20 {
		t.Errorf("%d bytes in use after a release", got)
	}
	if err := other.Grow(2 << 20); err != nil {
		t.Errorf("after a release: %v", err)
	}
	var unbounded *Responses
	if err := unbounded.Reserve("u1").Grow(1 << 40); err != nil {
		t.Errorf("without a budget: %v", err)
	}
}
