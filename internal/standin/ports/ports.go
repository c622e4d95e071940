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
	// firstPort and last lie below the range from which the kernel picks ports
	// for outgoing connections and for listeners on port 0. A port of that
	// range, found free and closed again, may be another process's when it
	// is listened on: a host then failed to start, and its callers reached
	// somebody else's server.
	firstPort, lastPort = 10000, 32000
	// blockSize is how many ports a process takes at once. It holds a block by
	// listening on its first port, so that no other process is handed a port
	// of it, even while a stand-in that is being restarted has closed its own.
	blockSize = 1000
)

var (
	mu          sync.Mutex
	nextPort    int
	blockEnd    int
	blockGuards []net.Listener // kept open for the life of the process
)

// FreeAddr returns a loopback address on which nobody listens, and which is not
// handed out again.
func FreeAddr() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		if nextPort >= blockEnd {
			if err := reserveBlock(); err != nil {
				return "", err
			}
		}
		addr := address(nextPort)
		nextPort++
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

// reserveBlock takes a block that no process holds.
func reserveBlock() error {
	for start := firstPort; start+blockSize <= lastPort; start += blockSize {
		guard, err := net.Listen("tcp4", address(start))
		if err != nil {
			continue
		}
		blockGuards = append(blockGuards, guard)
		nextPort, blockEnd = start+1, start+blockSize
		return nil
	}
	return eris.Errorf("no free block of ports from %d to %d", firstPort, lastPort)
}

func address(port int) string { return fmt.Sprint("127.0.0.1:", port) }

const (
	// maxListenRetries and listenPause bound how long Listen waits for an address.
	maxListenRetries = 50
	listenRetryDelay = 20 * time.Millisecond
)

// Listen listens on an address that Free returned. A process that is being
// started meanwhile holds a copy of Free's own listener until it runs its
// program, and the address is in use for these few milliseconds.
func Listen(addr string) (net.Listener, error) {
	for try := 0; ; try++ {
		ln, err := net.Listen("tcp4", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || try >= maxListenRetries {
			return ln, eris.Wrapf(err, "listen %s", addr)
		}
		time.Sleep(listenRetryDelay)
	}
}
