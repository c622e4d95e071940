package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/hostlist"
	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/membership"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/internal/target"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// Options shape the control loop.
type Options struct {
	// Host and DataCentre name this entry host.
	Host       string
	DataCentre string
	// PollInterval is how often the log is read.
	PollInterval time.Duration
	// ProbeInterval is how often local upstreams are probed.
	ProbeInterval time.Duration
	// ProbeFailures is how many failed probes in a row mark an upstream down.
	ProbeFailures int
	// GrantLease is how long a grant holds at the target unless renewed.
	GrantLease time.Duration
	// SnapshotEvery is how many placement records may follow the last
	// snapshot before this host writes a new one.
	SnapshotEvery int
	// SnapshotInterval is the longest time without a snapshot in the
	// stream; it must be well under the log's retention, so that a quiet
	// placement is restated before its records age out.
	SnapshotInterval time.Duration
	// HeartbeatInterval is how often this host appends a heartbeat.
	HeartbeatInterval time.Duration
	// HostLease is how long a host counts as alive after its last heartbeat.
	HostLease time.Duration
	// Renewers is how many of a data centre's live entry hosts grant and
	// probe each upstream; 0 means all of them.
	Renewers int
	// HostList, when set, is read every HostListInterval; an upstream it
	// lists as leaving is taken out of placement like a failed one.
	HostList         *hostlist.Client
	HostListInterval time.Duration
}

type health struct {
	fails  int
	probed bool
	down   bool
}

// dcState is the placement in force for one (service, data centre).
type dcState struct {
	state    placement.State
	assign   *placement.Assignment
	since    map[string]int64
	handover map[int]time.Time
}

// Control-traffic counters, read by scripts/capacity.sh for docs/CAPACITY.md.
var (
	logReads   = metrics.NewCounter(`papayatide_control_messages_total{kind="log_read"}`)
	logAppends = metrics.NewCounter(`papayatide_control_messages_total{kind="log_append"}`)
	probes     = metrics.NewCounter(`papayatide_control_messages_total{kind="probe"}`)
	grants     = metrics.NewCounter(`papayatide_control_messages_total{kind="grant"}`)
	grantBytes = metrics.NewCounter(`papayatide_control_grant_bytes_total`)
)

// Loop is the control loop. Create it with New and run it with Run.
type Loop struct {
	opts    Options
	logc    *logservice.Client
	targets *target.Client
	zl      *zap.Logger
	table   atomic.Pointer[routing.Table]
	wake    chan struct{}

	// Everything below is owned by the Run goroutine.
	man         *manifest.Manifest
	manOffset   int64
	manNext     int64
	placeNext   int64
	sinceSnap   int
	lastSnap    time.Time
	states      map[string]*dcState
	homes       map[string][]uint8
	health      map[string]*health
	viewAt      time.Time
	logDown     bool
	lastProbe   time.Time
	lastPropose map[string]time.Time
	// granted maps an upstream to the epoch of the last full grant it
	// accepted; later rounds at that epoch send only a renewal.
	granted map[string]int64
	// leaving are target addresses the platform's host list says are
	// leaving.
	leaving      map[string]bool
	lastHostList time.Time
	// hosts is the view of live entry hosts, from heartbeats.
	hosts         *membership.View
	hostsNext     int64
	lastHeartbeat time.Time
}

// New returns a control loop.
func New(opts Options, logc *logservice.Client, targets *target.Client, zl *zap.Logger) *Loop {
	return &Loop{opts: opts, logc: logc, targets: targets, zl: zl, wake: make(chan struct{}, 1),
		manOffset: -1, states: map[string]*dcState{}, homes: map[string][]uint8{},
		health: map[string]*health{}, lastPropose: map[string]time.Time{}, granted: map[string]int64{},
		hosts: membership.NewView(opts.HostLease.Milliseconds())}
}

// Table returns the routing table in force, or nil before the first
// manifest is read. Safe from any goroutine.
func (l *Loop) Table() *routing.Table { return l.table.Load() }

// Wake asks the loop to read the log now, e.g. after a target refused a
// stale fencing token. It never blocks.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	t := time.NewTicker(l.opts.PollInterval)
	defer t.Stop()
	for {
		l.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-l.wake:
		}
	}
}

