// Package upstream sends one request to one upstream and says what is known
// of it afterwards: answered, certainly not run, or unknown.
//
// It keeps its own connections rather than net/http's transport, because
// three things decide whether a request may be sent again or an answer
// passed on: whether any byte of the request left this host, whether an
// answer belongs to the request that is waiting, and whether bytes are left
// over on the connection. Parsing is net/http's.
package upstream
