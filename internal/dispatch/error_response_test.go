package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/budget"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// A failure that an upstream has answered must not be replaced by one of this host's
// own because the repeat that was meant to better it cannot be sent.
func TestErrorResponseIsReturnedIfRetryIsNotPermitted(t *testing.T) {
	for _, c := range []struct {
		name    string
		headers []string
		limits  budget.Limits
	}{
		{"no leave for the repeat", []string{"X-Limit: 1"}, budget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}},
		{"the repeat budget is spent", nil, budget.Limits{Window: 10 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			failing := startUpstream(t, respondWith(http.StatusInternalServerError, c.headers...))
			g := newHarness(t, newUpstream("u1", "plain", failing), newUpstream("k1", "keyed", failing))
			g.setOwner("k1", 1)
			g.d.retryBudget.SetLimits(c.limits)
			g.d.rateLimiter = ratelimit.NewLimiter(ratelimit.Bounds{}, permitNone)
			for _, host := range []string{"read.example", "keyed.example"} {
				a := g.get(host, "r-"+host)
				a.want(t, http.StatusInternalServerError, "said")
				if a.header.Get("X-Signature") != "sig" {
					t.Errorf("%s: signature %q", host, a.header.Get("X-Signature"))
				}
			}
		})
	}
}
