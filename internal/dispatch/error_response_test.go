package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/budget"
	"github.com/papayatide/papayatide/internal/ratelimit"
)

// An upstream responds with an error, and the retry cannot be sent. The caller must get
// the upstream's response, with the body of respondWith, not a refusal by this host.
func TestErrorResponseIsReturnedIfRetryIsNotPermitted(t *testing.T) {
	for _, c := range []struct {
		name    string
		headers []string
		limits  budget.Limits
	}{
		{"no permit for the retry", []string{"X-Limit: 1"}, budget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}},
		{"the retry budget is exhausted", nil, budget.Limits{Window: 10 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			failing := startUpstream(t, respondWith(http.StatusInternalServerError, c.headers...))
			h := newHarness(t, newUpstream("u1", "plain", failing), newUpstream("k1", "keyed", failing))
			h.setOwner("k1", 1)
			h.d.retryBudget.SetLimits(c.limits)
			h.d.rateLimiter = ratelimit.NewLimiter(ratelimit.Bounds{}, permitNone)
			for _, host := range []string{"read.example", "keyed.example"} {
				resp := h.get(host, "r-"+host)
				resp.want(t, http.StatusInternalServerError, "said")
				if resp.header.Get("X-Signature") != "sig" {
					t.Errorf("%s: signature %q", host, resp.header.Get("X-Signature"))
				}
			}
		})
	}
}
