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
	// Idle means that it is open and nothing has arrived.
	Idle
	// Readable means that bytes have arrived.
	Readable
	// Closed means that the other side closed or reset it.
	Closed
)

// Conn returns the connection's state. It uses Control and not Read, which would
// wait for a read under way on another goroutine.
func Conn(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case rerr == unix.EAGAIN:
			state = Idle
		case rerr == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
