package entryhost

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Requests find silent upstreams; when many become silent at once, that must not flood the log.
func TestSilentUpstreamsAreLoggedOnceASecond(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l, now := &silenceLogger{zl: zap.New(core)}, time.Unix(1000, 0)
	for range 50 {
		l.log("u", now)
	}
	l.log("u", now.Add(silenceLogInterval))
	if logs.Len() != 2 || logs.All()[1].ContextMap()["untold"] != int64(49) {
		t.Errorf("logged %v", logs.All())
	}
}
