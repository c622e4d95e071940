// Package target is a stand-in for a target server of a published manifest. It serves
// the protocol of internal/target, in which a grant gives a target shards of a service
// and fencing tokens are placement epochs. Package loopback and the command
// papayatide-standin run it. Package rangeowner is the stand-in for an upstream on the
// platform, which is granted ranges of keys instead.
//
// The target keeps state per key, stores answers by idempotency key, refuses new
// requests while it drains, is slow after a cold start, sheds load above its slots,
// stops work on requests that the client cancels, and can report draining late.
// Checking of fencing tokens is optional, because not every real target does it.
package target
