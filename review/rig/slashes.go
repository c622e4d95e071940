package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// slashUpstreams are the upstreams of the service, slashSlots the slots of each.
	slashUpstreams, slashSlots = 3, 6
	// slashVHost is the Host of all requests, slashPath that of half of them.
	slashVHost, slashPath = "desk.example", "//tariff/7?plan=night"
	// pairsBefore and pairsAfter are the pairs of requests before and after the change.
	pairsBefore, pairsAfter = 20, 60
	pairGap                 = 100 * time.Millisecond
)

// doubleSlash sends requests whose paths begin with one slash and with two. With the disruption,
// the operator adds a route for all paths of the host meanwhile.
func doubleSlash(e *env) error {
	var err error
	if e.store, err = startStore(); err != nil {
		return err
	}
	sent := &sentPaths{paths: map[string]string{}}
	e.judge.onRun = func(u *upstream, r *http.Request, body []byte) { sent.check(e.judge, u, r, body) }
	routes := map[string]route{"r-tariff": {slashVHost, "/tariff/", "unsafe", "2500ms", "800ms", 1, "tariffdesk", 2}}
	services := map[string]bool{"tariffdesk": false}
	if err := e.publish(5, routes, services); err != nil {
		return err
	}
	for range slashUpstreams {
		if _, err := e.addUpstream("tariffdesk", slashSlots, func() time.Duration { return 50 * time.Millisecond }); err != nil {
			return err
		}
	}
	if err := e.startHosts(3); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	n := 0
	sendPairs := func(pairs int) {
		for range pairs {
			n++
			h := e.hosts[n%len(e.hosts)]
			sent.send(e.judge, h, fmt.Sprintf("7d01%08x", 2*n), fmt.Sprintf("/tariff/%d", n))
			sent.send(e.judge, h, fmt.Sprintf("7d01%08x", 2*n+1), slashPath)
			time.Sleep(pairGap)
		}
	}
	sendPairs(pairsBefore)
	if e.trouble {
		routes["r-all"] = route{slashVHost, "/", "unsafe", "2500ms", "800ms", 1, "tariffdesk", 2}
		if err := e.publish(9, routes, services); err != nil {
			return err
		}
		e.judge.logf("the operator adds a route with the prefix /")
	}
	time.Sleep(3 * time.Second)
	sendPairs(pairsAfter)
	return nil
}

// sentPaths holds the path of each request by its id.
type sentPaths struct {
	mu    sync.Mutex
	paths map[string]string
}

// send sends one request on a connection of its own, byte for byte as it stands.
func (s *sentPaths) send(j *judge, h *host, id, path string) {
	s.mu.Lock()
	s.paths[id] = path
	s.mu.Unlock()
	j.logf("%s sent to %s: PUT %s", id, h.name, path)
	j.count("sent")
	c, err := net.DialTimeout("tcp4", h.front, time.Second)
	if err != nil {
		j.logf("%s: no connection: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	body := "order " + id
	text := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", path, slashVHost, id, len(body), body)
	if _, err := io.WriteString(c, text); err != nil {
		j.logf("%s: %v", id, err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		j.logf("%s ends without an answer: %v", id, err)
		j.count("no answer")
		return
	}
	_ = resp.Body.Close()
	j.logf("%s answered %d", id, resp.StatusCode)
	j.count(fmt.Sprint("answered ", resp.StatusCode))
}

// check compares a request that an upstream runs with what was sent.
func (s *sentPaths) check(j *judge, u *upstream, r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	path, known := s.paths[id]
	s.mu.Unlock()
	got := r.URL.Path
	if r.URL.RawQuery != "" {
		got += "?" + r.URL.RawQuery
	}
	switch {
	case !known:
		j.violate("UNASKED: %s runs request %s, which nobody sent", u.id, id)
	case got != path || r.Host != slashVHost:
		j.violate("UNASKED: %s runs request %s with path %s of host %s (request line: %s %s); sent were path %s and host %s", u.id, id, got, r.Host, r.Method, r.RequestURI, path, slashVHost)
	case r.Method != http.MethodPut || string(body) != "order "+id:
		j.violate("UNASKED: %s runs request %s with method %s and body %q", u.id, id, r.Method, body)
	}
}
