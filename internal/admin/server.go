package admin

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/burn"
	"github.com/papayatide/papayatide/internal/routing"
	"github.com/papayatide/papayatide/rpc/adminpb"
)

// Server implements adminpb.Admin over the routing table in force.
type Server struct {
	Host       string
	DataCentre string
	Table      func() *routing.Table
	Burns      *burn.Recorder
}

// Status implements adminpb.Admin.
func (s *Server) Status(ctx context.Context, _ *adminpb.StatusRequest) (*adminpb.StatusResponse, error) {
	t := s.Table()
	if t == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no manifest in force yet")
	}
	resp := &adminpb.StatusResponse{Host: s.Host, DataCentre: s.DataCentre, Deployment: t.Manifest.Deployment,
		ManifestOffset: t.ManifestOffset, ViewAgeMs: time.Since(t.ViewAt).Milliseconds()}
	for _, spec := range t.Manifest.Services {
		rs := t.Services[spec.Name]
		ss := &adminpb.ServiceStatus{Name: spec.Name}
		shards := map[string]int32{}
		member := map[string]bool{}
		for _, a := range rs.ByDC {
			if a == nil {
				continue
			}
			ss.Epoch = max(ss.Epoch, a.Epoch)
			for _, m := range a.Members {
				member[m.Name] = true
				shards[m.Name] = int32(len(a.ShardsOf(m.Name)))
			}
		}
		resp.PlacementEpoch = max(resp.PlacementEpoch, ss.Epoch)
		for _, u := range spec.Upstreams {
			ss.Upstreams = append(ss.Upstreams, &adminpb.UpstreamStatus{Name: u.Name, Addr: u.Addr,
				DataCentre: u.DataCentre, Member: member[u.Name], Shards: shards[u.Name]})
		}
		resp.Services = append(resp.Services, ss)
	}
	return resp, nil
}

// Burn implements adminpb.Admin.
func (s *Server) Burn(ctx context.Context, _ *adminpb.BurnRequest) (*adminpb.BurnResponse, error) {
	resp := &adminpb.BurnResponse{Host: s.Host}
	for _, c := range s.Burns.Snapshot(time.Now()) {
		resp.Windows = append(resp.Windows, &adminpb.WindowCounts{Service: c.Service, WindowS: int64(c.Window.Seconds()),
			Total: c.Total, Bad: c.Bad, Slow: c.Slow})
	}
	return resp, nil
}
