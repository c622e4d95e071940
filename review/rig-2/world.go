package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

	"github.com/papayatide/papayatide/internal/metastore"
	"github.com/papayatide/papayatide/internal/standin/memstore"
	"github.com/papayatide/papayatide/platform/standin"
)

// Bounds of a small deployment, as the site sheets give them.
const (
	drain     = 2 * time.Second
	grace     = 6 * time.Second
	stability = 3 * time.Second
	heartbeat = 870 * time.Millisecond
)

// Ports of an entry host, on an address of its own.
const (
	frontPort   = 8548
	readyPort   = 8542
	peerPort    = 7540
	metricsPort = 9464
)

// world is a small deployment.
type world struct {
	rec     *recorder
	trouble bool

	log       *memstore.Log
	storeAddr string
	dir       string
	hosts     []*hostProcess

	mu     sync.Mutex
	closed []func()
}

// hostProcess is a process of an entry host.
type hostProcess struct {
	name, ip string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (w *world) atClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = append(w.closed, f)
}

// close ends what was started, in reverse order.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	}
	for i := len(w.closed) - 1; i >= 0; i-- {
		w.closed[i]()
	}
	w.closed = nil
}

// plainWriter leaves out the header that the project's stand-in adds for pages that are not in force.
type plainWriter struct {
	http.ResponseWriter
}

func (p plainWriter) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

func (p plainWriter) Write(b []byte) (int, error) {
	p.Header().Del("Store-Era")
	return p.ResponseWriter.Write(b)
}

// startStore starts the platform's store.
func (w *world) startStore() error {
	w.log = memstore.New()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddr = ln.Addr().String()
	api := standin.Log{Log: w.log}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(plainWriter{rw}, r)
	})}
	go func() { _ = srv.Serve(ln) }()
	w.atClose(func() { _ = srv.Close() })
	return nil
}

// route is a route of the desired state; service is its only service.
type route struct {
	host, service, kind string
	prefix              string // "/" and the host's name if it is empty
	timeout, objective  time.Duration
}

func (r route) pathPrefix() string {
	if r.prefix != "" {
		return r.prefix
	}
	return "/" + r.host + "/"
}

// publish writes a desired state to the store.
func (w *world) publish(version int, routes ...route) error {
	routeEntries, services := map[string]any{}, map[string]any{}
	for _, r := range routes {
		routeEntries["r-"+r.host] = map[string]any{"Host": r.host + ".example", "PathPrefix": r.pathPrefix(), "Kind": r.kind, "Timeout": ms(r.timeout),
			"TargetLatency": ms(r.objective), "Priority": 1, "MaxAttempts": 2, "Service": r.service}
		services[r.service] = map[string]any{"HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false}
	}
	data, err := json.Marshal(map[string]any{"Version": fmt.Sprint("r", version), "Routes": routeEntries, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}})
	if err != nil {
		return err
	}
	w.log.Put(metastore.StreamOperators, "config", data)
	return nil
}

func ms(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)

// settings fills in the deploy file's template for a host.
func (w *world) settings(h *hostProcess, zone string) (string, error) {
	template, err := os.ReadFile(filepath.Join("deploy", "entry.ini"))
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"Node": h.name, "Zone": zone, "Ip": h.ip, "Listen.Front": fmt.Sprintf("%s:%d", h.ip, frontPort),
		"Listen.Ready": fmt.Sprintf("%s:%d", h.ip, readyPort), "PortRange.0": fmt.Sprint(peerPort),
		"Limits.MemoryMb": "284", "Limits.CpuShare": "0.32", "Limits.LinkMbps": "1000.0", "Bootstrap": "true",
		"Platform.Address": w.storeAddr, "Platform.TtlMin": "1000ms", "Bounds.HoldMax": "10000ms", "Bounds.Grace": "6s",
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "64", "Bounds.BudgetWindow": "10s", "Bounds.Drain": "2000ms",
	}
	return placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] }), nil
}

// freeIP returns a loopback address on which the given ports are free.
func freeIP(ports ...int) (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range ports {
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

// startHosts starts one entry host in each zone and waits until all are ready.
func (w *world) startHosts(zones ...string) error {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return err
	}
	w.dir = dir
	w.atClose(func() { _ = os.RemoveAll(dir) })
	for i, zone := range zones {
		ip, err := freeIP(frontPort, readyPort, peerPort, metricsPort)
		if err != nil {
			return err
		}
		h := &hostProcess{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ip, exited: make(chan struct{})}
		if err := w.startHost(h, zone); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startHost runs the deploy file's command for the role.
func (w *world) startHost(h *hostProcess, zone string) error {
	text, err := w.settings(h, zone)
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, h.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(w.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/papayatided", "entry")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYATIDE_BOOT=" + path}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	w.rec.add("host %s starts at %s", h.name, h.ip)
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	w.atClose(func() {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		select {
		case <-h.exited:
		case <-time.After(grace):
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		_ = out.Close()
	})
	return nil
}

func (h *hostProcess) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", h.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %v", h.name, limit)
}

// answer is what a requester got.
type answer struct {
	status    int // 0 if the connection ended without an answer
	signature string
	body      string
	retry     time.Duration
}

// request sends one attempt to a host, on a new connection, and returns the answer.
func (w *world) request(ctx context.Context, h *hostProcess, r route, id string) answer {
	url := fmt.Sprintf("http://%s:%d/%s/%s", h.ip, frontPort, r.host, id)
	method, body := http.MethodPost, io.Reader(strings.NewReader("order "+id))
	if r.kind == "safe" {
		method, body = http.MethodGet, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return answer{}
	}
	req.Host = r.host + ".example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	resp, err := callers.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	var seconds float64
	_, _ = fmt.Sscanf(resp.Header.Get("Retry-After"), "%g", &seconds)
	return answer{resp.StatusCode, resp.Header.Get("Response-Signature"), string(data), time.Duration(seconds * float64(time.Second))}
}

// callers opens a connection for each request.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// newID returns a request or instance ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
