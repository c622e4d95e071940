// Package refusal defines the typed refusals that papayatide returns to callers:
// a code, the step and peer at which the request stopped, whether the request
// ran, and when to retry. A refusal is the final response to a request. It is
// written at once and never held back until the caller's deadline.
package refusal
