package ports

import (
	"net"
	"testing"
	"time"
)

// While a stand-in is restarted its port is closed for a moment. No other
// process may be handed a port of this one's block then: its restart would
// find the address in use.
func TestPortBlockStaysReservedWhilePortsAreClosed(t *testing.T) {
	addr, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	mine := blockGuards[len(blockGuards)-1].Addr().String()
	if ln, err := net.Listen("tcp4", mine); err == nil {
		_ = ln.Close()
		t.Fatalf("the block of %s can be taken by another process", addr)
	}
	seen := map[string]bool{addr: true}
	for range 2 * blockSize {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s is handed out twice", addr)
		}
		seen[addr] = true
	}
}

// A process that is being started holds a copy of a listener for a moment
// after it was closed; who is to listen there next waits for it.
func TestListenRetriesWhileAddressIsInUse(t *testing.T) {
	addr, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	copied, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(5*listenRetryDelay, func() { _ = copied.Close() })
	ln, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
}
