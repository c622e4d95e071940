// Package refused serves the API by which operators list and clear the request
// fingerprints that a host refuses because servers crashed while they ran them. The
// admin interface and the peer interface both serve it. It implements the service
// Refused of package refusedpb; package refusal defines a router's response to a
// refused request.
package refused

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/crashes"
	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/rpc/refusedpb"
)

// Server implements refusedpb.Refused for one host's crash tracker.
type Server struct {
	// Host is this host's name.
	Host    string
	Crashes *crashes.Tracker
	Log     *zap.Logger
}

// List returns the fingerprints that the host refuses now.
func (s *Server) List(context.Context, *refusedpb.ListRequest) (*refusedpb.ListReply, error) {
	now := time.Now()
	reply := &refusedpb.ListReply{Host: s.Host}
	for _, fingerprint := range s.Crashes.RefusedFingerprints(now) {
		reply.Contents = append(reply.Contents, &refusedpb.Content{Content: string(fingerprint), Servers: s.Crashes.CrashedServers(fingerprint),
			LeftMs: s.Crashes.RefusedFor(fingerprint, now).Milliseconds()})
	}
	return reply, nil
}

// Clear deletes the crashes recorded for a fingerprint, so that the host no longer
// refuses it. Known is set in the reply if there were any.
func (s *Server) Clear(_ context.Context, req *refusedpb.ClearRequest) (*refusedpb.ClearReply, error) {
	// A success deletes the fingerprint's crashes, which is all that Clear needs.
	known := s.Crashes.RecordSuccess(crashes.Fingerprint(req.Content))
	s.Log.Info("operator cleared a refused request fingerprint", zap.Int("event", events.FingerprintCleared), zap.String("content", req.Content),
		zap.Bool("known", known))
	return &refusedpb.ClearReply{Host: s.Host, Known: known}, nil
}
