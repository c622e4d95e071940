package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// run is a request that an upstream is at work on.
type run struct {
	id    string
	began time.Time
}

// upstream is a server of the users, as the pages describe it: of a service without keys.
type upstream struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// onRun is called when a request begins, onLost for one that ends with the upstream's process.
	onRun  func(u *upstream, r *run, req *http.Request)
	onLost func(u *upstream, r *run)

	w  *world
	ln net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	running map[*run]bool
	waiting int
	conns   map[net.Conn]bool
	ended   bool
	// state and sequence are those of its entry. listed is the entry in the store without its sequence.
	state    string
	sequence int64
	listed   string
}

func (w *world) startUpstream(u *upstream) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.w, u.ln, u.state = w, ln, "ready"
	u.id = "i-" + newID()[:8]
	u.running, u.conns = map[*run]bool{}, map[net.Conn]bool{}
	u.changed = sync.NewCond(&u.mu)
	go u.accept()
	w.atClose(u.end)
	u.beat()
	return nil
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.ended {
			_ = c.Close()
		} else {
			u.conns[c] = true
			go u.serve(c)
		}
		u.mu.Unlock()
	}
}

// end ends the upstream's process: nothing of it goes on.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	_ = u.ln.Close()
	for c := range u.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	for r := range u.running {
		if u.onLost != nil {
			u.onLost(u, r)
		}
	}
	u.changed.Broadcast()
}

// entry returns the upstream's next entry, and whether more than its sequence has changed.
func (u *upstream) entry() (data []byte, changes bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	text := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"WarmupLeft":"0ms","Sequence":`,
		u.service, u.ln.Addr(), u.zone, u.slots, u.state)
	changes = text != u.listed
	u.listed = text
	return fmt.Appendf(nil, "%s%d}", text, u.sequence), changes
}

// beat writes the upstream's entry. The entry changes only when more than Sequence does.
func (u *upstream) beat() {
	if data, changes := u.entry(); changes {
		u.w.log.Put(metastore.StreamUpstreams, u.id, data)
		u.w.rec.add("store: entry of %s is %s", u.id, data)
	}
}

// beatUntil writes the upstream's entry every heartbeat.
func (u *upstream) beatUntil(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
			u.beat()
		}
	}
}

// idleTimeout is how long an idle connection stays open.
const idleTimeout = 10 * time.Second

// serve serves a connection, one request at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		text := u.handle(req)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// reply returns a response, which echoes the request's ID.
func reply(req *http.Request, status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sKeep-Alive: timeout=%.0f\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), req.Header.Get("Request-Id"), headers, idleTimeout.Seconds(), len(body), body)
}

// handle runs a request or rejects it. It returns no answer if the upstream ends meanwhile.
func (u *upstream) handle(req *http.Request) string {
	const notExecuted = "Not-Executed: 1\r\n"
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		return reply(req, http.StatusMisdirectedRequest, "Instance-Id: "+u.id+"\r\n", "")
	}
	r := &run{id: req.Header.Get("Request-Id")}
	if r.id == "" {
		return reply(req, http.StatusBadRequest, notExecuted, "")
	}
	u.mu.Lock()
	if u.waiting >= u.queue {
		u.mu.Unlock()
		return reply(req, http.StatusServiceUnavailable, notExecuted, "")
	}
	u.waiting++
	for len(u.running) >= u.slots && !u.ended {
		u.changed.Wait()
	}
	u.waiting--
	if u.ended {
		u.mu.Unlock()
		return ""
	}
	r.began = time.Now()
	u.running[r] = true
	u.w.rec.add("upstream %s begins %s", u.id, r.id)
	u.mu.Unlock()
	if u.onRun != nil {
		u.onRun(u, r, req)
	}
	time.Sleep(u.work)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return ""
	}
	delete(u.running, r)
	u.changed.Broadcast()
	u.w.rec.add("upstream %s has run %s", u.id, r.id)
	return reply(req, http.StatusOK, "Response-Signature: signed-"+u.id+"-"+r.id+"\r\n", u.id+" ran "+r.id)
}
