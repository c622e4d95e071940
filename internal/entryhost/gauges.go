package entryhost

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayatide/papayatide/internal/metastore"
)

// writeGauges writes this host's current state to the metrics page. Service
// names are the only label values; the desired state has few of them.
func (h *host) writeGauges(w io.Writer, now time.Time) {
	metrics.WriteGaugeUint64(w, "papayatide_in_flight_requests", uint64(h.inFlight.Load()))
	newest, behind := h.versions.behind(now)
	metrics.WriteGaugeUint64(w, "papayatide_desired_version", uint64(h.desiredVersion()))
	metrics.WriteGaugeUint64(w, "papayatide_desired_version_newest", uint64(newest))
	metrics.WriteGaugeFloat64(w, "papayatide_desired_version_behind_seconds", behind.Seconds())
	metrics.WriteGaugeFloat64(w, "papayatide_view_age_seconds", h.controller.replica.Age(now).Seconds())
	metrics.WriteGaugeUint64(w, "papayatide_log_era", uint64(h.controller.replica.Next(metastore.StreamOperators).Era))
	metrics.WriteGaugeUint64(w, "papayatide_hosts", uint64(h.fleet.Size(now)))
	metrics.WriteGaugeUint64(w, "papayatide_planning", boolToUint64(h.controller.isPlanner.Load()))
	metrics.WriteCounterUint64(w, "papayatide_log_lines_dropped_total", uint64(h.plat.DroppedLogLines()))
	for service, t := range h.views.Load().Tables {
		owned := 0
		for _, r := range t.Ranges {
			if r.Owner != "" {
				owned++
			}
		}
		label := `{service="` + service + `"}`
		metrics.WriteGaugeUint64(w, "papayatide_ranges"+label, uint64(len(t.Ranges)))
		metrics.WriteGaugeUint64(w, "papayatide_owned_ranges"+label, uint64(owned))
		metrics.WriteGaugeUint64(w, "papayatide_lost_owners"+label, uint64(len(t.Lost)))
	}
	h.writeWorkGauges(w, now)
	h.shares.writeGauges(w, now)
	known, refused := h.controller.crashes.tracker.Counts()
	metrics.WriteGaugeUint64(w, "papayatide_contents_with_ends", uint64(known))
	metrics.WriteGaugeUint64(w, "papayatide_contents_refused", uint64(refused))
	limited, leaving := h.feedback.Counts()
	metrics.WriteGaugeUint64(w, "papayatide_upstreams_limited", uint64(limited))
	metrics.WriteGaugeUint64(w, "papayatide_upstreams_reported_leaving", uint64(leaving))
	metrics.WriteGaugeUint64(w, "papayatide_data_centres_unreachable", uint64(h.dispatch.Reachability.Unreachable()))
	metrics.WriteGaugeUint64(w, "papayatide_cut_off", boolToUint64(h.dispatch.Paths.CutOff()))
	metrics.WriteGaugeUint64(w, "papayatide_helpers", uint64(len(h.helpers.get())))
	returns := h.dispatch.ReturnCounts()
	metrics.WriteCounterUint64(w, "papayatide_returns_promised_total", returns.Promised)
	metrics.WriteCounterUint64(w, "papayatide_returns_without_place_total", returns.WithoutPlace)
	metrics.WriteCounterUint64(w, "papayatide_returns_kept_total", returns.Kept)
	bodies := h.dispatch.BodyStats()
	metrics.WriteGaugeUint64(w, "papayatide_body_bytes", uint64(bodies.HostBytes))
	metrics.WriteGaugeUint64(w, "papayatide_body_bytes_limit", uint64(bodies.HostLimit))
	metrics.WriteGaugeUint64(w, "papayatide_response_bytes", uint64(bodies.ResponseBytes))
	metrics.WriteGaugeUint64(w, "papayatide_body_bytes_at_upstreams", uint64(bodies.UpstreamBytes))
	metrics.WriteCounterUint64(w, "papayatide_bodies_streamed_for_room_total", uint64(bodies.Streamed))
	for service, left := range h.budget.Remaining(now) {
		metrics.WriteGaugeFloat64(w, `papayatide_repeats_left{service="`+service+`"}`, left)
	}
	for service, waiting := range h.dispatch.SchedulingQueues() {
		metrics.WriteGaugeUint64(w, `papayatide_competing_requests_waiting{service="`+service+`"}`, uint64(waiting))
	}
}

func boolToUint64(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
