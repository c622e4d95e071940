package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/internal/standin/logsvc"
	"github.com/papayatide/papayatide/internal/target"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// slowResponses sends each response body in parts, part by part in the given time.
type slowResponses struct {
	http.Handler
	parts int
	pause time.Duration
}

func (h slowResponses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := httptest.NewRecorder()
	h.Handler.ServeHTTP(rec, r)
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	for body := rec.Body; body.Len() > 0; {
		_, _ = w.Write(body.Next(rec.Body.Len()/h.parts + 1))
		w.(http.Flusher).Flush()
		time.Sleep(h.pause)
	}
}

// Guards against a host that never reads a large manifest, because its transfer takes longer
// than the time for reading the log and begins again each time.
func TestLargeManifestIsReadOverSlowLink(t *testing.T) {
	data, err := manifest.Example("siam-sludge")
	if err != nil {
		t.Fatal(err)
	}
	const poll = 50 * time.Millisecond
	srv := httptest.NewServer(slowResponses{logsvc.NewServer(0).Handler(), 5, 2 * poll})
	defer srv.Close()
	client := logservice.New(srv.URL, &http.Client{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := client.Append(ctx, logservice.StreamManifests, data); err != nil {
		t.Fatal(err)
	}
	l := New(Options{PollInterval: poll, ProbeInterval: time.Hour, HeartbeatInterval: time.Hour, SnapshotInterval: time.Hour, SnapshotEvery: 1000,
		GrantTTL: time.Second, HeartbeatTimeout: time.Second}, client, target.NewClient(), zap.NewNop())
	go func() { _ = l.Run(ctx) }()
	for l.Table() == nil && ctx.Err() == nil {
		time.Sleep(poll)
	}
	if l.Table() == nil {
		t.Error("the manifest was not read within 10s")
	}
}

// Guards against a placement without any upstream, which a host that has lost its own paths to all of
// them proposes to the hosts that reach them, and against heartbeats that keep grants with that host.
func TestHostThatReachesNoUpstreamProposesNothing(t *testing.T) {
	data, err := manifest.Example("siam-sludge")
	if err != nil {
		t.Fatal(err)
	}
	m, err := manifest.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	const poll = 20 * time.Millisecond
	srv := httptest.NewServer(logsvc.NewServer(0).Handler())
	defer srv.Close()
	client := logservice.New(srv.URL, &http.Client{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := client.Append(ctx, logservice.StreamManifests, data); err != nil {
		t.Fatal(err)
	}
	opts := Options{Host: "h", DataCentre: m.DataCentres[0], PollInterval: poll, ProbeInterval: poll, HeartbeatInterval: poll, SnapshotInterval: time.Hour,
		SnapshotEvery: 1000, ProbeFailures: 2, HostsPerUpstream: 2, GrantTTL: time.Second, HeartbeatTimeout: time.Second}
	l := New(opts, client, target.NewClient(), zap.NewNop())
	go func() { _ = l.Run(ctx) }()
	time.Sleep(25 * poll) // all upstreams refuse connections
	records := func(stream string) (out []*logsvcpb.Record) {
		if _, err := client.Scan(ctx, stream, 0, func(int64) {}, func(rec *logsvcpb.Record) { out = append(out, rec) }); err != nil {
			t.Fatal(err)
		}
		return out
	}
	before := len(records(logservice.StreamEntryHosts))
	time.Sleep(10 * poll)
	if n := len(records(logservice.StreamEntryHosts)); n > before {
		t.Errorf("%d heartbeats of a host that reaches no upstream", n-before)
	}
	for _, rec := range records(logservice.StreamPlacement) {
		r, err := placement.DecodeRecord(rec.Data)
		if err != nil {
			t.Fatal(err)
		}
		if r.State != nil && len(r.State.Members) == 0 {
			t.Errorf("proposed no member of %s", r.State.Key())
		}
	}
}
