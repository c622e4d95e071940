// Package feedback tracks the state that upstreams report in response headers:
// a request rate limit for all hosts together, an imminent shutdown (leaving),
// and a backoff for the host that receives the response. It also tracks when hosts
// last observed a crash of an upstream.
//
// The records of the log service carry this information later or not at all.
// State is kept per incarnation: a restarted server starts without any. Hosts
// exchange rate limits, leaving and observed crashes as Notices; the newest rate
// limit report wins, whichever host received it. A backoff applies to one host only.
package feedback
