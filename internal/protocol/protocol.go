// Package protocol names the headers that papayatide reads and writes on
// requests and answers. The names themselves come from the platform.
package protocol

// Headers holds the header names of one platform.
type Headers struct {
	// RequestID identifies a request; upstreams echo it.
	RequestID string
	// TimeoutMs is how long the sender still waits, in milliseconds.
	TimeoutMs string
	// Signature is an upstream's proof that an answer is its own.
	Signature string
	// ExpectedUpstream is the ID of the upstream a request is meant for.
	ExpectedUpstream string
	// NotRun marks a refusal whose request was not run.
	NotRun string
	// Key is the key of a request to a keyed service.
	Key string
	// RateLimit is the number of requests a second that an upstream takes from
	// all hosts together, as a decimal number.
	RateLimit string
	// Leaving is "1" in the answers of an upstream that is about to end.
	Leaving string
}
