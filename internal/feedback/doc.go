// Package feedback keeps what upstreams report of themselves in their answers:
// a request rate limit for all hosts together, that they are leaving, and for
// how long they want no requests from the host that they answer.
//
// The log service's records say the same later or not at all. What is known of
// an upstream is known of one life of it: a restarted server has reported
// nothing yet. Limits and leaving are shared between hosts as Notices; the newest
// answer wins, whichever host received it. A rest concerns one host only.
package feedback
