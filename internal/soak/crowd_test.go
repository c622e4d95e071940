package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/loopback"
	"github.com/papayatide/papayatide/rpc/adminpb"
	"github.com/papayatide/papayatide/rpc/peerpb"
)

const (
	// crowdMemoryMB and crowdFDs are the limits of the process that a crowd calls.
	crowdMemoryMB, crowdFDs = 64, 256
	// moreFDs are those of a process whose memory bounds what a crowd can do, not its connections.
	moreFDs = 1024
	// crowdFDShare is the part of the descriptors that clients may use; the rest is for upstreams, other
	// hosts and the log service.
	crowdFDShare = 0.75
	// crowdSize is the number of a crowd's clients, each with one connection. connectionCrowd is more than
	// the process has descriptors.
	crowdSize, connectionCrowd = 200, 400
	largeCrowd                 = 600
	crowdDuration              = 4 * time.Second
	// crowdAnswerTimeout is when a process that has not answered an ordinary request counts as hung.
	crowdAnswerTimeout = 30 * time.Second
	// crowdBodyBytes is a body that is buffered whole, crowdUploadBytes one that is streamed; both are legal.
	crowdBodyBytes, crowdUploadBytes = 256 << 10, 4 << 20
	// ownBodyBytes is the largest body of a request on the own interface.
	ownBodyBytes = 1 << 20
)

// crowdRun is a process, the listener that a crowd calls, and how an ordinary request is sent meanwhile.
type crowdRun struct {
	process *Host
	addr    string
	fds     int
	// ordinary sends a request within the limits over a new connection and returns the status.
	ordinary func() (int, error)
}

// run has size clients call the process and fails if it ends, exceeds its memory or its descriptors, or
// does not answer an ordinary request, during the crowd or after it.
func (r crowdRun) run(t *testing.T, send crowdClient, size int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range size {
		wg.Go(func() { send.call(ctx, r.addr) })
	}
	fds, unread := 0, 0
	for end := time.Now().Add(crowdDuration); time.Now().Before(end); time.Sleep(crowdPause) {
		fds, unread = max(fds, r.process.openFDs()), max(unread, unreadBytes(r.addr))
	}
	r.awaitAnswer(t, "during the crowd")
	cancel()
	wg.Wait()
	r.awaitAnswer(t, "after the crowd")
	peak, err := r.process.peakMemoryMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("up to %d MB, %d KB unread and %d descriptors", peak, unread>>10, fds)
	if peak+unread>>20 > crowdMemoryMB {
		t.Errorf("the process used up to %d MB, and %d MB were received and not read, of %d", peak, unread>>20, crowdMemoryMB)
	}
	if float64(fds) > float64(r.fds)*crowdFDShare {
		t.Errorf("the process had up to %d of %d descriptors open, want at most %v", fds, r.fds, float64(r.fds)*crowdFDShare)
	}
	if failures := r.process.Failures(); len(failures) > 0 {
		t.Errorf("the process ended: %q", failures)
	}
}

// awaitAnswer fails unless an ordinary request is answered.
func (r crowdRun) awaitAnswer(t *testing.T, when string) {
	t.Helper()
	var status int
	var err error
	for end := time.Now().Add(crowdAnswerTimeout); time.Now().Before(end); time.Sleep(crowdPause) {
		if status, err = r.ordinary(); err == nil && status == http.StatusOK {
			return
		}
	}
	t.Errorf("no ordinary request was served %s: %d, %v; the process: %v", when, status, err, r.process.Failures())
}

// ordinaryRequest sends a GET request for the host vhost to url, with key in the header of keys, over a new connection.
func ordinaryRequest(url, vhost string) (int, error) {
	hc := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	if req.Host = vhost; vhost == "" {
		req.Host = req.URL.Host
	}
	res, err := hc.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// openFDs returns the number of the process's open descriptors.
func (h *Host) openFDs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid)) // none if it has just ended
	return len(entries)
}

