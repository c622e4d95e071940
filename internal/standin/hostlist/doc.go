// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts. It shows each change only after a configured lag, because the platform's
// list lags too.
package hostlist
