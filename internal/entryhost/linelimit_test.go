package entryhost

import (
	"testing"
	"time"
)

// Guards against a log that grows with the requests that callers have refused.
func TestLinesOfRefusedRequestsAreBounded(t *testing.T) {
	l, now := &lineLimit{}, time.Unix(1000, 0)
	logged := 0
	for range 10 * maxRefusedLinesPerSecond {
		if ok, _ := l.allow(now); ok {
			logged++
		}
	}
	if logged != maxRefusedLinesPerSecond {
		t.Errorf("%d lines in a second", logged)
	}
	if ok, leftOut := l.allow(now.Add(time.Second)); !ok || leftOut != 9*maxRefusedLinesPerSecond {
		t.Errorf("next line: %v, %d left out", ok, leftOut)
	}
}
