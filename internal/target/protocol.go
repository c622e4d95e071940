package target

// Headers papayatide sends to targets and reads back from them.
const (
	// HeaderShard carries the shard the request's key hashes to.
	HeaderShard = "X-Papayatide-Shard"
	// HeaderFencingToken carries the placement epoch the router routed by.
	HeaderFencingToken = "X-Papayatide-Fencing-Token"
	// HeaderIdempotencyKey is the caller's idempotency key, passed through.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies one caller request; the target echoes it
	// so the router can prove an answer belongs to the request it sent.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the request's deadline in Unix milliseconds.
	HeaderDeadline = "X-Papayatide-Deadline"
	// HeaderNotRun is set to "1" by a target that refused a request
	// before running any of it (shed, fenced, draining).
	HeaderNotRun = "X-Papayatide-Not-Run"
	// HeaderKey carries the request's key.
	HeaderKey = "X-Papayatide-Key"
)

// Grant gives one upstream ownership of shards of one service for a lease.
// It is sent as JSON to POST /grant.
type Grant struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Epoch is the placement epoch (log offset) this grant was made at.
	Epoch int64 `json:"epoch"`
	// Since is the oldest epoch whose placement gives this upstream the same
	// shards; requests fenced with tokens in [Since, Epoch] are current.
	Since int64 `json:"since"`
	// Shards are the shards owned, ascending.
	Shards []int `json:"shards"`
	// TTLMs is how long, from receipt, the grant holds unless renewed.
	TTLMs int64 `json:"lease_ms"`
	// Renew asks only to extend the lease of the grant held at the same
	// Epoch and Since; Shards is then empty. A target holding anything
	// else answers 409 and gets the full grant next time.
	Renew bool `json:"renew,omitempty"`
}

// Paths on a target.
const (
	PathGrant  = "/grant"
	PathHealth = "/healthz"
	PathWork   = "/work/"
)
