package peer

import (
	"math"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

func encodeDemand(demand []shares.Demand) []*peerpb.ClassDemand {
	var out []*peerpb.ClassDemand
	for _, d := range demand {
		out = append(out, &peerpb.ClassDemand{Service: d.Class.Service, Priority: uint32(d.Class.Priority), ObjectiveMs: milliseconds(d.Class.Objective),
			Arrived: uint32(d.Arrived), Answered: uint32(d.Answered), LatencyMs: milliseconds(d.Latency), Promised: uint32(d.Promised)})
	}
	return out
}

func decodeDemand(ms []*peerpb.ClassDemand) []shares.Demand {
	var out []shares.Demand
	for _, m := range ms {
		out = append(out, shares.Demand{Class: decodeClass(m.Service, m.Priority, m.ObjectiveMs),
			Arrived: int(m.Arrived), Answered: int(m.Answered), Latency: duration(m.LatencyMs), Promised: int(m.Promised)})
	}
	return out
}

func encodeShares(all []shares.Share) []*peerpb.ClassShare {
	var out []*peerpb.ClassShare
	for _, s := range all {
		m := &peerpb.ClassShare{Service: s.Class.Service, Priority: uint32(s.Class.Priority), ObjectiveMs: milliseconds(s.Class.Objective), WorkMs: milliseconds(s.Work)}
		if s.Work > 0 {
			m.WorkMs = max(m.WorkMs, 1) // 0 stands for unknown
		}
		if s.Scarce {
			perSecond := milliseconds(s.PerSecond)
			m.WorkPerSecondMs, m.ValidMs, m.AdmittedPermille = &perSecond, milliseconds(s.Valid), uint32(math.Round(s.AdmittedFraction*1000))
		}
		out = append(out, m)
	}
	return out
}

func decodeShares(ms []*peerpb.ClassShare) []shares.Share {
	var out []shares.Share
	for _, m := range ms {
		s := shares.Share{Class: decodeClass(m.Service, m.Priority, m.ObjectiveMs), Work: duration(m.WorkMs), AdmittedFraction: 1}
		if m.WorkPerSecondMs != nil {
			s.Scarce, s.PerSecond, s.AdmittedFraction = true, duration(*m.WorkPerSecondMs), float64(m.AdmittedPermille)/1000
			s.Valid = min(duration(m.ValidMs), shares.Validity)
		}
		out = append(out, s)
	}
	return out
}

// decodeClass restores the sign of a negative priority, which is more urgent than 0.
func decodeClass(service string, priority, objectiveMs uint32) desired.Class {
	return desired.Class{Service: service, Priority: int(int32(priority)), Objective: duration(objectiveMs)}
}

// milliseconds rounds down, so that the sum of encoded shares stays within the room.
func milliseconds(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
