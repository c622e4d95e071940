package peer

import (
	"math"
	"time"

	"github.com/papayatide/papayatide/internal/worktime"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// speedScale is the number of units of UpstreamSpeed.permille in a speed of 1.
const speedScale = 1000

func encodeSpeeds(speeds []worktime.Speed) []*peerpb.UpstreamSpeed {
	var out []*peerpb.UpstreamSpeed
	for _, s := range speeds {
		out = append(out, &peerpb.UpstreamSpeed{Id: s.ID, Permille: uint32(math.Round(s.Speed * speedScale)),
			AgeMs: uint32(max(s.Age, 0).Milliseconds()), Responses: uint32(math.Round(s.Responses))})
	}
	return out
}

func decodeSpeeds(ms []*peerpb.UpstreamSpeed) []worktime.Speed {
	var out []worktime.Speed
	for _, m := range ms {
		out = append(out, worktime.Speed{ID: m.Id, Speed: float64(m.Permille) / speedScale,
			Age: time.Duration(m.AgeMs) * time.Millisecond, Responses: float64(m.Responses)})
	}
	return out
}
