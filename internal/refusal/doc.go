// Package refusal defines the typed refusals that package router returns to
// callers: a code, the step and the upstream at which the request stopped, whether
// the request ran, and when to retry. A refusal is the final response to a request.
// It is written at once and never delayed until the caller's deadline.
//
// Package dispatch, which serves callers in place of package router on hosts that
// run "papayatided entry", has a Refusal type of its own with another encoding.
package refusal
