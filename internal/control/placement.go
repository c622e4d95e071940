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
	return l.tail(ctx, logservice.StreamPlacement, &l.nextPlacement, func(rec *logsvcpb.Record) bool {
		r, err := placement.DecodeRecord(rec.Data)
		if err != nil {
			l.logger.Warn("placement record refused", zap.Int("event", events.PlacementRejected), zap.Int64("offset", rec.Offset), zap.Error(err))
			return false
		}
		l.applyRecord(r, rec.Offset)
		return true
	})
}

func (l *Loop) applyRecord(r *placement.Record, offset int64) {
	switch r.Kind {
	case placement.KindMembers:
		l.recordsSinceSnapshot++
		s := *r.State
		s.Epoch = offset
		l.setState(s)
	case placement.KindSnapshot:
		l.recordsSinceSnapshot, l.lastSnapshot = 0, time.Now()
		for _, s := range r.States {
			if cur := l.states[s.Key()]; cur == nil || cur.state.Epoch < s.Epoch {
				l.setState(s)
			}
		}
	}
}

func (l *Loop) setState(s placement.State) {
	st := l.states[s.Key()]
	if st == nil {
		st = &dcState{sinceEpoch: map[string]int64{}, handoverUntil: map[int]time.Time{}}
		l.states[s.Key()] = st
	}
	l.reassign(st, s)
	l.logger.Info("placement adopted", zap.Int("event", events.PlacementAdopted), zap.String("service", s.Service),
		zap.String("data_centre", s.DataCentre), zap.Int64("epoch", s.Epoch), zap.Strings("members", s.Members))
}

// reassign recomputes st's assignment for state s under the manifest in
// force. Shards that change owner enter handover for one grant lease: the
// old owner may hold a live grant for them until it lapses.
func (l *Loop) reassign(st *dcState, s placement.State) {
	old := st.assignment
	st.state = s
	if l.manifest == nil {
		return
	}
	svc := l.manifest.Service(s.Service)
	dc := slices.Index(l.manifest.DataCentres, s.DataCentre)
	if svc == nil || dc < 0 {
		st.assignment = nil
		return
	}
	st.assignment = placement.Update(old, svc, s.Members, s.Epoch, l.homes[svc.Name], uint8(dc))
	now := time.Now()
	for shard, until := range st.handoverUntil {
		if now.After(until) {
			delete(st.handoverUntil, shard)
		}
	}
	if old == nil || old.Shards() != st.assignment.Shards() {
		for _, m := range st.assignment.Members {
			st.sinceEpoch[m.Name] = s.Epoch
		}
		return
	}
	until := now.Add(l.opts.GrantTTL)
	changed := map[string]bool{}
	for _, shard := range placement.Moved(old, st.assignment) {
		if o := old.Owner(shard); o != nil {
			changed[o.Name] = true
			st.handoverUntil[shard] = until
		}
		if n := st.assignment.Owner(shard); n != nil {
			changed[n.Name] = true
		}
	}
	for _, m := range st.assignment.Members {
		if _, ok := st.sinceEpoch[m.Name]; !ok || changed[m.Name] {
			st.sinceEpoch[m.Name] = s.Epoch
		}
	}
}

// publish builds and stores a new routing table from the state in force.
func (l *Loop) publish() {
	if l.manifest == nil {
		return
	}
	t := &routing.Table{Manifest: l.manifest, ManifestOffset: l.manifestOffset, Services: map[string]*routing.Service{}, ViewAt: l.viewAt}
	for i := range l.manifest.Services {
		svc := &l.manifest.Services[i]
		rs := &routing.Service{Spec: svc, Homes: l.homes[svc.Name], ByDC: make([]*placement.Assignment, len(l.manifest.DataCentres)),
			HandoverUntil: map[int]time.Time{}}
		for d, dc := range l.manifest.DataCentres {
			st := l.states[svc.Name+"/"+dc]
			if st == nil || st.assignment == nil {
				continue
			}
			rs.ByDC[d] = st.assignment
			for shard, until := range st.handoverUntil {
				rs.HandoverUntil[shard] = until
			}
		}
		t.Services[svc.Name] = rs
	}
	l.table.Store(t)
}

// propose appends a members record for each local (service, data centre)
// whose wanted members differ from those in force. At most one proposal per
// key per poll interval, so a host that keeps losing races backs off.
func (l *Loop) propose(ctx context.Context, now time.Time) {
	for i := range l.manifest.Services {
		svc := &l.manifest.Services[i]
		local := l.localUpstreams(svc)
		if len(local) == 0 {
			continue
		}
		key := svc.Name + "/" + l.opts.DataCentre
		cur := l.states[key]
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

// wantedMembers returns the sorted members a (service, data centre) should have:
// every local upstream that is healthy, not drained and not leaving. Upstreams this host
// does not renew keep the membership they have (their renewers judge
// them; with no placement yet they count as members). It is not ready
// until each upstream it renews has been probed at least once.
func (l *Loop) wantedMembers(local []manifest.Upstream, cur *dcState) ([]string, bool) {
	var drained, members []string
	if cur != nil {
		drained, members = cur.state.Drained, cur.state.Members
	}
	var want []string
	for _, u := range local {
		if l.leaving[u.Addr] {
			continue
		}
		if !l.isRenewer(u.Name) {
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

// appendRecord writes rec at the stream's next offset. Losing the race is normal
// and left to the next read; a lost answer is also left to the next read,
// which finds the record (by nonce) if it landed.
func (l *Loop) appendRecord(ctx context.Context, rec *placement.Record) {
	rec.By, rec.Nonce = l.opts.Host, rand.Uint64()
	data, err := rec.Encode()
	if err != nil {
		return
	}
	logAppends.Inc()
	off, err := l.logClient.AppendAt(ctx, logservice.StreamPlacement, data, l.nextPlacement)
	switch {
	case err == nil:
		l.logger.Info("placement proposed", zap.Int("event", events.PlacementProposed), zap.String("kind", rec.Kind), zap.Int64("offset", off))
	case isConflict(err):
		l.logger.Info("placement proposal lost a race", zap.Int("event", events.PlacementConflict), zap.Error(err))
	default:
		l.logger.Warn("placement proposal outcome unknown", zap.Int("event", events.PlacementUnknown), zap.Error(err))
	}
}

// appendSnapshotIfDue restates the whole placement once SnapshotEvery records have
// followed the last snapshot, or none was seen for SnapshotInterval, so
// retention never drops the only record of a (service, data centre). Hosts
// racing to write one lose to the compare-and-append; the winner's counts.
func (l *Loop) appendSnapshotIfDue(ctx context.Context, now time.Time) {
	if len(l.states) == 0 {
		return
	}
	if l.lastSnapshot.IsZero() {
		l.lastSnapshot = now
	}
	if l.recordsSinceSnapshot < l.opts.SnapshotEvery && now.Sub(l.lastSnapshot) < l.opts.SnapshotInterval {
		return
	}
	rec := &placement.Record{Kind: placement.KindSnapshot}
	for _, st := range l.states {
		rec.States = append(rec.States, st.state)
	}
	slices.SortFunc(rec.States, func(a, b placement.State) int { return strings.Compare(a.Key(), b.Key()) })
	l.appendRecord(ctx, rec)
	l.recordsSinceSnapshot, l.lastSnapshot = 0, now
}

func isConflict(err error) bool { return errors.Is(err, logservice.ErrConflict) }
