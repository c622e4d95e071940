package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

// held is a grant of keys.
type held struct {
	from, to int
	fence    int64
	until    time.Time
}

// run is a request that an upstream is at work on, or waits to.
type run struct {
	id    string
	key   int // -1 without a key
	began time.Time
}

// upstream is a server of the users, as the pages describe it. It writes its answers byte by byte, so
// that it can also send an extra one.
type upstream struct {
	w                   *world
	id, service, zone   string
	slots, queue        int
	work                time.Duration
	sharded             bool
	ln                  net.Listener
	onGrant             func(u *upstream, from, to int, fence int64)
	onRun               func(u *upstream, r *run)
	onLost              func(u *upstream, r *run)
	onRequest           func(u *upstream, req *http.Request)
	extraBeforeResponse func(u *upstream, path string, from, to int) bool

	mu       sync.Mutex
	changed  *sync.Cond
	grants   []held
	fences   []held // the latest grants of all keys ever granted, released or not
	running  map[*run]bool
	waiting  int
	sequence int64
	state    string
	ended    bool
	conns    map[net.Conn]bool
	answers  []time.Time
	extras   int
	handover int
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

// serve serves a connection, one request at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	last := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		text := ""
		switch {
		case req.Header.Get("Expected-Instance") != "" && req.Header.Get("Expected-Instance") != u.id:
			text = reply(req, http.StatusMisdirectedRequest, "Instance-Id: "+u.id+"\r\n", "")
		case strings.HasPrefix(req.URL.Path, "/api/"):
			text = u.call(c, req, body, last)
		default:
			text = u.handle(req)
		}
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		u.countAnswer()
		last = text
	}
}

// reply returns a response. It echoes the request's ID if there is one.
func reply(req *http.Request, status int, headers, body string) string {
	id := ""
	if v := req.Header.Get("Request-Id"); v != "" {
		id = "Request-Id: " + v + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, headers, len(body), body)
}

func (u *upstream) countAnswer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers = append(u.answers, time.Now())
}

// answersIn returns how many answers were given in the last d.
func (u *upstream) answersIn(d time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.answers {
		if time.Since(at) < d {
			n++
		}
	}
	return n
}

// call carries out a grant or a release. last is the previous answer on the connection.
func (u *upstream) call(c net.Conn, req *http.Request, body []byte, last string) string {
	var call struct {
		From, To int
		Fence    int64 `json:"fence"`
		Hold     string
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return reply(req, http.StatusBadRequest, "", "")
	}
	if u.extraBeforeResponse != nil && last != "" && u.extraBeforeResponse(u, req.URL.Path, call.From, call.To) {
		// The previous answer once more, late: it stands where the answer to this call is due.
		u.w.rec.add("upstream %s sends its previous answer once more as %s %d-%d fence %d comes in on that connection", u.id, req.URL.Path, call.From, call.To, call.Fence)
		_, _ = io.WriteString(c, last)
	}
	if req.URL.Path == "/api/grant" {
		hold, err := time.ParseDuration(call.Hold)
		if err != nil {
			return reply(req, http.StatusBadRequest, "", "")
		}
		if !u.grant(call.From, call.To, call.Fence, hold) {
			return reply(req, http.StatusConflict, "", "")
		}
		return reply(req, http.StatusOK, "", "")
	}
	token := u.release(call.From, call.To)
	u.w.rec.add("upstream %s answers the release of %d-%d fence %d: its work there has ended", u.id, call.From, call.To, call.Fence)
	return reply(req, http.StatusOK, "Handover: "+token+"\r\n", "")
}

func (u *upstream) grant(from, to int, fence int64, hold time.Duration) bool {
	u.mu.Lock()
	for _, f := range u.fences {
		if f.from <= to && from <= f.to && f.fence > fence {
			u.mu.Unlock()
			return false
		}
	}
	renewed := false
	for _, g := range u.grants {
		renewed = renewed || g.from == from && g.to == to && g.fence == fence
	}
	u.fences = append(without(u.fences, from, to), held{from, to, fence, time.Now().Add(hold)})
	u.grants = append(without(u.grants, from, to), held{from, to, fence, time.Now().Add(hold)})
	u.mu.Unlock()
	if !renewed {
		u.w.rec.add("upstream %s is granted %d-%d fence %d for %v", u.id, from, to, fence, hold)
	}
	if u.onGrant != nil && !renewed {
		u.onGrant(u, from, to, fence)
	}
	return true
}

// release stops new work on the keys and returns once the running work on them has ended.
func (u *upstream) release(from, to int) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.w.rec.add("upstream %s is to release %d-%d; %d of its runs are there", u.id, from, to, u.runsOn(from, to))
	u.grants = without(u.grants, from, to)
	for u.runsOn(from, to) > 0 && !u.ended {
		u.changed.Wait()
	}
	u.handover++
	return fmt.Sprintf("%s-%d", u.id, u.handover)
}

// runsOn counts the runs on the keys. u.mu must be held.
func (u *upstream) runsOn(from, to int) int {
	n := 0
	for r := range u.running {
		if r.key >= from && r.key <= to {
			n++
		}
	}
	return n
}

// without returns the grants without the keys from..to.
func without(grants []held, from, to int) []held {
	var out []held
	for _, g := range grants {
		if g.to < from || g.from > to {
			out = append(out, g)
			continue
		}
		left, right := g, g
		left.to, right.from = from-1, to+1
		if left.from <= left.to {
			out = append(out, left)
		}
		if right.from <= right.to {
			out = append(out, right)
		}
	}
	return out
}

// holds reports whether the key is held. u.mu must be held.
func (u *upstream) holds(key int) bool {
	for _, g := range u.grants {
		if g.from <= key && key <= g.to && time.Now().Before(g.until) {
			return true
		}
	}
	return false
}

// ranges returns the ranges that are held.
func (u *upstream) ranges() []held {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]held(nil), u.grants...)
}

// handle runs a request or rejects it.
func (u *upstream) handle(req *http.Request) string {
	const notExecuted = "Not-Executed: 1\r\n"
	r := &run{id: req.Header.Get("Request-Id"), key: -1}
	if r.id == "" {
		return reply(req, http.StatusBadRequest, notExecuted, "")
	}
	u.mu.Lock()
	if u.sharded {
		key, err := strconv.Atoi(req.Header.Get("Shard-Key"))
		if err != nil || !u.holds(key) {
			u.mu.Unlock()
			return reply(req, http.StatusMisdirectedRequest, notExecuted, "")
		}
		r.key = key
	}
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
	if u.sharded && !u.holds(r.key) {
		u.mu.Unlock()
		return reply(req, http.StatusMisdirectedRequest, notExecuted, "")
	}
	r.began = time.Now()
	u.running[r] = true
	u.w.rec.add("upstream %s begins %s key %d", u.id, r.id, r.key)
	u.mu.Unlock()
	if u.onRun != nil {
		u.onRun(u, r)
	}
	if u.onRequest != nil {
		u.onRequest(u, req)
	}
	time.Sleep(u.work)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return ""
	}
	delete(u.running, r)
	u.changed.Broadcast()
	u.w.rec.add("upstream %s has run %s key %d", u.id, r.id, r.key)
	body := u.id + " ran " + r.id
	return reply(req, http.StatusOK, "Response-Signature: signed-"+u.id+"-"+r.id+"\r\n", body)
}
