// Package target is papayatide's stand-in for a target server: it takes
// fenced grants, keeps per-key state, remembers idempotency keys, drains on
// a planned stop, has a cold start, sheds load past its slots, honours
// cancellation and deadlines, and can report health that lags. Whether it
// checks fencing tokens is a setting, because not every real target does.
package target
