// Package soak runs real entry hosts as separate processes and injects faults
// from outside: a loopback proxy delays, resets, cuts and silences
// connections, signals stop, pause and kill processes, upstreams die and come
// back, and the log service fails. Faults come in series and overlap, drawn
// from a seed. While it runs and after it, what callers and upstreams saw is
// checked against what papayatide promises.
package soak
