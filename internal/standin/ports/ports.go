// Package ports hands out loopback ports for stand-ins and tests.
package ports

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// first and last lie below the range from which the kernel picks ports
	// for outgoing connections and for listeners on port 0. A port of that
	// range, found free and closed again, may be another process's when it
	// is listened on: a host then failed to start, and its callers reached
	// somebody else's server.
	first, last = 10000, 32000
	// block is how many ports a process takes at once. It holds a block by
	// listening on its first port, so that no other process is handed a port
	// of it, even while a stand-in that is being restarted has closed its own.
	block = 1000
)

var (
	mu     sync.Mutex
	next   int
	end    int
	guards []net.Listener // kept open for the life of the process
)

// FreeAddr returns a loopback address on which nobody listens, and which is not
// handed out again.
func FreeAddr() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		if next >= end {
			if err := takeBlock(); err != nil {
				return "", err
			}
		}
		addr := address(next)
		next++
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		if err := ln.Close(); err != nil {
			return "", eris.Wrap(err, "close probe listener")
		}
		return addr, nil
	}
}

// takeBlock takes a block that no process holds.
func takeBlock() error {
	for start := first; start+block <= last; start += block {
		guard, err := net.Listen("tcp4", address(start))
		if err != nil {
			continue
		}
		guards = append(guards, guard)
		next, end = start+1, start+block
		return nil
	}
	return eris.Errorf("no free block of ports from %d to %d", first, last)
}

func address(port int) string { return fmt.Sprint("127.0.0.1:", port) }

const (
	// listenTries and listenPause bound how long Listen waits for an address.
	listenTries = 50
	listenPause = 20 * time.Millisecond
)

// Listen listens on an address that Free returned. A process that is being
// started meanwhile holds a copy of Free's own listener until it runs its
// program, and the address is in use for these few milliseconds.
func Listen(addr string) (net.Listener, error) {
	for try := 0; ; try++ {
		ln, err := net.Listen("tcp4", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || try >= listenTries {
			return ln, eris.Wrapf(err, "listen %s", addr)
		}
		time.Sleep(listenPause)
	}
}
