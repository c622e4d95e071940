package ports

import (
	"net"
	"testing"
	"time"
)

// Guards against a restart that fails with the address in use. While a stand-in
// restarts, its port is closed for a moment; if another process could reserve the
// same block then, it might listen on that port.
func TestPortBlockStaysReservedWhilePortsAreClosed(t *testing.T) {
	addr, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	guardAddr := blockGuards[len(blockGuards)-1].Addr().String()
	if ln, err := net.Listen("tcp4", guardAddr); err == nil {
		_ = ln.Close()
		t.Fatalf("another process can reserve the block of %s", addr)
	}
	seen := map[string]bool{addr: true}
	for range 2 * blockSize {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("FreeAddr returned %s twice", addr)
		}
		seen[addr] = true
	}
}

// Guards against a Listen that fails because a child process still holds a copy of
// a closed listener between fork and exec. Listen must retry until the copy is gone.
func TestListenRetriesWhileAddressIsInUse(t *testing.T) {
	addr, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(5*listenRetryDelay, func() { _ = inherited.Close() })
	ln, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
}
