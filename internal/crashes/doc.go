// Package crashes tells which requests end the servers that run them.
//
// One request can end every server that begins to run it. Its callers ask
// again, on other hosts and under new request IDs, so that neither the limit
// on a request's own repeats nor the repeat budget ever holds it back. Such
// requests are known by their content.
package crashes
