package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

func (l *Loop) readPlacement(ctx context.Context) (bool, error) {
	return l.tail(ctx, logservice.StreamPlacement, &l.nextPlacementOffset, func(rec *logsvcpb.Record) bool {
		r, err := placement.DecodeRecord(rec.Data)
		if err != nil {
			l.logger.Warn("placement record rejected", zap.Int("event", events.PlacementRejected), zap.Int64("offset", rec.Offset), zap.Error(err))
			return false
		}
		l.applyRecord(r, rec.Offset)
		return true
	})
}

// applyRecord applies a placement record; a members record's offset is its epoch.
func (l *Loop) applyRecord(r *placement.Record, offset int64) {
	switch r.Kind {
	case placement.KindMembers:
		l.recordsSinceSnapshot++
		s := *r.State
		s.Epoch = offset
		l.adoptState(s)
	case placement.KindSnapshot:
		l.recordsSinceSnapshot, l.lastSnapshot = 0, time.Now()
		for _, s := range r.States {
			if cur := l.placements[s.Key()]; cur == nil || cur.state.Epoch < s.Epoch {
				l.adoptState(s)
			}
		}
	}
}

// adoptState makes s the current placement of its service in its data centre.
func (l *Loop) adoptState(s placement.State) {
	p := l.placements[s.Key()]
	if p == nil {
		p = &servicePlacement{sinceEpoch: map[string]int64{}, handoverUntil: map[int]time.Time{}}
		l.placements[s.Key()] = p
	}
	l.reassign(p, s)
	l.logger.Info("placement adopted", zap.Int("event", events.PlacementAdopted), zap.String("service", s.Service),
		zap.String("data_centre", s.DataCentre), zap.Int64("epoch", s.Epoch), zap.Strings("members", s.Members))
}

// reassign recomputes p's assignment for state s under the current manifest.
// Shards that change owner are in handover for one grant TTL, because the
// previous owner may hold a valid grant for them until then.
func (l *Loop) reassign(p *servicePlacement, s placement.State) {
	old := p.assignment
	p.state = s
	if l.manifest == nil {
		return
	}
	svc := l.manifest.Service(s.Service)
	dc := slices.Index(l.manifest.DataCentres, s.DataCentre)
	if svc == nil || dc < 0 {
		p.assignment = nil
		return
	}
	p.assignment = placement.Update(old, svc, s.Members, s.Epoch, l.homes[svc.Name], uint8(dc))
	now := time.Now()
	for shard, until := range p.handoverUntil {
		if now.After(until) {
			delete(p.handoverUntil, shard)
		}
	}
	if old == nil || old.Shards() != p.assignment.Shards() {
		for _, m := range p.assignment.Members {
			p.sinceEpoch[m.Name] = s.Epoch
		}
		return
	}
	until := now.Add(l.opts.GrantTTL)
	changed := map[string]bool{}
	for _, shard := range placement.Moved(old, p.assignment) {
		if o := old.Owner(shard); o != nil {
			changed[o.Name] = true
			p.handoverUntil[shard] = until
		}
		if n := p.assignment.Owner(shard); n != nil {
			changed[n.Name] = true
		}
	}
	for _, m := range p.assignment.Members {
		if _, ok := p.sinceEpoch[m.Name]; !ok || changed[m.Name] {
			p.sinceEpoch[m.Name] = s.Epoch
		}
	}
}

// publish stores a new routing table built from the current manifest and placement.
func (l *Loop) publish() {
	if l.manifest == nil {
		return
	}
	t := &routing.Table{Manifest: l.manifest, ManifestOffset: l.manifestOffset, Services: map[string]*routing.Service{}, ViewAt: l.viewAt}
	for i := range l.manifest.Services {
		svc := &l.manifest.Services[i]
		service := &routing.Service{Spec: svc, Homes: l.homes[svc.Name], ByDC: make([]*placement.Assignment, len(l.manifest.DataCentres)),
			HandoverUntil: map[int]time.Time{}}
		for d, dc := range l.manifest.DataCentres {
			p := l.placements[svc.Name+"/"+dc]
			if p == nil || p.assignment == nil {
				continue
			}
			service.ByDC[d] = p.assignment
			for shard, until := range p.handoverUntil {
				service.HandoverUntil[shard] = until
			}
		}
		t.Services[svc.Name] = service
	}
	l.table.Store(t)
}

