package ports

import (
	"net"
	"testing"
)

// While a stand-in is restarted its port is closed for a moment. No other
// process may be handed a port of this one's block then: its restart would
// find the address in use.
func TestBlockIsHeldWhilePortsAreClosed(t *testing.T) {
	addr, err := Free()
	if err != nil {
		t.Fatal(err)
	}
	mine := guards[len(guards)-1].Addr().String()
	if ln, err := net.Listen("tcp4", mine); err == nil {
		_ = ln.Close()
		t.Fatalf("the block of %s can be taken by another process", addr)
	}
	seen := map[string]bool{addr: true}
	for range 2 * block {
		addr, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s is handed out twice", addr)
		}
		seen[addr] = true
	}
}
