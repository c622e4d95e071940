// Package refusal defines the typed refusals papayatide gives callers: a
// code, the step and peer where the request stopped, whether the work was
// run, and when to come back. A refusal is the final answer to a request;
// it is written at once, never held until the caller's deadline.
package refusal
