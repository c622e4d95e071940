package target

// Headers of requests to targets and of their responses.
const (
	// HeaderShard is the shard that the request's key hashes to.
	HeaderShard = "X-Papayatide-Shard"
	// HeaderFencingToken is the epoch of the placement in which the router looked
	// up the target. It may be lower than the current one if the router's view is old.
	HeaderFencingToken = "X-Papayatide-Fencing-Token"
	// HeaderIdempotencyKey is the caller's idempotency key, unchanged.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies one caller request. The target echoes it, so
	// that the router can detect a response to another request.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the request's deadline in Unix milliseconds.
	HeaderDeadline = "X-Papayatide-Deadline"
	// HeaderNotRun is "1" in the response of a target that refused a request
	// without running any of it (shed, fenced, draining).
	HeaderNotRun = "X-Papayatide-Not-Run"
	// HeaderKey is the request's key.
	HeaderKey = "X-Papayatide-Key"
)

// Grant gives one upstream the ownership of shards of one service for a limited
// time. It is sent as JSON to POST /grant.
type Grant struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Epoch is the placement epoch (log offset) at which the grant was made.
	Epoch int64 `json:"epoch"`
	// Since is the oldest epoch whose placement gives this upstream the same
	// shards. Fencing tokens in [Since, Epoch] are valid.
	Since int64 `json:"since"`
	// Shards are the owned shards in ascending order.
	Shards []int `json:"shards"`
	// TTLMs is the grant TTL in milliseconds, counted from receipt.
	TTLMs int64 `json:"lease_ms"`
	// Renew only extends the TTL of a grant with the same Epoch and Since;
	// Shards is then empty. A target without that grant responds with 409 and
	// gets the full grant next time.
	Renew bool `json:"renew,omitempty"`
}

// Paths on a target.
const (
	PathGrant  = "/grant"
	PathHealth = "/healthz"
	PathWork   = "/work/"
)
