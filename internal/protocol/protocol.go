// Package protocol lists the HTTP headers that papayatide reads and writes on
// requests and responses. Their names belong to the platform, the environment that
// papayatide is deployed in; package platform defines them.
package protocol

// Headers holds one platform's header names.
type Headers struct {
	// RequestID identifies a request. Upstreams echo it.
	RequestID string
	// TimeoutMs is how much longer the sender waits for a response, in milliseconds.
	TimeoutMs string
	// Signature is an upstream's proof that it produced the response.
	Signature string
	// ExpectedUpstream is the ID of the upstream that the request is meant for.
	ExpectedUpstream string
	// ServerID is the ID of the server that responds to a health check.
	ServerID string
	// NotRun marks the response to a request that the upstream rejected without running
	// it.
	NotRun string
	// Key is the key of a request to a keyed service.
	Key string
	// RateLimit is the number of requests a second that an upstream accepts from all
	// hosts together, as a decimal number.
	RateLimit string
	// Leaving is "1" in the responses of an upstream that is about to stop.
	Leaving string
	// Load is an upstream's load: running and waiting requests, slots, and how long work takes
	// at the moment in hundredths of normal, separated by commas.
	Load string
}
