package ingress

import "testing"

// Guards against limits that leave no descriptors for upstreams, other hosts and the log service, or allow
// more connections than fit into the memory.
func TestLimitsLeaveRoom(t *testing.T) {
	for _, memoryMB := range []int{16, 64, 144, 184, 284, 536} {
		for _, descriptors := range []int{64, 256, 1024, 3075, 4100, 10250, 1 << 20} {
			l := NewLimits(memoryMB, descriptors)
			if l.Callers < 1 || l.Peers < 1 || l.Other < 1 {
				t.Errorf("%d MB, %d descriptors: %+v", memoryMB, descriptors, l)
			}
			if descriptors >= 256 && l.Callers+l.Lingering+minOther > descriptors/2 {
				t.Errorf("%d MB, %d descriptors: callers may use more than half: %+v", memoryMB, descriptors, l)
			}
			if int64(l.Callers)*bytesPerConn > int64(memoryMB)<<20/connMemoryShare {
				t.Errorf("%d MB, %d descriptors: %d connections", memoryMB, descriptors, l.Callers)
			}
		}
	}
}
