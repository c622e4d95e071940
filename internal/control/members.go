package control

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/papayatide/papayatide/internal/events"
	"github.com/papayatide/papayatide/internal/logservice"
	"github.com/papayatide/papayatide/internal/membership"
	"github.com/papayatide/papayatide/internal/placement"
	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// readHostList refreshes the leaving set. The list lags and may be down:
// on error the last set stays, since it only ever speeds up a drain.
func (l *Loop) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	leaving, err := l.opts.HostList.Leaving(ctx)
	if err != nil {
		l.logger.Debug("host list unreadable", zap.Int("event", events.HostListFailed), zap.Error(err))
		return
	}
	l.leaving = leaving
}

func (l *Loop) appendHeartbeat(ctx context.Context) {
	data, err := (&membership.Heartbeat{Host: l.opts.Host, DataCentre: l.opts.DataCentre}).Encode()
	if err != nil {
		return
	}
	logAppends.Inc()
	if _, err := l.logClient.Append(ctx, logservice.StreamEntryHosts, data); err != nil {
		l.logger.Debug("heartbeat not written", zap.Int("event", events.HeartbeatFailed), zap.Error(err))
	}
}

func (l *Loop) readHeartbeats(ctx context.Context) error {
	_, err := l.tail(ctx, logservice.StreamEntryHosts, &l.nextHeartbeat, func(rec *logsvcpb.Record) bool {
		_ = l.liveHosts.Observe(rec.Data, rec.UnixMs)
		return false
	})
	return err
}

// isRenewer says whether this host grants and probes the named upstream: the
// Renewers live hosts of its data centre with the highest rendezvous score
// for it do. Sharing the work keeps each host's control cost from growing
// with all of its data centre's upstreams; with fewer live hosts known
// (at start, before any heartbeat is read) this host does all of it.
func (l *Loop) isRenewer(upstream string) bool {
	if l.opts.RenewersPerUpstream <= 0 {
		return true
	}
	alive := l.liveHosts.Alive(l.opts.DataCentre, l.opts.Host)
	return slices.Contains(placement.Pick(upstream, alive, l.opts.RenewersPerUpstream), l.opts.Host)
}
