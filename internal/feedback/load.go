package feedback

import (
	"math"
	"strconv"
	"strings"
)

// Load is an upstream's load at the time of a response, by its own report.
type Load struct {
	// Running and Waiting are its requests in work and in its queue, Slots how many it can
	// work on at once; at least 1 in a valid report.
	Running, Waiting, Slots int
	// WorkFactor is how long work takes at this moment relative to normal.
	WorkFactor float64
}

const (
	// maxLoadCount bounds the counts in a load report; a higher one is taken for an error.
	maxLoadCount = 100_000
	// minWorkFactor and maxWorkFactor bound WorkFactor, so that one report can neither attract
	// all requests nor repel them all.
	minWorkFactor, maxWorkFactor = 0.1, 10
	// loadFields is the number of figures that a report must have; further ones are ignored.
	loadFields = 4
	// normalWorkFactor is the figure in a report for work that takes as long as normal.
	normalWorkFactor = 100
)

// Known reports whether the upstream reported its load.
func (l Load) Known() bool { return l.Slots > 0 }

// HasRoom reports whether the upstream has free slots or a queue well below full. Reports do not
// state how long the queue may get; fewer requests than slots are taken to be well below that.
func (l Load) HasRoom() bool {
	return l.Known() && (l.Running < l.Slots || l.Waiting < l.Slots)
}

// decodeLoad parses a load report: running and waiting requests, slots, and how long work takes
// in hundredths of normal, separated by commas. It returns the zero value for malformed reports.
func decodeLoad(v string) Load {
	fields := strings.SplitN(v, ",", loadFields+1)
	if len(fields) < loadFields {
		return Load{}
	}
	var counts [loadFields - 1]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 || n > maxLoadCount {
			return Load{}
		}
		counts[i] = n
	}
	factor, ok := parseNonNegative(fields[loadFields-1])
	if !ok || factor == 0 || counts[2] == 0 || math.IsNaN(factor) {
		return Load{}
	}
	return Load{Running: counts[0], Waiting: counts[1], Slots: counts[2], WorkFactor: min(max(factor/normalWorkFactor, minWorkFactor), maxWorkFactor)}
}
