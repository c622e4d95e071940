package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/standin/pathfault"
	"github.com/papayatide/papayatide/internal/standin/ports"
	"github.com/papayatide/papayatide/platform"
)

// Host is an entry host: a process that can be started again after it exits. Callers
// reach it through the proxy Front, and it reaches the log service through Log.
type Host struct {
	Name  string
	Front *Proxy
	Log   *Proxy

	binary, settingsPath, outputPath string
	readyURL, peerAddr               string
	// pathFaultFile states the fault of the host's paths to upstreams; see package pathfault.
	pathFaultFile string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	// signaled is set when the current process is sent SIGTERM or SIGKILL.
	signaled bool
	paused   bool
	// outputStart is the size of the output file when the current process started;
	// -1 if it is unknown.
	outputStart int64
	// failures describe unexpected exits.
	failures []string
}

// settingsTemplate is the settings file of a host.
const settingsTemplate = `[host]
name = %s
data_centre = dc
listen = %s
ready_listen = %s
peer_listen = %s
metrics_listen = %s
[log]
addr = %s
[bounds]
repeat_slack = 200
slow_start_factor = 1.5
slow_start_slack = 8
evacuate = 5s
`

// newHost writes the settings of a host and starts its proxies, but no process.
func newHost(name, binary, dir, logAddr string) (*Host, error) {
	addrs, err := freeAddrs(6)
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, binary: binary, settingsPath: filepath.Join(dir, name+".ini"), outputPath: filepath.Join(dir, name+".log"), pathFaultFile: filepath.Join(dir, name+".paths"),
		readyURL: "http://" + addrs[1] + platform.PathReady, peerAddr: addrs[2]}
	if h.Front, err = NewProxy(addrs[4], addrs[0]); err != nil {
		return nil, err
	}
	if h.Log, err = NewProxy(addrs[5], logAddr); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsTemplate, name, addrs[0], addrs[1], addrs[2], addrs[3], h.Log.Addr())
	return h, eris.Wrap(os.WriteFile(h.settingsPath, []byte(text), 0o600), "settings")
}

// freeAddrs returns n free loopback addresses.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		a, err := ports.FreeAddr()
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// Start starts the host's process unless one is running.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(h.outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "output")
	}
	defer func() { _ = out.Close() }() // the process has its own file descriptor
	cmd := exec.Command(h.binary, "entry")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+h.settingsPath, pathfault.FileEnv+"="+h.pathFaultFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start")
	}
	h.cmd, h.signaled, h.exited, h.outputStart = cmd, false, make(chan struct{}), outputSize(out)
	go h.awaitProcess(cmd, h.exited)
	return nil
}

// outputSize returns the size of the file in bytes, or -1 if it cannot be read.
func outputSize(f *os.File) int64 {
	info, err := f.Stat()
	if err != nil {
		return -1
	}
	return info.Size()
}

// awaitProcess waits for the process to exit and records a failure if the exit is
// unexpected. Expected are, after a signal, status 0 and death by SIGKILL, and death by
// SIGTERM before the first line of output, when the signal handler may not be installed
// yet.
func (h *Host) awaitProcess(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	sig := cmd.ProcessState.Sys().(syscall.WaitStatus).Signal()
	killed := sig == syscall.SIGKILL || (sig == syscall.SIGTERM && h.wroteNoOutput())
	if !h.signaled || (err != nil && !killed) {
		h.failures = append(h.failures, fmt.Sprintf("%s exited: signaled %v, %v", h.Name, h.signaled, err))
	}
	h.cmd, h.paused = nil, false
	close(exited)
}

// wroteNoOutput reports whether the process has written no output since its start.
func (h *Host) wroteNoOutput() bool {
	info, err := os.Stat(h.outputPath)
	return err == nil && info.Size() == h.outputStart
}

// lastOutputLine returns the last line of the host's output, or the error on reading it.
func (h *Host) lastOutputLine() string {
	data, err := os.ReadFile(h.outputPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process if one is running.
func (h *Host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		h.signaled = true
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
	// An error means that the process has just exited; awaitProcess records that.
	_ = h.cmd.Process.Signal(s)
}

// Kill kills the process at once.
func (h *Host) Kill() { h.signal(syscall.SIGKILL) }

// Stop requests a graceful shutdown of the process.
func (h *Host) Stop() { h.signal(syscall.SIGTERM) }

// Pause suspends the process until Resume.
func (h *Host) Pause() { h.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (h *Host) Resume() { h.signal(syscall.SIGCONT) }

// AwaitExit waits up to d until the process has exited and reports whether it has.
func (h *Host) AwaitExit(d time.Duration) bool {
	h.mu.Lock()
	exited, running := h.exited, h.cmd != nil
	h.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// Failures returns descriptions of the unexpected exits of the host's processes.
func (h *Host) Failures() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}

// shutDown kills the process and closes the proxies.
func (h *Host) shutDown() {
	h.Resume()
	h.Kill()
	h.AwaitExit(exitTimeout)
	h.Front.Close()
	h.Log.Close()
}

// exitTimeout is how long a killed process may take to exit.
const exitTimeout = 5 * time.Second