// propose appends a members record for each service whose wanted members in
// this data centre differ from the current ones. It makes at most one proposal per
// service and poll interval, so that a host that loses to concurrent proposals
// backs off.
func (l *Loop) propose(ctx context.Context, now time.Time) {
	for i := range l.manifest.Services {
		svc := &l.manifest.Services[i]
		local := l.localUpstreams(svc)
		if len(local) == 0 {
			continue
		}
		key := svc.Name + "/" + l.opts.DataCentre
		cur := l.placements[key]
		want, ready := l.wantedMembers(local, cur)
		if !ready || (cur != nil && slices.Equal(want, cur.state.Members)) {
			continue
		}
		if now.Sub(l.lastProposal[key]) < l.opts.PollInterval {
			continue
		}
		l.lastProposal[key] = now
		s := placement.State{Service: svc.Name, DataCentre: l.opts.DataCentre, Members: want}
		if cur != nil {
			s.Drained = cur.state.Drained
		}
		l.appendRecord(ctx, &placement.Record{Kind: placement.KindMembers, State: &s})
	}
}

// wantedMembers returns the sorted members that a service should have in this data centre:
// the local upstreams that are up, not drained and not leaving. One that other hosts are
// responsible for remains a member if it is one; without a placement it becomes one. The
// result is false until each upstream that this host is responsible for has been probed.
func (l *Loop) wantedMembers(local []manifest.Upstream, cur *servicePlacement) ([]string, bool) {
	var drained, members []string
	if cur != nil {
		drained, members = cur.state.Drained, cur.state.Members
	}
	var want []string
	for _, u := range local {
		if l.leaving[u.Addr] {
			continue
		}
		if !l.isResponsibleFor(u.Name) {
			if (cur == nil || slices.Contains(members, u.Name)) && !slices.Contains(drained, u.Name) {
				want = append(want, u.Name)
			}
			continue
		}
		h := l.health[u.Name]
		if h == nil || !h.probed {
			return nil, false
		}
		if !h.down && !slices.Contains(drained, u.Name) {
			want = append(want, u.Name)
		}
	}
	slices.Sort(want)
	return want, true
}

// appendRecord appends rec at the next offset of the placement stream. A conflict
// with a concurrent append is normal: the next read returns the other record. If
// the log's response is lost, the next read returns the record if it was written.
func (l *Loop) appendRecord(ctx context.Context, rec *placement.Record) {
	rec.By, rec.Nonce = l.opts.Host, rand.Uint64()
	data, err := rec.Encode()
	if err != nil {
		return
	}
	logAppends.Inc()
	offset, err := l.logClient.AppendAt(ctx, logservice.StreamPlacement, data, l.nextPlacementOffset)
	switch {
	case err == nil:
		l.logger.Info("placement record appended", zap.Int("event", events.PlacementAppended), zap.String("kind", rec.Kind), zap.Int64("offset", offset))
	case isConflict(err):
		l.logger.Info("placement record not appended: lost to a concurrent append", zap.Int("event", events.PlacementConflict), zap.Error(err))
	default:
		l.logger.Warn("placement record append outcome unknown", zap.Int("event", events.PlacementOutcomeUnknown), zap.Error(err))
	}
}

// appendSnapshotIfDue appends a snapshot of the whole placement if SnapshotEvery
// records have followed the last one or SnapshotInterval has passed. Records expire,
// so without snapshots the stream would lose a placement that does not change. Of
// concurrent snapshots only one is appended, the others conflict.
func (l *Loop) appendSnapshotIfDue(ctx context.Context, now time.Time) {
	if len(l.placements) == 0 {
		return
	}
	if l.lastSnapshot.IsZero() {
		l.lastSnapshot = now
	}
	if l.recordsSinceSnapshot < l.opts.SnapshotEvery && now.Sub(l.lastSnapshot) < l.opts.SnapshotInterval {
		return
	}
	rec := &placement.Record{Kind: placement.KindSnapshot}
	for _, p := range l.placements {
		rec.States = append(rec.States, p.state)
	}
	slices.SortFunc(rec.States, func(a, b placement.State) int { return strings.Compare(a.Key(), b.Key()) })
	l.appendRecord(ctx, rec)
	l.recordsSinceSnapshot, l.lastSnapshot = 0, now
}

func isConflict(err error) bool { return errors.Is(err, logservice.ErrConflict) }