// unreadBytes returns how many bytes the kernel holds that were received on connections at the local address
// addr (127.0.0.1 and a port) and not read.
func unreadBytes(addr string) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	_, port, _ := strings.Cut(addr, ":")
	n, _ := strconv.Atoi(port)
	local, sum := fmt.Sprintf("0100007F:%04X", n), int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		b, _ := strconv.ParseInt(received, 16, 64)
		sum += b
	}
	return int(sum)
}

// limitedBinary returns a program that runs binary with fds descriptors.
func limitedBinary(t *testing.T, binary string, fds int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", fds, binary)
	if err := os.WriteFile(path, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// startCrowdHost starts an entry host with the limits of a crowd's process and returns it once it serves.
func startCrowdHost(t *testing.T, binary string, fds int) *Host {
	t.Helper()
	env, err := newEnvironment(2, 2, desired.SlowStart{}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.shutDown)
	h, err := newHost("host-0", limitedBinary(t, binary, fds), t.TempDir(), env.logAddr)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(h.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	limited := strings.Replace(string(text), "[host]\n", fmt.Sprintf("[host]\nmemory_mb = %d\n", crowdMemoryMB), 1)
	if err := os.WriteFile(h.settingsPath, []byte(limited), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.shutDown)
	if _, key := awaitServed([]*Host{h}, startTimeout); key >= 0 {
		t.Fatalf("key %d is not served; %s", key, hostDiagnostics([]*Host{h}))
	}
	return h
}

// setting returns the value of a key in the host's settings.
func (h *Host) setting(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile(h.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "\n"+key+" = ")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// Guards against an entry host that ends, hangs or exceeds its memory or its descriptors because of what
// clients of any of its listeners send.
func TestCrowdOnEntryHost(t *testing.T) {
	binary := buildDaemon(t).daemon
	run := func(listener, name string, send crowdClient, size int) {
		t.Run(listener+"/"+name, func(t *testing.T) {
			fds := crowdFDs
			if size == largeCrowd {
				fds = moreFDs
			}
			h := startCrowdHost(t, binary, fds)
			url := "http://" + h.setting(t, "listen") + normalPath
			crowdRun{process: h, addr: h.setting(t, listener), fds: fds, ordinary: func() (int, error) { return ordinaryRequest(url, unkeyedVHost) }}.run(t, send, size)
		})
	}
	get := "GET /x HTTP/1.1\r\nHost: " + unkeyedVHost + "\r\n"
	for name, send := range headCrowds(get) {
		run("listen", name, send, crowdSize)
	}
	post := strings.Replace(get, "GET", "POST", 1)
	for name, send := range bodyCrowds(post, crowdBodyBytes) {
		run("listen", name, send, crowdSize)
	}
	run("listen", "uploads that stop", partOf(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", post, crowdUploadBytes), crowdUploadBytes-1, crowdUploadBytes), crowdSize)
	run("listen", "uploads", partOf(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", post, crowdUploadBytes), crowdUploadBytes, crowdUploadBytes), crowdSize)
	run("listen", "pipelined requests", repeated("", get+"\r\n", 0), crowdSize)
	run("listen", "connections", silent, connectionCrowd)
	run("listen", "idle connections", partOf(get+"\r\n", 0, 1), connectionCrowd)
	for name, send := range bodyCrowds(post, crowdBodyBytes) {
		run("listen", "many "+name, send, largeCrowd)
	}
	run("listen", "many heads of short lines", repeated(get, "a:\r\n", 60<<10), largeCrowd)
	run("listen", "many heads that stop", repeated(get, "X-More: "+strings.Repeat("m", 1000)+"\r\n", 60<<10), largeCrowd)
	run("listen", "many pipelined requests", repeated("", get+"\r\n", 400*len(get)), largeCrowd)
	for _, listener := range []string{"ready_listen", "peer_listen", "metrics_listen"} {
		crowds := headCrowds("GET /metrics HTTP/1.1\r\nHost: h\r\n")
		for _, name := range []string{"long heads that stop", "lines without end"} {
			run(listener, name, crowds[name], crowdSize)
		}
		run(listener, "connections", silent, connectionCrowd)
	}
	call := "POST " + peerpb.PeerPathPrefix + "Follow HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\n"
	for name, send := range bodyCrowds(call, crowdUploadBytes) {
		run("peer_listen", name, send, crowdSize)
	}
}

// Guards against a host with a published manifest that ends, hangs or exceeds its memory or its descriptors
// because of what clients of either of its listeners send.
func TestCrowdOnOwnInterface(t *testing.T) {
	binary := buildDaemon(t).daemon
	run := func(listener, name string, send crowdClient, size int) {
		t.Run(listener+"/"+name, func(t *testing.T) {
			h := startCrowdDaemon(t, binary)
			url := "http://" + h.setting(t, "listen") + ownPath
			crowdRun{process: h, addr: h.setting(t, listener), fds: crowdFDs, ordinary: func() (int, error) { return ordinaryRequest(url, "") }}.run(t, send, size)
		})
	}
	get := "GET " + ownPath + " HTTP/1.1\r\nHost: h\r\n"
	for name, send := range headCrowds(get) {
		run("listen", name, send, crowdSize)
	}
	for name, send := range bodyCrowds(strings.Replace(get, "GET", "POST", 1)+"Idempotency-Key: k\r\n", ownBodyBytes) {
		run("listen", name, send, crowdSize)
	}
	run("listen", "connections", silent, connectionCrowd)
	run("listen", "idle connections", partOf(get+"\r\n", 0, 1), connectionCrowd)
	crowds := headCrowds("GET /metrics HTTP/1.1\r\nHost: h\r\n")
	for _, name := range []string{"long heads that stop", "lines without end"} {
		run("admin_listen", name, crowds[name], crowdSize)
	}
	call := "POST " + adminpb.AdminPathPrefix + "Status HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\n"
	for name, send := range bodyCrowds(call, crowdUploadBytes) {
		run("admin_listen", name, send, crowdSize)
	}
	run("admin_listen", "connections", silent, connectionCrowd)
}

// ownPath is the path of a request on the own interface.
const ownPath = "/routeboard/ready-probe"

// startCrowdDaemon starts a host with a published manifest, with the limits of a crowd's process, and
// returns it once it serves.
func startCrowdDaemon(t *testing.T, binary string) *Host {
	t.Helper()
	f, err := loopback.Start(loopback.Spec{DataCentres: []string{"dc"}, Slots: 3, Settings: loopback.DefaultSettings(),
		Services: []manifest.ServiceSpec{{Name: "routeboard", Upstreams: 2, FencingChecked: true}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Publish(t.Context()); err != nil {
		t.Fatal(err)
	}
	addrs, err := freeAddrs(2)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	h := &Host{Name: "host-0", settingsPath: filepath.Join(dir, "host-0.ini"), outputPath: filepath.Join(dir, "host-0.log")}
	h.binary = limitedBinary(t, binary+" -config "+h.settingsPath, crowdFDs)
	text := fmt.Sprintf("[host]\nname = host-0\ndata_centre = dc\nmemory_mb = %d\nlisten = %s\nadmin_listen = %s\n[log]\naddr = %s\npoll_interval = 20ms\n", crowdMemoryMB, addrs[0], addrs[1], f.LogURL)
	if err := os.WriteFile(h.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.Kill()
		h.AwaitExit(exitTimeout)
	})
	for end := time.Now().Add(startTimeout); ; time.Sleep(crowdPause) {
		if status, err := ordinaryRequest("http://"+addrs[0]+ownPath, ""); err == nil && status == http.StatusOK {
			return h
		}
		if time.Now().After(end) {
			t.Fatalf("the host does not serve: %s", h.lastOutputLine())
		}
	}
}
