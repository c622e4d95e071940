// Package refused lets operators see and clear the contents that a host refuses
// as servers ended while they ran them. Both interfaces serve it.
package refused

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/rpc/refusedpb"
)

// Server implements refusedpb.Refused over a host's ledger.
type Server struct {
	// Host is this host's name.
	Host    string
	Crashes *crashes.Tracker
	Log     *zap.Logger
}

// List implements refusedpb.Refused.
func (s *Server) List(context.Context, *refusedpb.ListRequest) (*refusedpb.ListReply, error) {
	now := time.Now()
	out := &refusedpb.ListReply{Host: s.Host}
	for _, c := range s.Crashes.RefusedFingerprints(now) {
		out.Contents = append(out.Contents, &refusedpb.Content{Content: string(c), Servers: s.Crashes.CrashedServers(c),
			LeftMs: s.Crashes.RefusedFor(c, now).Milliseconds()})
	}
	return out, nil
}

// Clear implements refusedpb.Refused.
func (s *Server) Clear(_ context.Context, m *refusedpb.ClearRequest) (*refusedpb.ClearReply, error) {
	known := s.Crashes.RecordSuccess(crashes.Fingerprint(m.Content))
	s.Log.Info("refused content cleared by an operator", zap.Int("event", events.FingerprintCleared), zap.String("content", m.Content),
		zap.Bool("known", known))
	return &refusedpb.ClearReply{Host: s.Host, Known: known}, nil
}
