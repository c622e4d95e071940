// Package hostlist is papayatide's stand-in for the platform's list of live
// and leaving hosts. Changes show in the list only after a set lag, as the
// brief says the real list lags.
package hostlist
