package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// hostMemoryMB is the memory of a host in its settings, by default.
const hostMemoryMB = 284

// Guards against host processes that exceed their memory while many responses of an upstream do not end.
func TestHostsStayWithinTheirMemory(t *testing.T) {
	const (
		hostCount, callersPerHost = 3, 10
		duration                  = 3 * time.Second
	)
	line := strings.Repeat("m", 1024)
	for name, response := range map[string]rangeowner.EndlessResponse{
		"header lines":        {First: "HTTP/1.1 200 OK\r\n", Repeated: "X-More: " + line + "\r\n"},
		"bytes without line":  {Repeated: line},
		"body without length": {First: "HTTP/1.1 200 OK\r\n\r\n", Repeated: line},
	} {
		t.Run(name, func(t *testing.T) {
			binary := buildDaemon(t).daemon
			env, err := newEnvironment(2, 2, desired.SlowStart{}, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer env.shutDown()
			var hosts []*Host
			for i := range hostCount {
				h, err := newHost(fmt.Sprint("host-", i), binary, t.TempDir(), env.logAddr)
				if err != nil {
					t.Fatal(err)
				}
				defer h.shutDown()
				if err := h.Start(); err != nil {
					t.Fatal(err)
				}
				hosts = append(hosts, h)
			}
			if _, key := awaitServed(hosts, startTimeout); key >= 0 {
				t.Fatalf("key %d is not served; hosts: %s", key, hostDiagnostics(hosts))
			}
			for _, ep := range env.endpoints {
				if ep.service == unkeyedService {
					ep.current.SetEndless(&response)
				}
			}
			callEndless(t, hosts, callersPerHost, duration)
			for _, h := range hosts {
				peak, err := h.peakMemoryMB()
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("%s used up to %d MB", h.Name, peak)
				if peak > hostMemoryMB {
					t.Errorf("%s used up to %d MB of %d", h.Name, peak, hostMemoryMB)
				}
			}
		})
	}
}

// callEndless sends non-idempotent requests to upstreams whose responses do not end.
func callEndless(t *testing.T, hosts []*Host, callersPerHost int, d time.Duration) {
	hc := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callersPerHost}}
	defer hc.CloseIdleConnections()
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for i := range callersPerHost * len(hosts) {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				o := &outcome{id: fmt.Sprintf("endless-%d-%d", i, n), host: hosts[i%len(hosts)]}
				o.roundTrip(context.Background(), hc, http.MethodPost, unkeyedVHost, normalPath, nil, 0)
				if o.err != nil || o.status == http.StatusOK {
					t.Errorf("got %d, %v", o.status, o.err)
				}
				time.Sleep(callerPause)
			}
		})
	}
	wg.Wait()
}

// peakMemoryMB returns the peak of the process's resident memory.
func (h *Host) peakMemoryMB() (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	return kb >> 10, err
}
