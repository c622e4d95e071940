package entryhost

import (
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/planner"
)

// plannerLogLines holds the event number and message logged for each kind of
// planner event.
var plannerLogLines = map[planner.EventKind]struct {
	event   int
	message string
}{
	planner.LeaseAcquired:  {events.PlannerLeaseAcquired, "planner lease acquired"},
	planner.LeaseLost:      {events.PlannerLeaseLost, "planner lease lost"},
	planner.TermStarted:    {events.PlannerTermStarted, "planner term started"},
	planner.TermEnded:      {events.PlannerTermEnded, "planner term ended"},
	planner.TableRecorded:  {events.OwnershipRecorded, "ownership recorded"},
	planner.RecordConflict: {events.OwnershipConflict, "ownership append conflicted with another record"},
	planner.UpstreamLost:   {events.OwnerLost, "upstream lost: it does not respond to grants; its keys move once its grants have expired"},
	planner.GrantRejected:  {events.GrantRejected, "grant rejected"},
	planner.ReleaseFailed:  {events.ReleaseFailed, "release failed"},
	planner.MoveBlocked:    {events.MoveBlocked, "released keys wait for their next owner"},
	planner.MoveAwaitsGrants: {events.MoveAwaitsGrants,
		"keys of an owner that does not respond wait for grants that a previous planner may have sent"},
}

// logPlannerEvent logs a planner event.
func (c *controller) logPlannerEvent(e planner.Event) {
	line := plannerLogLines[e.Kind]
	fields := []zap.Field{zap.Int("event", line.event)}
	if e.Service != "" {
		fields = append(fields, zap.String("service", e.Service))
	}
	if e.Upstream != "" {
		fields = append(fields, zap.String("peer", e.Upstream))
	}
	if e.Table != nil {
		fields = append(fields, zap.Int64("term", e.Table.Term), zap.Int64("fence", e.Table.MaxFencingToken), zap.Int("ranges", len(e.Table.Ranges)))
	}
	if e.Cause != "" {
		fields = append(fields, zap.String("cause", e.Cause))
	}
	if e.Suppressed > 0 {
		fields = append(fields, zap.Int("untold", e.Suppressed))
	}
	if e.Age != 0 {
		fields = append(fields, zap.Duration("age", e.Age))
	}
	if e.Remaining != 0 {
		fields = append(fields, zap.Duration("remaining", e.Remaining))
	}
	if e.Err != nil {
		fields = append(fields, ErrorField(e.Err))
	}
	c.zl.Info(line.message, fields...)
}
