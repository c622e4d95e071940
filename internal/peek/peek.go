// Package peek looks at a connection's socket without taking anything from it
// and without waiting, also while another goroutine waits to read from it.
package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection has to read.
type State int

const (
	// Unknown means that the connection cannot be looked at.
	Unknown State = iota
	// Quiet means that it is open and nothing has arrived.
	Quiet
	// Data means that bytes have arrived.
	Data
	// Ended means that the other side closed or reset it.
	Ended
)

// At returns the connection's state. It uses Control and not Read, which would
// wait for a read under way on another goroutine.
func At(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case rerr == unix.EAGAIN:
			state = Quiet
		case rerr == nil && n > 0:
			state = Data
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
