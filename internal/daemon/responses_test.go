package daemon_test

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/refusal"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	stand "github.com/papayatide/papayatide/internal/standin/target"
	"github.com/papayatide/papayatide/rpc/adminpb"
)

// Every target hands each caller the answer meant for the request before.
// Callers never see another's answer: each gets 502 CROSSED_ANSWER with
// outcome unknown (the work may have run), because the answer's request id
// is not the one the router sent.
func TestMismatchedResponseNeverReachesCaller(t *testing.T) {
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 2, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: stand.Options{CrossAnswers: true}})
	h := f.Hosts[0]
	for _, key := range []string{"a", "b", "c", "d"} {
		r := call(t, http.MethodGet, h.URL+"/routeboard/"+key, "")
		if r.status == http.StatusOK && r.body.Key != key {
			t.Fatalf("caller for %s got the answer for %s", key, r.body.Key)
		}
		if r.status != http.StatusOK && (r.refusal.Code != refusal.MismatchedResponse || r.refusal.Outcome != refusal.Unknown) {
			t.Fatalf("key %s: %d %+v; want CROSSED_ANSWER, unknown", key, r.status, r.refusal)
		}
	}
}

// The log keeps records for 300 ms only (snapshots every 150 ms), so the
// placement records of bangna's services are gone when a new latphrao
// entry host starts; only
// bangna's hosts may write bangna's placement, so the newcomer cannot
// re-propose it. It must still route to bangna's owners, learnt from a
// snapshot: its status shows the same bangna members as a bangna host's.
func TestNewHostReadsSnapshotAfterLogRetention(t *testing.T) {
	settings := loopback.DefaultSettings()
	settings.SnapshotInterval = 150 * time.Millisecond
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna", "latphrao"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSize{{Name: "routeboard", Upstreams: 4, FencingChecked: true}, {Name: "plantdesk", Upstreams: 4, FencingChecked: true}},
		Settings: settings, Retention: 300 * time.Millisecond})
	time.Sleep(500 * time.Millisecond)
	late, err := f.AddHost("latphrao-late", "latphrao")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatalf("late host: %v", err)
	}
	want, got := bangnaMembers(t, f.Hosts[0]), bangnaMembers(t, late)
	if len(want) == 0 || !maps.Equal(want, got) {
		t.Fatalf("late host's bangna members %v, bangna host's %v", got, want)
	}
}

func bangnaMembers(t *testing.T, h *loopback.Host) map[string]int32 {
	t.Helper()
	st, err := adminpb.NewAdminProtobufClient(h.AdminURL, http.DefaultClient).Status(context.Background(), &adminpb.StatusRequest{})
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]int32{}
	for _, s := range st.Services {
		for _, u := range s.Upstreams {
			if u.DataCentre == "bangna" && u.Member {
				out[u.Name] = u.Shards
			}
		}
	}
	return out
}

// Every connection open to the key's owner goes silent for good, while new
// connections work. A caller's read is first tried on a pooled (silent)
// connection; after the attempt timeout it is retried on a new connection
// and answered, long before the caller's 2 s deadline.
func TestReadOnSilentConnectionIsRetried(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Targets[owner].Server.BlackholeConns()
	start := time.Now()
	r := call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, "")
	took := time.Since(start)
	if r.status != http.StatusOK || r.body.Upstream != owner {
		t.Fatalf("read over silent connections: %d %+v after %v", r.status, r.refusal, took)
	}
	if took > time.Second {
		t.Fatalf("read answered after %v; want well under the 2 s deadline", took)
	}
	t.Logf("answered after %v", took)
}

// Callers send requests for 50 service names the manifest does not have.
// Each gets 404 UNKNOWN_SERVICE at once, and the host's burn counts hold
// one bucket for all of them, not one per name (which would let callers
// grow the host's memory without bound).
func TestUnknownServicesShareOneBurnCount(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	for i := 0; i < 50; i++ {
		r := call(t, http.MethodGet, h.URL+"/nosuch-"+strconv.Itoa(i)+"/k", "")
		if r.refusal.Code != refusal.UnknownService {
			t.Fatalf("unknown service %d: %d %+v", i, r.status, r.refusal)
		}
	}
	b, err := adminpb.NewAdminProtobufClient(h.AdminURL, http.DefaultClient).Burn(context.Background(), &adminpb.BurnRequest{})
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, w := range b.Windows {
		names[w.Service] = true
	}
	if len(names) > 2 {
		t.Fatalf("burn counts kept %d service names; want routeboard and one for unknown", len(names))
	}
}