func (l *Loop) tick(ctx context.Context, now time.Time) {
	changed, err := l.readLog(ctx)
	if err != nil {
		if !l.logDown {
			l.zl.Warn("log service unreachable", zap.Int("event", events.LogUnreachable), zap.Error(err))
		}
		l.logDown = true
	} else {
		if l.logDown {
			l.zl.Info("log service reachable again", zap.Int("event", events.LogRecovered))
		}
		l.logDown = false
		l.viewAt = now
	}
	// Grants go out before the table that routes by them, so a target
	// holds the new epoch's grant before this host sends it that token.
	// They are renewed through a log outage too: no one can change the
	// placement while the log is down, and a data centre cut off from it
	// must keep serving (docs/DESIGN.md, "Grants during a log outage").
	// A member's answer to its grant is its health probe; upstreams that
	// are not members get a plain probe at the same pace.
	if changed || now.Sub(l.lastProbe) >= l.opts.ProbeInterval {
		l.lastProbe = now
		l.grant(ctx)
	}
	if changed || l.table.Load() == nil || err == nil {
		l.publish()
	}
	if l.opts.HostList != nil && now.Sub(l.lastHostList) >= l.opts.HostListInterval {
		l.lastHostList = now
		l.readHostList(ctx)
	}
	if err == nil && l.man != nil {
		l.propose(ctx, now)
		l.snapshot(ctx, now)
	}
	if err == nil && now.Sub(l.lastHeartbeat) >= l.opts.HeartbeatInterval {
		l.lastHeartbeat = now
		l.heartbeat(ctx)
	}
}

// readHostList refreshes the leaving set. The list lags and may be down:
// on error the last set stays, since it only ever speeds up a drain.
func (l *Loop) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	leaving, err := l.opts.HostList.Leaving(ctx)
	if err != nil {
		l.zl.Debug("host list unreadable", zap.Int("event", events.HostListFailed), zap.Error(err))
		return
	}
	l.leaving = leaving
}

func (l *Loop) heartbeat(ctx context.Context) {
	data, err := (&membership.Heartbeat{Host: l.opts.Host, DataCentre: l.opts.DataCentre}).Encode()
	if err != nil {
		return
	}
	logAppends.Inc()
	if _, err := l.logc.Append(ctx, logservice.StreamEntryHosts, data); err != nil {
		l.zl.Debug("heartbeat not written", zap.Int("event", events.HeartbeatFailed), zap.Error(err))
	}
}

func (l *Loop) readHeartbeats(ctx context.Context) error {
	_, err := l.tail(ctx, logservice.StreamEntryHosts, &l.hostsNext, func(rec *logsvcpb.Record) bool {
		_ = l.hosts.Observe(rec.Data, rec.UnixMs)
		return false
	})
	return err
}

// renews says whether this host grants and probes the named upstream: the
// Renewers live hosts of its data centre with the highest rendezvous score
// for it do. Sharing the work keeps each host's control cost from growing
// with all of its data centre's upstreams; with fewer live hosts known
// (at start, before any heartbeat is read) this host does all of it.
func (l *Loop) renews(upstream string) bool {
	if l.opts.Renewers <= 0 {
		return true
	}
	alive := l.hosts.Alive(l.opts.DataCentre, l.opts.Host)
	return slices.Contains(placement.Pick(upstream, alive, l.opts.Renewers), l.opts.Host)
}

func (l *Loop) readLog(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.PollInterval*5)
	defer cancel()
	m, err := l.readManifests(ctx)
	if err != nil {
		return m, err
	}
	p, err := l.readPlacement(ctx)
	if err != nil {
		return m || p, err
	}
	return m || p, l.readHeartbeats(ctx)
}

