// Package ports allocates loopback ports for stand-ins and tests.
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
	// firstPort and lastPort lie below the kernel's ephemeral ports. An ephemeral
	// port that is free may go to another process before the host or stand-in
	// listens on it, which then fails to start, and its clients reach the other
	// process's server.
	firstPort, lastPort = 10000, 32000
	// blockSize is how many ports a process reserves at once, by listening on the
	// first of them. No other process can then reserve the others, not even
	// while a stand-in that restarts has closed its port.
	blockSize = 1000
)

var (
	mu          sync.Mutex
	nextPort    int
	blockEnd    int
	blockGuards []net.Listener // on the first ports of reserved blocks; open until the process exits
)

// FreeAddr returns a loopback address that has no listener. It returns no address
// twice.
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

// reserveBlock reserves the first block that no process has reserved.
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
	// maxListenRetries and listenRetryDelay bound how long Listen waits for an
	// address that is in use.
	maxListenRetries = 50
	listenRetryDelay = 20 * time.Millisecond
)

// Listen listens on an address that FreeAddr returned. It retries while the address
// is in use: a child process started meanwhile holds a copy of FreeAddr's listener
// between fork and exec, for a few milliseconds.
func Listen(addr string) (net.Listener, error) {
	for retry := 0; ; retry++ {
		ln, err := net.Listen("tcp4", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || retry >= maxListenRetries {
			return ln, eris.Wrapf(err, "listen %s", addr)
		}
		time.Sleep(listenRetryDelay)
	}
}
