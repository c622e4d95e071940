// Package httpclient holds what the clients of other processes share: connections on which a reset is never
// taken for the end of a response, and checks of the heads of responses.
package httpclient
