// Package peek inspects a connection's socket without consuming data and without
// blocking, even while another goroutine reads from the connection.
package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the read state of a connection.
type State int

const (
	// Unknown means that the connection has no socket to inspect.
	Unknown State = iota
	// Idle means that the connection is open and no data is available.
	Idle
	// Readable means that data is available.
	Readable
	// Closed means that the peer closed or reset the connection, or that it was
	// closed locally.
	Closed
)

// ConnState returns the connection's state. It uses RawConn.Control: RawConn.Read would
// block until a pending read of another goroutine ends.
func ConnState(c net.Conn) State {
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
		n, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case recvErr == unix.EAGAIN:
			state = Idle
		case recvErr == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
