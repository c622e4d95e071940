package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/shares"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

// BenchmarkShares measures what demand and shares of one scarce service with two classes cost
// the host that divides: one iteration is a call of one host, which makes three a second.
func BenchmarkShares(b *testing.B) {
	for _, hosts := range []int{10, 79, 300} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			payments := desired.Class{Service: "payments", Priority: 1, Objective: 600 * time.Millisecond}
			browsing := desired.Class{Service: "payments", Priority: 2, Objective: 5 * time.Second}
			room := map[string]shares.Room{"payments": {Slots: 2 * float64(hosts), Capacity: 2 * float64(hosts)}}
			d, now, names := shares.NewDivider(), time.Unix(1e9, 0), []string{}
			for i := range hosts {
				names = append(names, fmt.Sprint("front-", i))
			}
			var requestBytes, replyBytes int
			call := func(i int) {
				demand := []shares.Demand{{Class: payments, Arrived: 1 + i%2, Answered: 1 + i%2, Latency: time.Duration(1+i%2) * 160 * time.Millisecond},
					{Class: browsing, Arrived: 1, Answered: 1, Latency: 930 * time.Millisecond}}
				request := &peerpb.FollowRequest{Demand: encodeDemand(demand)}
				requestBytes += proto.Size(request)
				d.Record(names[i%hosts], decodeDemand(request.Demand), now)
				reply := &peerpb.FollowReply{Shares: encodeShares(d.Shares(names[i%hosts], room, now))}
				replyBytes += proto.Size(reply)
				now = now.Add(time.Second / time.Duration(3*hosts))
			}
			for i := range 3 * hosts * 5 {
				call(i)
			}
			if s := d.ScarceServices(); len(s) != 1 {
				b.Fatal("the service is not scarce")
			}
			requestBytes, replyBytes = 0, 0
			b.ResetTimer()
			for i := range b.N {
				call(i)
			}
			b.ReportMetric(float64(requestBytes)/float64(b.N), "request-B/call")
			b.ReportMetric(float64(replyBytes)/float64(b.N), "reply-B/call")
			b.ReportMetric(float64(requestBytes+replyBytes)/float64(b.N)*3*float64(hosts), "B/s")
			b.ReportMetric(3*float64(hosts), "calls/s")
		})
	}
}
