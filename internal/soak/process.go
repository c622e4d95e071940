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

	"github.com/papayatide/papayatide/internal/standin/ports"
	"github.com/papayatide/papayatide/platform"
)

// Host is one entry host: a process, started again and again, between a
// proxy for its callers and one for the log service.
type Host struct {
	Name  string
	Front *Proxy
	Log   *Proxy

	binary, settingsPath, outputPath string
	readyURL                         string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the present process has ended.
	exited chan struct{}
	// signaled is set once the process was told to end, by any signal.
	signaled bool
	paused   bool
	// outputStart is the size of output before the present process started.
	outputStart int64
	failures    []string
}

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

func newHost(name, binary, dir, logAddr string) (*Host, error) {
	addrs, err := freeAddrs(6)
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, binary: binary, settingsPath: filepath.Join(dir, name+".ini"), outputPath: filepath.Join(dir, name+".log"),
		readyURL: "http://" + addrs[1] + platform.PathReady}
	if h.Front, err = NewProxy(addrs[4], addrs[0]); err != nil {
		return nil, err
	}
	if h.Log, err = NewProxy(addrs[5], logAddr); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsTemplate, name, addrs[0], addrs[1], addrs[2], addrs[3], h.Log.Addr())
	return h, eris.Wrap(os.WriteFile(h.settingsPath, []byte(text), 0o600), "settings")
}

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

// Start starts a process unless one runs.
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
	defer func() { _ = out.Close() }() // the process has its own copy
	cmd := exec.Command(h.binary, "entry")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+h.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start")
	}
	h.cmd, h.signaled, h.exited, h.outputStart = cmd, false, make(chan struct{}), outputSize(out)
	go h.awaitProcess(cmd, h.exited)
	return nil
}

// outputSize returns how much has been written to the file, -1 if that is not known.
func outputSize(f *os.File) int64 {
	info, err := f.Stat()
	if err != nil {
		return -1
	}
	return info.Size()
}

// awaitProcess notes how the process ends. One that was told to stop ends with 0, or by the
// signal if it came before the process wrote its first line; one that was not told
// does not end.
func (h *Host) awaitProcess(cmd *exec.Cmd, gone chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	by := cmd.ProcessState.Sys().(syscall.WaitStatus).Signal()
	killed := by == syscall.SIGKILL || (by == syscall.SIGTERM && h.wroteNoOutput())
	if !h.signaled || (err != nil && !killed) {
		h.failures = append(h.failures, fmt.Sprintf("%s ended: told %v, %v", h.Name, h.signaled, err))
	}
	h.cmd, h.paused = nil, false
	close(gone)
}

// wroteNoOutput reports whether the process has written nothing since its start.
func (h *Host) wroteNoOutput() bool {
	info, err := os.Stat(h.outputPath)
	return err == nil && info.Size() == h.outputStart
}

// lastOutputLine returns the last line of the host's output, or why it cannot be read.
func (h *Host) lastOutputLine() string {
	data, err := os.ReadFile(h.outputPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process if one runs.
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
	// It may have ended just now; wait tells.
	_ = h.cmd.Process.Signal(s)
}

// Kill ends the process at once.
func (h *Host) Kill() { h.signal(syscall.SIGKILL) }

// Stop tells the process to stop as planned.
func (h *Host) Stop() { h.signal(syscall.SIGTERM) }

// Pause and Resume freeze and thaw it.
func (h *Host) Pause()  { h.signal(syscall.SIGSTOP) }
func (h *Host) Resume() { h.signal(syscall.SIGCONT) }

// AwaitExit waits until the process has ended, for at most d.
func (h *Host) AwaitExit(d time.Duration) bool {
	h.mu.Lock()
	gone, running := h.exited, h.cmd != nil
	h.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(d):
		return false
	}
}

// Failures returns what was wrong with how processes ended.
func (h *Host) Failures() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}

// shutDown ends everything of the host.
func (h *Host) shutDown() {
	h.Resume()
	h.Kill()
	h.AwaitExit(exitTimeout)
	h.Front.Close()
	h.Log.Close()
}

// endPatience is how long a killed process may take to be gone.
const exitTimeout = 5 * time.Second
