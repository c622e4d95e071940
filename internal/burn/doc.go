// Package burn counts each service's requests in ten-second buckets over
// the last hour, so an entry host can say how fast it is spending the error
// budget of its service-level objectives over short and long windows.
package burn
