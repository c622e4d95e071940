package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code names why a request was refused.
type Code string

// Codes carried to callers in the refusal body.
const (
	BadRequest         Code = "BAD_REQUEST"
	UnknownService     Code = "UNKNOWN_SERVICE"
	NoOwner            Code = "NO_OWNER"
	Handover           Code = "HANDOVER"
	StaleView          Code = "STALE_VIEW"
	OwnerUnreachable   Code = "OWNER_UNREACHABLE"
	Shed               Code = "SHED"
	Fenced             Code = "FENCED"
	OutcomeUnknown     Code = "OUTCOME_UNKNOWN"
	MismatchedResponse Code = "CROSSED_ANSWER"
	NotReady           Code = "NOT_READY"
	// CrashesTargets refuses requests under which targets have ended.
	CrashesTargets Code = "ENDS_TARGETS"
)

// Outcome says what happened to the caller's work.
type Outcome string

const (
	// NotRun means the work certainly did not run anywhere.
	NotRun Outcome = "not_run"
	// Unknown means the work may have run; the caller must not assume
	// either way and should retry only with the same idempotency key.
	Unknown Outcome = "unknown"
)

// HeaderCode carries the refusal code on a refused answer.
const HeaderCode = "X-Papayatide-Refusal"

// Refusal is a truthful refusal of one request.
type Refusal struct {
	Code    Code    `json:"code"`
	Step    string  `json:"step"`
	Peer    string  `json:"peer,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is when the caller should come back; zero means don't.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMs mirrors RetryAfter in the JSON body.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// New returns a refusal; detail may be empty.
func New(code Code, step, peer string, outcome Outcome, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Code: code, Step: step, Peer: peer, Outcome: outcome, RetryAfter: retryAfter,
		RetryAfterMs: retryAfter.Milliseconds(), Detail: detail}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s at %s (peer %q, outcome %s): %s", r.Code, r.Step, r.Peer, r.Outcome, r.Detail)
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

// Write sends the refusal as the whole answer, with Retry-After in whole
// seconds rounded up, as RFC 9110 allows only seconds.
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