// tail reads stream from *next to its end, a page at a time, passes each
// record to apply and advances *next past it. It reports whether apply
// returned true for any record. Records lost to retention before they were
// read are logged, since a host that far behind may have missed state.
func (l *Loop) tail(ctx context.Context, stream string, next *int64, apply func(*logsvcpb.Record) bool) (bool, error) {
	changed := false
	for {
		logReads.Inc()
		b, err := l.logc.Read(ctx, stream, *next, 0)
		if err != nil {
			return changed, err
		}
		if b.First > *next && *next > 0 {
			l.zl.Warn("records passed retention unread", zap.Int("event", events.RecordsGap),
				zap.String("stream", stream), zap.Int64("from", *next), zap.Int64("first", b.First))
		}
		for _, rec := range b.Records {
			*next = rec.Offset + 1
			changed = apply(rec) || changed
		}
		if len(b.Records) == 0 || *next >= b.Next {
			return changed, nil
		}
	}
}

func (l *Loop) readManifests(ctx context.Context) (bool, error) {
	return l.tail(ctx, logservice.StreamManifests, &l.manNext, func(rec *logsvcpb.Record) bool {
		m, err := manifest.Parse(rec.Data)
		if err != nil {
			l.zl.Warn("manifest refused", zap.Int("event", events.ManifestRejected), zap.Int64("offset", rec.Offset), zap.Error(err))
			return false
		}
		l.adoptManifest(m, rec.Offset)
		return true
	})
}

func (l *Loop) adoptManifest(m *manifest.Manifest, offset int64) {
	l.man, l.manOffset = m, offset
	// A manifest can change shard lists without a new epoch (new weights),
	// so every upstream gets a full grant again.
	clear(l.granted)
	l.homes = map[string][]uint8{}
	for i := range m.Services {
		l.homes[m.Services[i].Name] = placement.Homes(&m.Services[i], m.DataCentres)
	}
	for _, st := range l.states {
		l.reassign(st, st.state)
	}
	l.zl.Info("manifest adopted", zap.Int("event", events.ManifestAdopted), zap.Int64("offset", offset), zap.Stringer("manifest", m))
}

func (l *Loop) readPlacement(ctx context.Context) (bool, error) {
	return l.tail(ctx, logservice.StreamPlacement, &l.placeNext, func(rec *logsvcpb.Record) bool {
		r, err := placement.DecodeRecord(rec.Data)
		if err != nil {
			l.zl.Warn("placement record refused", zap.Int("event", events.PlacementRejected), zap.Int64("offset", rec.Offset), zap.Error(err))
			return false
		}
		l.applyRecord(r, rec.Offset)
		return true
	})
}

func (l *Loop) applyRecord(r *placement.Record, offset int64) {
	switch r.Kind {
	case placement.KindMembers:
		l.sinceSnap++
		s := *r.State
		s.Epoch = offset
		l.setState(s)
	case placement.KindSnapshot:
		l.sinceSnap, l.lastSnap = 0, time.Now()
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
		st = &dcState{since: map[string]int64{}, handover: map[int]time.Time{}}
		l.states[s.Key()] = st
	}
	l.reassign(st, s)
	l.zl.Info("placement adopted", zap.Int("event", events.PlacementAdopted), zap.String("service", s.Service),
		zap.String("data_centre", s.DataCentre), zap.Int64("epoch", s.Epoch), zap.Strings("members", s.Members))
}

// reassign recomputes st's assignment for state s under the manifest in
// force. Shards that change owner enter handover for one grant lease: the
// old owner may hold a live grant for them until it lapses.
func (l *Loop) reassign(st *dcState, s placement.State) {
	old := st.assign
	st.state = s
	if l.man == nil {
		return
	}
	svc := l.man.Service(s.Service)
	dc := slices.Index(l.man.DataCentres, s.DataCentre)
	if svc == nil || dc < 0 {
		st.assign = nil
		return
	}
	st.assign = placement.Update(old, svc, s.Members, s.Epoch, l.homes[svc.Name], uint8(dc))
	now := time.Now()
	for shard, until := range st.handover {
		if now.After(until) {
			delete(st.handover, shard)
		}
	}
	if old == nil || old.Shards() != st.assign.Shards() {
		for _, m := range st.assign.Members {
			st.since[m.Name] = s.Epoch
		}
		return
	}
	until := now.Add(l.opts.GrantLease)
	changed := map[string]bool{}
	for _, shard := range placement.Moved(old, st.assign) {
		if o := old.Owner(shard); o != nil {
			changed[o.Name] = true
			st.handover[shard] = until
		}
		if n := st.assign.Owner(shard); n != nil {
			changed[n.Name] = true
		}
	}
	for _, m := range st.assign.Members {
		if _, ok := st.since[m.Name]; !ok || changed[m.Name] {
			st.since[m.Name] = s.Epoch
		}
	}
}

