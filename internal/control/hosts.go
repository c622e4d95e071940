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

// readHostList refreshes the set of leaving addresses. If the list cannot be
// read, the last set is kept: it only makes this host stop using an upstream
// earlier.
func (l *Loop) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ProbeInterval)
	defer cancel()
	leaving, err := l.opts.HostList.Leaving(ctx)
	if err != nil {
		l.logger.Debug("reading the host list failed", zap.Int("event", events.HostListFailed), zap.Error(err))
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
		l.logger.Debug("heartbeat append failed", zap.Int("event", events.HeartbeatFailed), zap.Error(err))
	}
}

func (l *Loop) readHeartbeats(ctx context.Context) error {
	_, err := l.tail(ctx, logservice.StreamEntryHosts, &l.nextHeartbeatOffset, func(rec *logsvcpb.Record) bool {
		_ = l.liveHosts.Observe(rec.Data, rec.UnixMs)
		return false
	})
	return err
}

// isResponsibleFor reports whether this host sends grants and probes to the named upstream:
// whether it is among the HostsPerUpstream live hosts of its data centre with the highest
// rendezvous score. Sharing this work limits the growth of each host's control traffic.
// While fewer live hosts are known, e.g. at start, this host is responsible for all upstreams.
func (l *Loop) isResponsibleFor(upstream string) bool {
	if l.opts.HostsPerUpstream <= 0 {
		return true
	}
	alive := l.liveHosts.Alive(l.opts.DataCentre, l.opts.Host)
	return slices.Contains(placement.Pick(upstream, alive, l.opts.HostsPerUpstream), l.opts.Host)
}
