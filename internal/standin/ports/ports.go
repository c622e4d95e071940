// Package ports hands out loopback ports for stand-ins and tests.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// first and last lie below the range from which the kernel picks ports
	// for outgoing connections and for listeners on port 0. A port of that
	// range, found free and closed again, may be another process's when it
	// is listened on: a host then failed to start, and its callers reached
	// somebody else's server.
	first, last = 10000, 32000
	// share is how many ports each process starts apart from the next one.
	share = 512
)

var handedOut atomic.Int32

// Free returns a loopback address on which nobody listens, and which is not
// handed out again by this process.
func Free() (string, error) {
	for range last - first {
		n := os.Getpid()*share + int(handedOut.Add(1))
		addr := fmt.Sprint("127.0.0.1:", first+n%(last-first))
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		if err := ln.Close(); err != nil {
			return "", eris.Wrap(err, "close probe listener")
		}
		return addr, nil
	}
	return "", eris.Errorf("no free port from %d to %d", first, last)
}
