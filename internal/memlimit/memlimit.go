// Package memlimit sets up the garbage collector for a host's memory.
package memlimit

import "runtime/debug"

const (
	// gcPercent is below Go's default of 100: memory use is billed, and the extra
	// collections cost little CPU time.
	gcPercent = 50
	// limitFraction is the part of the host's memory allowance that is set as
	// Go's soft memory limit, above which the collector runs more often.
	limitFraction = 0.8
)

// Apply sets the collector up for a process that may use memoryMB.
func Apply(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(memoryMB) * limitFraction * (1 << 20)))
}
