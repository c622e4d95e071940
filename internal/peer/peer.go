// Package peer carries messages between entry hosts.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/internal/loadmap"
	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/relay"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// ServiceLoad is what callers asked of one keyed service.
type ServiceLoad struct {
	Service string
	// Weight is how many requests each sample stands for.
	Weight  float64
	Samples []loadmap.Sample
}

// Client calls other entry hosts.
type Client struct {
	host string
	http *http.Client
}

// NewClient returns a client that calls as host.
func NewClient(host string, hc *http.Client) *Client { return &Client{host: host, http: hc} }

// Answer is the planner's answer to Follow.
type Answer struct {
	// Batches are what this host lacks of the log.
	Batches []relay.Batch
	// Age is how long ago the planner last knew that its copy is current.
	Age time.Duration
	// Steady is for how long it has reached the log service without a break.
	Steady time.Duration
}

// Follow hands loads to the planner at addr (host:port) and returns what this
// host lacks of the log. It waits up to wait for something new.
func (c *Client) Follow(ctx context.Context, addr string, positions map[metastore.Stream]int64, loads []ServiceLoad, wait time.Duration) (*Answer, error) {
	msg := &peerpb.FollowRequest{Host: c.host, WaitMs: uint32(wait.Milliseconds())}
	for _, s := range relay.Streams {
		msg.Positions = append(msg.Positions, &peerpb.Position{Stream: string(s), Next: positions[s]})
	}
	for _, l := range loads {
		msg.Loads = append(msg.Loads, encodeLoad(l))
	}
	reply, err := peerpb.NewPeerProtobufClient("http://"+addr, c.http).Follow(ctx, msg)
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s: follow", addr)
	}
	out := &Answer{Age: time.Duration(reply.AgeMs) * time.Millisecond, Steady: time.Duration(reply.SteadyMs) * time.Millisecond}
	for _, b := range reply.Batches {
		out.Batches = append(out.Batches, decodeBatch(b))
	}
	return out, nil
}

func encodeLoad(l ServiceLoad) *peerpb.ServiceLoad {
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

func decodeLoad(m *peerpb.ServiceLoad) (ServiceLoad, error) {
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

func encodeBatch(b relay.Batch) *peerpb.Batch {
	out := &peerpb.Batch{Stream: string(b.Stream), Reset_: b.Reset, Next: b.Next}
	for _, r := range b.Records {
		out.Records = append(out.Records, &peerpb.Record{Key: r.Key, Value: r.Value, Deleted: r.Value == nil, Offset: r.Offset})
	}
	return out
}

func decodeBatch(m *peerpb.Batch) relay.Batch {
	out := relay.Batch{Stream: metastore.Stream(m.Stream), Reset: m.Reset_, Next: m.Next}
	for _, r := range m.Records {
		rec := metastore.Record{Key: r.Key, Value: r.Value, Offset: r.Offset}
		if r.Deleted {
			rec.Value = nil
		}
		out.Records = append(out.Records, rec)
	}
	return out
}

// Server answers other hosts.
type Server struct {
	// Copy is this host's copy of the log.
	Copy *relay.Copy
	// Planning reports whether this host is the planner; only then is its
	// copy kept current.
	Planning func() bool
	// Loads is handed each report.
	Loads func([]ServiceLoad)
}

// maxWait bounds how long a call is kept waiting.
const maxWait = 2 * time.Second

// Follow implements peerpb.Peer.
func (s *Server) Follow(ctx context.Context, m *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if !s.Planning() {
		return nil, twirp.NewError(twirp.Unavailable, "this host is not the planner")
	}
	var loads []ServiceLoad
	for _, sm := range m.Loads {
		l, err := decodeLoad(sm)
		if err != nil {
			return nil, twirp.InvalidArgumentError("loads", err.Error())
		}
		loads = append(loads, l)
	}
	if len(loads) > 0 {
		s.Loads(loads)
	}
	positions := map[metastore.Stream]int64{}
	for _, p := range m.Positions {
		positions[metastore.Stream(p.Stream)] = p.Next
	}
	reply := &peerpb.FollowReply{}
	for _, b := range s.Copy.Since(ctx, positions, min(time.Duration(m.WaitMs)*time.Millisecond, maxWait)) {
		reply.Batches = append(reply.Batches, encodeBatch(b))
	}
	now := time.Now()
	reply.AgeMs = uint32(s.Copy.Age(now).Milliseconds())
	reply.SteadyMs = uint32(s.Copy.Steady(now).Milliseconds())
	return reply, nil
}