// publish builds and stores a new routing table from the state in force.
func (l *Loop) publish() {
	if l.man == nil {
		return
	}
	t := &routing.Table{Manifest: l.man, ManifestOffset: l.manOffset, Services: map[string]*routing.Service{}, ViewAt: l.viewAt}
	for i := range l.man.Services {
		svc := &l.man.Services[i]
		rs := &routing.Service{Spec: svc, Homes: l.homes[svc.Name], ByDC: make([]*placement.Assignment, len(l.man.DataCentres)),
			HandoverUntil: map[int]time.Time{}}
		for d, dc := range l.man.DataCentres {
			st := l.states[svc.Name+"/"+dc]
			if st == nil || st.assign == nil {
				continue
			}
			rs.ByDC[d] = st.assign
			for shard, until := range st.handover {
				rs.HandoverUntil[shard] = until
			}
		}
		t.Services[svc.Name] = rs
	}
	l.table.Store(t)
}

// localUpstreams returns the upstreams of svc in this data centre.
func (l *Loop) localUpstreams(svc *manifest.Service) []manifest.Upstream {
	var out []manifest.Upstream
	for _, u := range svc.Upstreams {
		if u.DataCentre == l.opts.DataCentre {
			out = append(out, u)
		}
	}
	return out
}

func (l *Loop) applyProbe(name string, err error) {
	h := l.health[name]
	if h == nil {
		h = &health{}
		l.health[name] = h
	}
	h.probed = true
	if err == nil {
		if h.down {
			l.zl.Info("upstream up", zap.Int("event", events.UpstreamUp), zap.String("peer", name))
		}
		h.fails, h.down = 0, false
		return
	}
	h.fails++
	if !h.down && h.fails >= l.opts.ProbeFailures {
		h.down = true
		l.zl.Warn("upstream down", zap.Int("event", events.UpstreamDown), zap.String("peer", name), zap.Error(err))
	}
}

// propose appends a members record for each local (service, data centre)
// whose wanted members differ from those in force. At most one proposal per
// key per poll interval, so a host that keeps losing races backs off.
func (l *Loop) propose(ctx context.Context, now time.Time) {
	for i := range l.man.Services {
		svc := &l.man.Services[i]
		local := l.localUpstreams(svc)
		if len(local) == 0 {
			continue
		}
		key := svc.Name + "/" + l.opts.DataCentre
		cur := l.states[key]
		want, ready := l.wanted(local, cur)
		if !ready || (cur != nil && slices.Equal(want, cur.state.Members)) {
			continue
		}
		if now.Sub(l.lastPropose[key]) < l.opts.PollInterval {
			continue
		}
		l.lastPropose[key] = now
		s := placement.State{Service: svc.Name, DataCentre: l.opts.DataCentre, Members: want}
		if cur != nil {
			s.Drained = cur.state.Drained
		}
		l.append(ctx, &placement.Record{Kind: placement.KindMembers, State: &s})
	}
}

