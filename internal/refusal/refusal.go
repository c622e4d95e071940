package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code identifies why a request was refused.
type Code string

// Codes sent to callers in the refusal's header and body.
const (
	BadRequest     Code = "BAD_REQUEST"
	UnknownService Code = "UNKNOWN_SERVICE"
	// NoOwner means that no live upstream owns the key's shard.
	NoOwner Code = "NO_OWNER"
	// Handover means that the shard has a new owner that may not serve it yet.
	Handover Code = "HANDOVER"
	// StaleView means that the host's view is too old to forward a request that is
	// not idempotent.
	StaleView Code = "STALE_VIEW"
	// OwnerUnreachable means that the request could not be sent to the owner, or that
	// an idempotent request got no response.
	OwnerUnreachable Code = "OWNER_UNREACHABLE"
	// Shed means that the owner asked for a backoff, or rejected the request without
	// running it for any other reason than its fencing token.
	Shed Code = "SHED"
	// Fenced means that the owner rejected the request because it holds no grant that
	// matches the request's fencing token and shard.
	Fenced Code = "FENCED"
	// OutcomeUnknown means that a request that is not idempotent got no response.
	OutcomeUnknown Code = "OUTCOME_UNKNOWN"
	// MismatchedResponse means that the response carries another request's ID.
	MismatchedResponse Code = "CROSSED_ANSWER"
	// NotReady means that the host has not received a manifest yet.
	NotReady Code = "NOT_READY"
	// NoRoom means that the host has no memory for the request or its response.
	NoRoom Code = "NO_ROOM"
	// CrashesTargets means that targets have crashed while they ran the same request.
	CrashesTargets Code = "ENDS_TARGETS"
)

// Outcome states whether the request was run.
type Outcome string

const (
	// NotRun means that the request certainly did not run anywhere.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run. The caller must not assume
	// either, and should retry only with the same idempotency key.
	Unknown Outcome = "unknown"
)

// HeaderCode is the response header that carries the refusal's code.
const HeaderCode = "X-Papayatide-Refusal"

// Refusal describes why one request was refused. It is encoded as the JSON body of the
// response.
type Refusal struct {
	Code Code `json:"code"`
	// Step names the step at which the request stopped: one of the Step constants of
	// the packages router and routing. Upstream is the name of the key's owner; it is
	// empty if the request stopped before the owner was known, or if the refusal does
	// not depend on the owner.
	Step     string  `json:"step"`
	Upstream string  `json:"peer,omitempty"`
	Outcome  Outcome `json:"outcome"`
	// RetryAfter is how long the caller should wait before it retries; zero means that
	// the response has no Retry-After header, as a retry would be refused too.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMs is RetryAfter in milliseconds, for the JSON body.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// New returns a refusal; upstream and detail may be empty.
func New(code Code, step, upstream string, outcome Outcome, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Code: code, Step: step, Upstream: upstream, Outcome: outcome, RetryAfter: retryAfter,
		RetryAfterMs: retryAfter.Milliseconds(), Detail: detail}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s at %s (peer %q, outcome %s): %s", r.Code, r.Step, r.Upstream, r.Outcome, r.Detail)
}

// Status returns the HTTP status the refusal is sent with.
func (r *Refusal) Status() int {
	switch r.Code {
	case BadRequest:
		return http.StatusBadRequest
	case UnknownService:
		return http.StatusNotFound
	case Shed:
		return http.StatusTooManyRequests
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	case MismatchedResponse:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Write writes the refusal as the whole response. Retry-After is rounded up to whole
// seconds, as RFC 9110 allows no fractions.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, string(r.Code))
	if r.RetryAfter > 0 {
		secs := int64(math.Ceil(r.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.FormatInt(secs, 10))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(r)
}
