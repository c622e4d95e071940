// Package burn counts each service's requests in ten-second buckets over the last
// hour. From these counts it computes burn rates: how fast a service spends the error
// budget of its service-level objectives over short and long windows.
package burn
