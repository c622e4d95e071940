// Package target is a stand-in for a target server. It accepts grants with fencing
// tokens, keeps state per key, stores answers by idempotency key, refuses new work
// while it drains, is slow after a cold start, sheds load above its slots, stops
// work on requests that the client cancels, and can report its health late.
// Checking of fencing tokens is optional, because not every real target does it.
package target
