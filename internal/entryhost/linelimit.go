package entryhost

import (
	"sync"
	"time"
)

// maxRefusedLinesPerSecond bounds the log lines of refused requests, which callers can cause at any rate.
const maxRefusedLinesPerSecond = 100

// lineLimit bounds log lines per second.
type lineLimit struct {
	mu      sync.Mutex
	second  time.Time
	lines   int
	leftOut int64
}

// allow reports whether a line may be logged now, and how many were left out before it.
func (l *lineLimit) allow(now time.Time) (ok bool, leftOut int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= maxRefusedLinesPerSecond {
		l.leftOut++
		return false, 0
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return true, leftOut
}