// wanted returns the sorted members a (service, data centre) should have:
// every local upstream that is healthy, not drained and not leaving. Upstreams this host
// does not renew keep the membership they have (their renewers judge
// them; with no placement yet they count as members). It is not ready
// until each upstream it renews has been probed at least once.
func (l *Loop) wanted(local []manifest.Upstream, cur *dcState) ([]string, bool) {
	var drained, members []string
	if cur != nil {
		drained, members = cur.state.Drained, cur.state.Members
	}
	var want []string
	for _, u := range local {
		if l.leaving[u.Addr] {
			continue
		}
		if !l.renews(u.Name) {
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

// append writes rec at the stream's next offset. Losing the race is normal
// and left to the next read; a lost answer is also left to the next read,
// which finds the record (by nonce) if it landed.
func (l *Loop) append(ctx context.Context, rec *placement.Record) {
	rec.By, rec.Nonce = l.opts.Host, rand.Uint64()
	data, err := rec.Encode()
	if err != nil {
		return
	}
	logAppends.Inc()
	off, err := l.logc.AppendAt(ctx, logservice.StreamPlacement, data, l.placeNext)
	switch {
	case err == nil:
		l.zl.Info("placement proposed", zap.Int("event", events.PlacementProposed), zap.String("kind", rec.Kind), zap.Int64("offset", off))
	case isConflict(err):
		l.zl.Info("placement proposal lost a race", zap.Int("event", events.PlacementConflict), zap.Error(err))
	default:
		l.zl.Warn("placement proposal outcome unknown", zap.Int("event", events.PlacementUnknown), zap.Error(err))
	}
}

// snapshot restates the whole placement once SnapshotEvery records have
// followed the last snapshot, or none was seen for SnapshotInterval, so
// retention never drops the only record of a (service, data centre). Hosts
// racing to write one lose to the compare-and-append; the winner's counts.
func (l *Loop) snapshot(ctx context.Context, now time.Time) {
	if len(l.states) == 0 {
		return
	}
	if l.lastSnap.IsZero() {
		l.lastSnap = now
	}
	if l.sinceSnap < l.opts.SnapshotEvery && now.Sub(l.lastSnap) < l.opts.SnapshotInterval {
		return
	}
	rec := &placement.Record{Kind: placement.KindSnapshot}
	for _, st := range l.states {
		rec.States = append(rec.States, st.state)
	}
	slices.SortFunc(rec.States, func(a, b placement.State) int { return compareKeys(a.Key(), b.Key()) })
	l.append(ctx, rec)
	l.sinceSnap, l.lastSnap = 0, now
}

func compareKeys(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// contact is one message of a grant round: a grant (or renewal) to a
// member, or a plain probe of a local upstream that is not a member.
type contact struct {
	u     manifest.Upstream
	grant *target.Grant
	err   error
}

// grant sends every member upstream in this data centre its fenced grant
// at the epoch in force (the full shard list once per epoch, a renewal
// after) and probes local non-members, concurrently; the answers are
// applied as health on the loop goroutine. A target refuses a grant older
// than the one it holds, so a host with a stale view cannot roll it back.
func (l *Loop) grant(ctx context.Context) {
	if l.man == nil {
		return
	}
	jobs := l.contacts()
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			j := &jobs[i]
			if j.grant == nil {
				probes.Inc()
				j.err = l.targets.Probe(ctx, &j.u)
				return
			}
			grants.Inc()
			n, err := l.targets.SendGrant(ctx, &j.u, j.grant)
			grantBytes.Add(n)
			j.err = err
		})
	}
	wg.Wait()
	for _, j := range jobs {
		l.applyProbe(j.u.Name, j.err)
		switch {
		case j.grant == nil:
		case j.err != nil:
			delete(l.granted, j.u.Name)
			l.zl.Debug("grant failed", zap.Int("event", events.GrantFailed), zap.String("peer", j.u.Name), zap.Error(j.err))
		case !j.grant.Renew:
			l.granted[j.u.Name] = j.grant.Epoch
		}
	}
}

// contacts lists this round's messages, one per local upstream.
func (l *Loop) contacts() []contact {
	var jobs []contact
	for i := range l.man.Services {
		svc := &l.man.Services[i]
		st := l.states[svc.Name+"/"+l.opts.DataCentre]
		for _, u := range l.localUpstreams(svc) {
			if !l.renews(u.Name) {
				continue
			}
			if st == nil || st.assign == nil || !slices.ContainsFunc(st.assign.Members, func(m manifest.Upstream) bool { return m.Name == u.Name }) {
				jobs = append(jobs, contact{u: u})
				continue
			}
			g := &target.Grant{Service: svc.Name, Epoch: st.state.Epoch, Since: st.since[u.Name],
				LeaseMs: l.opts.GrantLease.Milliseconds()}
			if l.granted[u.Name] == g.Epoch {
				g.Renew = true
			} else {
				g.Shards = st.assign.ShardsOf(u.Name)
			}
			jobs = append(jobs, contact{u: u, grant: g})
		}
	}
	return jobs
}
