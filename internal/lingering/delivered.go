package lingering

import (
	"net"

	"golang.org/x/sys/unix"
)

// delivered reports whether the peer's kernel has acknowledged everything that was written, as far as
// this host's kernel tells.
func delivered(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			pending = n
		}
	}); err != nil {
		return true
	}
	return pending == 0
}
