// Package peer carries messages between entry hosts.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/loadmap"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// ServiceLoad is what callers asked of one keyed service.
type ServiceLoad struct {
	Service string
	// Weight is how many requests each sample stands for.
	Weight  float64
	Samples []loadmap.Sample
}

// Client reports to other entry hosts.
type Client struct {
	host string
	http *http.Client
}

// NewClient returns a client that reports as host.
func NewClient(host string, hc *http.Client) *Client { return &Client{host: host, http: hc} }

// ReportLoad sends a load report to the planner at addr (host:port).
func (c *Client) ReportLoad(ctx context.Context, addr string, loads []ServiceLoad) error {
	msg := &peerpb.LoadReport{Host: c.host}
	for _, l := range loads {
		msg.Services = append(msg.Services, encode(l))
	}
	_, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).ReportLoad(ctx, msg)
	return eris.Wrapf(err, "peer %s: report load", addr)
}

func encode(l ServiceLoad) *peerpb.ServiceLoad {
	out := &peerpb.ServiceLoad{Service: l.Service, Weight: l.Weight}
	index := map[string]uint32{"": 0}
	for _, s := range l.Samples {
		i, ok := index[s.Upstream]
		if !ok {
			out.Upstreams = append(out.Upstreams, s.Upstream)
			i = uint32(len(out.Upstreams))
			index[s.Upstream] = i
		}
		out.Keys = append(out.Keys, uint32(s.Key))
		out.Upstream = append(out.Upstream, i)
		out.LatencyMs = append(out.LatencyMs, uint32(s.Latency.Milliseconds()))
	}
	return out
}

func decode(m *peerpb.ServiceLoad) (ServiceLoad, error) {
	out := ServiceLoad{Service: m.Service, Weight: m.Weight}
	if len(m.Upstream) != len(m.Keys) || len(m.LatencyMs) != len(m.Keys) {
		return out, eris.Errorf("load report for %s: lists of %d, %d and %d entries", m.Service, len(m.Keys), len(m.Upstream), len(m.LatencyMs))
	}
	for i, k := range m.Keys {
		s := loadmap.Sample{Key: int(k), Latency: time.Duration(m.LatencyMs[i]) * time.Millisecond}
		if u := int(m.Upstream[i]); u > 0 && u <= len(m.Upstreams) {
			s.Upstream = m.Upstreams[u-1]
		}
		out.Samples = append(out.Samples, s)
	}
	return out, nil
}

// Server takes other hosts' reports.
type Server struct {
	// Loads is handed each report; it must not block.
	Loads func([]ServiceLoad)
}

// ReportLoad implements peerpb.Peer.
func (s *Server) ReportLoad(_ context.Context, m *peerpb.LoadReport) (*peerpb.LoadReportAnswer, error) {
	var loads []ServiceLoad
	for _, sm := range m.Services {
		l, err := decode(sm)
		if err != nil {
			return nil, err
		}
		loads = append(loads, l)
	}
	s.Loads(loads)
	return &peerpb.LoadReportAnswer{}, nil
}
