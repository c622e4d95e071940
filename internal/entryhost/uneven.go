package entryhost

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
)

var (
	silentUpstreams = metrics.NewCounter(`papayatide_silent_upstreams_total`)
	silenceNotices  = metrics.NewCounter(`papayatide_silence_notices_total`)
)

// limitedLogInterval is the least time between two lines of a limitedLogger.
const limitedLogInterval = time.Second

// limitedLogger logs events of one kind, which requests trigger, at most one a limitedLogInterval.
type limitedLogger struct {
	zl *zap.Logger

	mu         sync.Mutex
	loggedAt   time.Time
	suppressed int
}

// onSilent is the picker's OnSilent.
func (l *limitedLogger) onSilent(id string) {
	silentUpstreams.Inc()
	l.log("upstream is silent; sending elsewhere", events.UpstreamSilent, id, time.Now())
}

// onSilenceNotice is the picker's OnSilenceNotice.
func (l *limitedLogger) onSilenceNotice(id string, silence time.Duration) {
	silenceNotices.Inc()
	l.log("upstream responds to no host; sending elsewhere", events.UpstreamSilentToAll, id, time.Now(), zap.Duration("silent_for", silence))
}

func (l *limitedLogger) log(message string, event int, id string, now time.Time, fields ...zap.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < limitedLogInterval {
		l.suppressed++
		return
	}
	l.zl.Info(message, append(fields, zap.Int("event", event), zap.String("peer", id), zap.Int("untold", l.suppressed))...)
	l.loggedAt, l.suppressed = now, 0
}

// writeWorkGauges writes the number of upstreams that are silent by notices, and the expected work
// of the classes of competing services.
func (h *host) writeWorkGauges(w io.Writer, now time.Time) {
	metrics.WriteGaugeUint64(w, "papayatide_upstreams_noticed_silent", uint64(h.picker.NoticedSilences(now)))
	st := h.views.Load().Desired
	if st == nil {
		return
	}
	for name := range st.Services {
		if !st.Competing(name) {
			continue
		}
		for _, class := range st.Classes(name) {
			work, known := h.picker.ExpectedWork(class, now)
			if !known {
				continue
			}
			label := `{service="` + name + `",priority="` + strconv.Itoa(class.Priority) + `",objective_ms="` + strconv.FormatInt(class.Objective.Milliseconds(), 10) + `"}`
			metrics.WriteGaugeFloat64(w, "papayatide_class_work_seconds"+label, work.Seconds())
		}
	}
}
