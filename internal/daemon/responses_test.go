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
	standin "github.com/papayatide/papayatide/internal/standin/target"
	"github.com/papayatide/papayatide/rpc/adminpb"
)

// Every target responds with the response to its previous request. No caller
// may receive another caller's response: the response's request ID is not the
// one that the router sent, so the router refuses with 502 CROSSED_ANSWER and
// outcome unknown, as the target may have run the request.
func TestMismatchedResponseNeverReachesCaller(t *testing.T) {
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 2, FencingChecked: true}},
		Settings: loopback.DefaultSettings(), Target: standin.Options{ReturnPreviousAnswer: true}})
	h := f.Hosts[0]
	for _, key := range []string{"a", "b", "c", "d"} {
		r := call(t, http.MethodGet, h.URL+"/routeboard/"+key, "")
		if r.status == http.StatusOK && r.body.Key != key {
			t.Fatalf("caller for %s received the response for %s", key, r.body.Key)
		}
		if r.status != http.StatusOK && (r.refusal.Code != refusal.MismatchedResponse || r.refusal.Outcome != refusal.Unknown) {
			t.Fatalf("key %s: status %d, refusal %+v; want CROSSED_ANSWER, outcome unknown", key, r.status, r.refusal)
		}
	}
}

// The log retains records for 300 ms, so bangna's placement records are gone
// when a new entry host starts in latphrao. The new host can't propose that
// placement again, as only bangna's hosts may write it. It has to read it from
// a snapshot (one every 150 ms) and report the same members as a bangna host.
func TestNewHostReadsSnapshotAfterLogRetention(t *testing.T) {
	settings := loopback.DefaultSettings()
	settings.SnapshotInterval = 150 * time.Millisecond
	f := startFleetFromSpec(t, loopback.Spec{DataCentres: []string{"bangna", "latphrao"}, Slots: 3, HostsPerDC: 1,
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 4, FencingChecked: true}, {Name: "plantdesk", Upstreams: 4, FencingChecked: true}},
		Settings: settings, Retention: 300 * time.Millisecond})
	time.Sleep(500 * time.Millisecond)
	newHost, err := f.AddHost("latphrao-late", "latphrao")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatalf("new host is not ready: %v", err)
	}
	want, got := bangnaMembers(t, f.Hosts[0]), bangnaMembers(t, newHost)
	if len(want) == 0 || !maps.Equal(want, got) {
		t.Fatalf("bangna members are %v at the new host, %v at a bangna host", got, want)
	}
}

// bangnaMembers returns the shard count of each member upstream in bangna, as
// h reports it.
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

// All connections open to the key's owner are blackholed, while new connections
// work. A read sent on a pooled connection gets no response; after
// the attempt timeout it is retried on a new connection and must succeed well
// before the caller's 2 s deadline.
func TestReadOnBlackholedConnectionIsRetried(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	owner, _ := waitServed(t, h, testKey, "")
	f.Targets[owner].Server.BlackholeConns()
	start := time.Now()
	r := call(t, http.MethodGet, h.URL+"/routeboard/"+testKey, "")
	took := time.Since(start)
	if r.status != http.StatusOK || r.body.Upstream != owner {
		t.Fatalf("read over blackholed connections: status %d, refusal %+v after %v", r.status, r.refusal, took)
	}
	if took > time.Second {
		t.Fatalf("read took %v; want well under the 2 s deadline", took)
	}
	t.Logf("read took %v", took)
}

// Callers request 50 service names that are not in the manifest. Each gets 404
// UNKNOWN_SERVICE, and the host counts all of them under one name: request counts
// per name would let callers grow the host's memory without bound.
func TestUnknownServicesShareOneRequestCount(t *testing.T) {
	f := startFleet(t, []string{"bangna"}, true, 1)
	h := f.Hosts[0]
	for i := 0; i < 50; i++ {
		r := call(t, http.MethodGet, h.URL+"/nosuch-"+strconv.Itoa(i)+"/k", "")
		if r.refusal.Code != refusal.UnknownService {
			t.Fatalf("unknown service %d: status %d, refusal %+v", i, r.status, r.refusal)
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
		t.Fatalf("%d service names have request counts; want routeboard and one for unknown services", len(names))
	}
}
