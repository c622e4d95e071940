// Package crashes recognises requests that crash the servers that run them.
//
// One request can crash every server that begins to run it. Its callers retry
// it, at other hosts and under new request IDs, so neither the limit on a
// request's own attempts nor the retry budget stops it. Such requests are
// recognised by a fingerprint of what they ask, whatever their ID.
//
// A fingerprint is refused on all hosts once RefusalThreshold servers have crashed
// while they ran a request with it. The refusal ends when a request with it
// succeeds, which may be a trial request (see TakeTrial), or when the crashes expire.
//
// Correlated failures do not count. A network partition, the loss of a data centre or
// a release that restarts everything breaks the requests on many servers at one
// moment. If these counted as crashes, three of them would cause a popular, harmless
// request to be refused for a day, and the partition of a data centre would cost
// thousands of log service calls for useless records. A fatal request crashes the
// servers that run it one by one, while other servers keep working.
package crashes
