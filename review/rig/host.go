package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: a process of the project, started with the command of the deploy file and
// settings made from its template.
type host struct {
	name, ip, zone string
	front, ready   string
	settings, logs string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
}

// template is the settings template of the deploy file, program its program; both from the
// repository's root.
const (
	template = "deploy/entry.ini"
	program  = "target/papayatided"
)

// freePort returns a port that is free at ip.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// newHost writes the settings of a host at its own loopback address.
func newHost(name, ip, zone, storeAddr, dir string) (*host, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	ports := make([]string, 3)
	for i := range ports {
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	h := &host{name: name, ip: ip, zone: zone, front: ip + ":" + ports[0], ready: ip + ":" + ports[1], settings: filepath.Join(dir, name+".ini"), logs: filepath.Join(dir, name+".log")}
	values := map[string]string{"Node": name, "Zone": zone, "Listen.Front": h.front, "Listen.Ready": h.ready, "Ip": ip, "PortRange.0": ports[2],
		"Limits.MemoryMb": "284", "Limits.CpuShare": "0.32", "Limits.LinkMbps": "1000.0", "Bootstrap": "true", "Platform.Address": storeAddr,
		"Platform.TtlMin": "1000ms", "Bounds.HoldMax": "10000ms", "Bounds.Grace": "6s", "Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "64",
		"Bounds.BudgetWindow": "10s", "Bounds.Drain": "2000ms"}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string { return values[strings.Trim(p, "{}")] })
	return h, os.WriteFile(h.settings, []byte(filled), 0o600)
}

// start starts the process.
func (h *host) start() error {
	out, err := os.OpenFile(h.logs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "PAPAYATIDE_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its exit.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// awaitReady waits until the host is ready.
func (h *host) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", h.name, d)
}
