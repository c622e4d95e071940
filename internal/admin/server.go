package admin

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/burn"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/rpc/adminpb"
)

// Server implements adminpb.Admin. Table returns the current routing table, nil if
// there is none yet.
type Server struct {
	Host          string
	DataCentre    string
	Table         func() *routing.Table
	RequestCounts *burn.Recorder
}

// Status returns the manifest and, for each upstream, its placement. The epochs are
// the newest of all data centres. It fails with Unavailable without a routing table.
func (s *Server) Status(ctx context.Context, _ *adminpb.StatusRequest) (*adminpb.StatusResponse, error) {
	table := s.Table()
	if table == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no manifest in force yet")
	}
	resp := &adminpb.StatusResponse{Host: s.Host, DataCentre: s.DataCentre, Deployment: table.Manifest.Deployment,
		ManifestOffset: table.ManifestOffset, ViewAgeMs: time.Since(table.ViewAt).Milliseconds()}
	for _, spec := range table.Manifest.Services {
		route := table.Services[spec.Name]
		status := &adminpb.ServiceStatus{Name: spec.Name}
		shards := map[string]int32{}
		members := map[string]bool{}
		for _, assignment := range route.ByDC {
			if assignment == nil {
				continue
			}
			status.Epoch = max(status.Epoch, assignment.Epoch)
			for _, m := range assignment.Members {
				members[m.Name] = true
				shards[m.Name] = int32(len(assignment.ShardsOf(m.Name)))
			}
		}
		resp.PlacementEpoch = max(resp.PlacementEpoch, status.Epoch)
		for _, u := range spec.Upstreams {
			status.Upstreams = append(status.Upstreams, &adminpb.UpstreamStatus{Name: u.Name, Addr: u.Addr,
				DataCentre: u.DataCentre, Member: members[u.Name], Shards: shards[u.Name]})
		}
		resp.Services = append(resp.Services, status)
	}
	return resp, nil
}

// Burn returns the request counts of each service and window.
func (s *Server) Burn(ctx context.Context, _ *adminpb.BurnRequest) (*adminpb.BurnResponse, error) {
	resp := &adminpb.BurnResponse{Host: s.Host}
	for _, c := range s.RequestCounts.Snapshot(time.Now()) {
		resp.Windows = append(resp.Windows, &adminpb.WindowCounts{Service: c.Service, WindowS: int64(c.Window.Seconds()),
			Total: c.Total, Bad: c.Bad, Slow: c.Slow})
	}
	return resp, nil
}
