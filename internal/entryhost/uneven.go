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

var silentUpstreams = metrics.NewCounter(`papayatide_silent_upstreams_total`)

// silenceLogInterval is the least time between log lines about silent upstreams, which requests
// trigger.
const silenceLogInterval = time.Second

// silenceLogger logs that upstreams have become silent.
type silenceLogger struct {
	zl *zap.Logger

	mu         sync.Mutex
	loggedAt   time.Time
	suppressed int
}

// onSilent is the picker's OnSilent.
func (l *silenceLogger) onSilent(id string) { l.log(id, time.Now()) }

func (l *silenceLogger) log(id string, now time.Time) {
	silentUpstreams.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < silenceLogInterval {
		l.suppressed++
		return
	}
	l.zl.Info("upstream is silent; sending elsewhere", zap.Int("event", events.UpstreamSilent), zap.String("peer", id), zap.Int("untold", l.suppressed))
	l.loggedAt, l.suppressed = now, 0
}

// writeWorkGauges writes the expected work of the classes of competing services.
func (h *host) writeWorkGauges(w io.Writer, now time.Time) {
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
