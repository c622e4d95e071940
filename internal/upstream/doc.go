// Package upstream sends a request to an upstream and reports the outcome: answered,
// not sent, not run, or unknown.
//
// It manages its own connections instead of using http.Transport, which does not
// expose three facts that decide whether a request may be retried or a response
// forwarded: whether any byte of the request left this host, whether a response
// belongs to the pending request, and whether unread bytes remain on the connection.
// It uses net/http to write requests and parse responses.
//
// An upstream with too many connections resets a new one. It accepts the connection half a
// round trip after that is open here, and its reset takes another half. A request sent
// before then has an unknown outcome and cannot be retried unless it is idempotent, so a new
// connection is watched for that long first.
package upstream
