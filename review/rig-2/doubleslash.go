package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// doubleSlash: requesters send paths that begin with two slashes, on a route whose prefix is a single
// one. Upstreams must run them with the path and host that were sent.
func doubleSlash(w *world) (bool, error) {
	zones := []string{"bangna", "latphrao", "nonthaburi"}
	if err := w.startStore(); err != nil {
		return false, err
	}
	pages := route{host: "pages", service: "plantdesk", kind: "unsafe", timeout: 5 * time.Second, objective: 800 * time.Millisecond, prefix: "/"}
	if err := w.publish(3, pages); err != nil {
		return false, err
	}
	c := &targetCheck{w: w, sent: map[string]string{}}
	for i := range 6 {
		u := &upstream{service: pages.service, zone: zones[i%3], slots: 3, queue: 12, work: 50 * time.Millisecond, onRun: c.ran}
		if err := w.startUpstream(u); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(zones...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range 20 {
		path := fmt.Sprintf("/stock/pages/%d", i)
		if w.trouble {
			path = "/" + path
		}
		c.send(w.hosts[i%len(w.hosts)], pages, path)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.rec.result("%d requests served; UNASKED: %d run with another path or host than was sent", c.served, c.changed)
	if c.served == 0 && c.changed == 0 {
		return false, fmt.Errorf("no request was run")
	}
	return c.changed > 0, nil
}

// targetCheck compares what requesters sent with what upstreams run.
type targetCheck struct {
	w *world

	mu              sync.Mutex
	sent            map[string]string // host and path, by request ID
	served, changed int
}

// hostAndPath names what a request asks for, as a server reads it.
func hostAndPath(req *http.Request) string { return req.Host + " " + req.URL.Path }

// send sends one request with the path as it is.
func (c *targetCheck) send(h *hostProcess, r route, path string) {
	id := newID()
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, frontPort), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.timeout))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 5000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", path, r.host, id)
	c.mu.Lock()
	c.sent[id] = r.host + ".example " + path
	c.mu.Unlock()
	c.w.rec.add("send %s to %s: POST %s, Host %s.example", id, h.name, path, r.host)
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.w.rec.add("no answer to %s: %v", id, err)
		return
	}
	_ = resp.Body.Close()
	c.w.rec.add("answer to %s: %d", id, resp.StatusCode)
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp.StatusCode == http.StatusOK {
		c.served++
	}
}

// ran is called when an upstream runs a request.
func (c *targetCheck) ran(u *upstream, r *run, req *http.Request) {
	id := r.id
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.rec.add("upstream %s runs %s: %s %s, host %q, path %q", u.id, id, req.Method, req.RequestURI, req.Host, req.URL.Path)
	if c.sent[id] != hostAndPath(req) {
		c.changed++
		c.w.rec.add("UNASKED: %s was sent for %q and is run for %q", id, c.sent[id], hostAndPath(req))
	}
}
