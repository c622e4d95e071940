package entryhost

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/fleet"
	"github.com/papayatide/papayatide/internal/shares"
)

const (
	// maxDemandAge is the time after which counts that were not sent are dropped. The planner
	// keeps counting while it follows no host; its old counts say nothing of the demand.
	maxDemandAge = 3 * time.Second
	// roomInterval is how often the rooms are computed anew, as often as the aggregator
	// estimates work times.
	roomInterval = 250 * time.Millisecond
)

// serviceShares connects this host's gate, the demand of its callers, and the divider, which
// runs on the host that the others follow. It concerns the competing services without keys.
type serviceShares struct {
	host, dataCentre string
	zl               *zap.Logger
	gate             *shares.Gate
	divider          *shares.Divider
	// state returns the desired state in force, nil if there is none; room returns the room
	// of a service in this data centre.
	state func() *desired.State
	room  func(service string, now time.Time) shares.Room
	// promised returns how many callers of a class were told to return and have not yet.
	promised func(class desired.Class, now time.Time) int
	// onClassWork receives the expected work of each class over all hosts of the data centre.
	onClassWork func(class desired.Class, work time.Duration)

	mu sync.Mutex
	// demand is the demand since flushedAt.
	demand    map[desired.Class]shares.Demand
	flushedAt time.Time
	// ownDemandAt is when this host's demand was last recorded in its own divider.
	ownDemandAt time.Time
	rooms       map[string]shares.Room
	roomsAt     time.Time
}

func newServiceShares(host, dataCentre string, zl *zap.Logger, state func() *desired.State, room func(service string, now time.Time) shares.Room) *serviceShares {
	s := &serviceShares{host: host, dataCentre: dataCentre, zl: zl, gate: shares.NewGate(), divider: shares.NewDivider(), state: state, room: room,
		promised: func(desired.Class, time.Time) int { return 0 }, onClassWork: func(desired.Class, time.Duration) {}, demand: map[desired.Class]shares.Demand{}}
	s.divider.OnChange = s.logChange
	return s
}

// logChange logs that a service became scarce or ceased to be.
func (s *serviceShares) logChange(c shares.Change) {
	fields := []zap.Field{zap.String("service", c.Service), zap.String("data_centre", s.dataCentre),
		zap.Float64("demand", c.Demand), zap.Float64("room", c.Room), zap.Int("hosts", c.Hosts)}
	if c.Scarce {
		s.zl.Warn("service is scarce; its capacity is divided among the hosts", append(fields, zap.Int("event", events.ServiceScarce))...)
	} else {
		s.zl.Info("service is not scarce any more", append(fields, zap.Int("event", events.ServiceScarceEnded))...)
	}
}

// maxOverrun is how long after its deadline a request ends at most on a host that keeps running: the
// host cancels it then. The latency of a request during which the host was frozen, 5 s in one case,
// would raise the expected work of its class many times over.
const maxOverrun = 200 * time.Millisecond

// countRequest counts a finished or refused request as demand of its class.
func (s *serviceShares) countRequest(e *dispatch.RequestSummary) {
	state := s.state()
	if state == nil || e.Key >= 0 || !state.Competing(e.Service) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.demand[e.Class]
	d.Arrived++
	if e.Refusal == nil && e.Status < 500 && e.UpstreamTime > 0 && e.TimeLeft > -maxOverrun {
		d.Answered++
		d.Latency += e.UpstreamTime - e.ConnectTime
	}
	s.demand[e.Class] = d
	if e.Refusal != nil && e.Refusal.Cause == dispatch.CauseShare {
		metrics.GetOrCreateCounter("papayatide_share_refusals_total" + classLabels(e.Class)).Inc()
	}
}

// flushDemand returns the demand since the last call, with an entry for every class of the
// competing services without keys.
func (s *serviceShares) flushDemand(now time.Time) []shares.Demand {
	state := s.state()
	if state == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.flushedAt) > maxDemandAge {
		clear(s.demand)
	}
	s.flushedAt = now
	var out []shares.Demand
	for name, service := range state.Services {
		if service.Keyed || !state.Competing(name) {
			continue
		}
		for _, c := range state.Classes(name) {
			d := s.demand[c]
			d.Class, d.Promised = c, s.promised(c, now)
			out = append(out, d)
		}
	}
	clear(s.demand)
	return out
}

// recordDemand records the demand of a follower, and every ownStatsInterval that of this
// host, whose gate it updates. It ignores hosts of other data centres, and calls without
// demand: there are no competing services, or the follower runs an earlier build.
func (s *serviceShares) recordDemand(caller fleet.Host, demand []shares.Demand) {
	if caller.DataCentre != s.dataCentre || len(demand) == 0 {
		return
	}
	now := time.Now()
	s.divider.Record(caller.Name, demand, now)
	if s.ownDemandDue(now) {
		s.divider.Record(s.host, s.flushDemand(now), now)
		s.update(s.divider.Shares(s.host, s.currentRooms(now), now), now)
	}
}

// update applies this host's shares, and the expected work that they state.
func (s *serviceShares) update(list []shares.Share, now time.Time) {
	s.gate.Update(list, now)
	for _, share := range list {
		if share.Work > 0 {
			s.onClassWork(share.Class, share.Work)
		}
	}
}

// ownDemandDue reports whether ownStatsInterval has passed, and if so starts it anew.
func (s *serviceShares) ownDemandDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ownDemandAt) < ownStatsInterval {
		return false
	}
	s.ownDemandAt = now
	return true
}

// sharesFor returns the shares of a follower; nil for one in another data centre.
func (s *serviceShares) sharesFor(caller fleet.Host) []shares.Share {
	if caller.DataCentre != s.dataCentre {
		return nil
	}
	now := time.Now()
	return s.divider.Shares(caller.Name, s.currentRooms(now), now)
}

// currentRooms returns the rooms of the competing services without keys that have upstreams
// in this data centre.
func (s *serviceShares) currentRooms(now time.Time) map[string]shares.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state()
	if state == nil || (s.rooms != nil && now.Sub(s.roomsAt) < roomInterval) {
		return s.rooms
	}
	s.rooms, s.roomsAt = map[string]shares.Room{}, now
	for name, service := range state.Services {
		if service.Keyed || !state.Competing(name) {
			continue
		}
		if room := s.room(name, now); room.Slots > 0 {
			s.rooms[name] = room
		}
	}
	return s.rooms
}

// writeGauges writes the services that are scarce by this host's divider, and its shares.
func (s *serviceShares) writeGauges(w io.Writer, now time.Time) {
	metrics.WriteGaugeUint64(w, "papayatide_scarce_services", uint64(len(s.divider.ScarceServices())))
	for class, perSecond := range s.gate.PerSecond(now) {
		metrics.WriteGaugeFloat64(w, "papayatide_share_work_per_second"+classLabels(class), perSecond)
		metrics.WriteGaugeFloat64(w, "papayatide_share_admitted_fraction"+classLabels(class), s.gate.AdmittedFraction(class, now))
	}
}

// classLabels returns the labels of a class's metrics.
func classLabels(c desired.Class) string {
	return fmt.Sprintf(`{service=%q,priority="%d",objective="%v"}`, c.Service, c.Priority, c.Objective)
}
