package entryhost

import (
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/planner"
)

// plannerLines names the line logged for each kind of planner event.
var plannerLogLines = map[planner.EventKind]struct {
	number int
	text   string
}{
	planner.LeaseAcquired:  {events.PlannerLeaseAcquired, "planner's seat taken"},
	planner.LeaseLost:      {events.PlannerLeaseLost, "planner's seat lost"},
	planner.TermStarted:    {events.PlannerTermStarted, "planner's term started"},
	planner.TermEnded:      {events.PlannerTermEnded, "planner's term ended"},
	planner.TableRecorded:  {events.OwnershipRecorded, "ownership recorded"},
	planner.RecordConflict: {events.OwnershipConflict, "ownership record lost a race"},
	planner.UpstreamLost:   {events.OwnerLost, "upstream answers no grants; its keys move once its grants have run out"},
	planner.GrantRejected:  {events.GrantRejected, "grant refused"},
	planner.ReleaseFailed:  {events.ReleaseFailed, "release failed"},
}

// logPlannerEvent logs a change of the planner's belief.
func (c *controller) logPlannerEvent(e planner.Event) {
	line := plannerLogLines[e.Kind]
	fields := []zap.Field{zap.Int("event", line.number)}
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
	if e.Err != nil {
		fields = append(fields, ErrorField(e.Err))
	}
	c.zl.Info(line.text, fields...)
}
