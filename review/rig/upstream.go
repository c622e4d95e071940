package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often an upstream writes its entry.
const heartbeat = 870 * time.Millisecond

// maxQueue is how many requests an upstream queues beyond its slots.
const maxQueue = 12

// hold is a grant of the keys from..to, both included.
type hold struct {
	from, to int
	fence    int64
	until    time.Time
}

func (h hold) overlaps(from, to int) bool { return h.from <= to && from <= h.to }

// subtract returns holds without the keys from..to.
func subtract(holds []hold, from, to int) []hold {
	var out []hold
	for _, h := range holds {
		if !h.overlaps(from, to) {
			out = append(out, h)
			continue
		}
		left, right := h, h
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

// run is a request at which an upstream is at work. holdUntil is when its key's hold would have
// run out, had the key not been released; zero if it was not released.
type run struct {
	id        string
	key       int
	holdUntil time.Time
}

// garbling is what a faulty upstream does to its answers: after a share of them it sends the same
// answer once more, late, at the point where the next answer on that connection is expected.
type garbling struct{ share float64 }

// upstream is a stand-in of an upstream of one service.
type upstream struct {
	id, service, zone string
	slots             int
	work              func() time.Duration
	judge             *judge
	store             *store
	ln                net.Listener

	mu sync.Mutex
	// holds are the keys that it holds, seen the highest fence of every key that it ever held.
	holds, seen []hold
	running     map[*run]bool
	// idle is signalled when a run ends.
	idle     *sync.Cond
	queued   int
	slotFree chan struct{}
	state    string
	sequence int64
	up       bool
	conns    map[net.Conn]bool
	garble   garbling
	answers  int
	extras   int
	rng      *rand.Rand
	// answerBytes, if set, is the least length of an answer.
	answerBytes int
}

// startUpstream starts an upstream at a free port of ip and registers it.
func startUpstream(ip, id, service, zone string, slots int, work func() time.Duration, j *judge, s *store, seed uint64) (*upstream, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, zone: zone, slots: slots, work: work, judge: j, store: s, ln: ln, running: map[*run]bool{},
		slotFree: make(chan struct{}, slots), state: "ready", up: true, conns: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(seed, 7))}
	u.idle = sync.NewCond(&u.mu)
	j.add(u)
	go u.accept()
	go u.beat()
	return u, nil
}

func (u *upstream) addr() string { return u.ln.Addr().String() }

// beat writes the upstream's entry every heartbeat until it ends.
func (u *upstream) beat() {
	for u.writeEntry() {
		time.Sleep(heartbeat)
	}
}

func (u *upstream) writeEntry() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return false
	}
	u.sequence++
	u.store.put("keyed.servers", u.id, fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"WarmupLeft":"0ms","Sequence":%d}`,
		u.service, u.addr(), u.zone, u.slots, u.state, u.sequence))
	return true
}

// drain reports that the upstream is about to leave; it ends after the given time, and its entry is
// removed.
func (u *upstream) drain(after time.Duration) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.writeEntry()
	u.judge.logf("%s reports draining", u.id)
	time.AfterFunc(after, u.end)
}

// end stops the upstream for good.
func (u *upstream) end() {
	u.mu.Lock()
	u.up = false
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	_ = u.ln.Close()
	u.store.put("keyed.servers", u.id, nil)
	u.judge.logf("%s ends", u.id)
}

// setGarble makes the upstream faulty; a zero share ends that.
func (u *upstream) setGarble(g garbling) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.garble, u.answers, u.extras = g, 0, 0
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c)
	}
}

// answer is an HTTP answer with a length.
type answer struct {
	status int
	header []string
	body   string
}

func (a answer) bytes() []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		text += h + "\r\n"
	}
	return []byte(text + "Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n\r\n" + a.body)
}

// serve answers the requests of a connection, one at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	var extra []byte
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != nil {
			// The extra answer arrives late, at the point where this request's answer is expected.
			u.judge.logf("%s sends an extra answer before that to %s %s", u.id, r.Method, r.URL.Path)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		data := u.handle(r, body).bytes()
		if _, err := c.Write(data); err != nil {
			return
		}
		if u.drawExtra() {
			extra = data
		}
	}
}

// drawExtra counts an answer and reports whether it is sent once more.
func (u *upstream) drawExtra() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.garble.share == 0 {
		return false
	}
	u.answers++
	if u.rng.Float64() >= u.garble.share {
		return false
	}
	u.extras++
	return true
}

// handle serves one call.
func (u *upstream) handle(r *http.Request, body []byte) answer {
	var echo []string
	if id := r.Header.Get("Request-Id"); id != "" {
		echo = append(echo, "Request-Id: "+id)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		return answer{http.StatusMisdirectedRequest, append(echo, "Not-Executed: 1", "Instance-Id: "+u.id), ""}
	}
	switch r.URL.Path {
	case "/api/grant", "/api/release":
		var call struct {
			From  int    `json:"From"`
			To    int    `json:"To"`
			Fence int64  `json:"fence"`
			Hold  string `json:"Hold"`
		}
		if json.Unmarshal(body, &call) != nil {
			return answer{http.StatusBadRequest, echo, ""}
		}
		if r.URL.Path == "/api/release" {
			return answer{http.StatusOK, append(echo, "Handover: "+u.release(call.From, call.To)), ""}
		}
		d, err := time.ParseDuration(call.Hold)
		if err != nil || d <= 0 {
			return answer{http.StatusBadRequest, echo, ""}
		}
		return answer{u.grant(call.From, call.To, call.Fence, d), echo, ""}
	case "/health":
		return answer{http.StatusOK, append(echo, "Instance-Id: "+u.id), ""}
	}
	return u.execute(r, body, echo)
}

// grant takes a grant and returns the status of its answer.
func (u *upstream) grant(from, to int, fence int64, d time.Duration) int {
	u.judge.mu.Lock() // serializes grants with the check of all upstreams
	defer u.judge.mu.Unlock()
	u.mu.Lock()
	for _, h := range u.seen {
		if h.overlaps(from, to) && h.fence > fence {
			u.mu.Unlock()
			return http.StatusConflict
		}
	}
	isNew := true
	for _, h := range u.holds {
		if h.from <= from && to <= h.to && h.fence == fence {
			isNew = false
		}
	}
	until := time.Now().Add(d)
	u.seen = append(subtract(u.seen, from, to), hold{from: from, to: to, fence: fence})
	u.holds = append(subtract(u.holds, from, to), hold{from, to, fence, until})
	u.mu.Unlock()
	if isNew {
		u.judge.checkGrant(u, from, to, fence)
	}
	return http.StatusOK
}

// release gives keys up. It returns once the work that was running on them has ended.
func (u *upstream) release(from, to int) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	waitFor := map[*run]bool{}
	for rn := range u.running {
		if rn.key < from || rn.key > to {
			continue
		}
		waitFor[rn] = true
		if until := untilOf(u.holds, rn.key); !until.IsZero() {
			rn.holdUntil = until
		}
	}
	u.holds = subtract(u.holds, from, to)
	u.judge.logf("%s is asked to release %d to %d, %d at work on them", u.id, from, to, len(waitFor))
	for {
		waiting := false
		for rn := range waitFor {
			waiting = waiting || u.running[rn]
		}
		if !waiting {
			return fmt.Sprintf("%016x", u.rng.Uint64())
		}
		u.idle.Wait()
	}
}

// untilOf returns when the hold of a key runs out; zero if it is not held.
func untilOf(holds []hold, key int) time.Time {
	for _, h := range holds {
		if h.from <= key && key <= h.to {
			return h.until
		}
	}
	return time.Time{}
}

// holdsKey reports whether the key is held now. u.mu must be locked.
func (u *upstream) holdsKey(key int) bool { return time.Now().Before(untilOf(u.holds, key)) }

// deadlineOf returns until when the work may last by the caller's time limit.
func deadlineOf(r *http.Request) time.Time {
	ms, err := strconv.Atoi(r.Header.Get("Request-Deadline-Ms"))
	if err != nil {
		return time.Now().Add(time.Minute)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// execute runs a keyed request, or rejects it.
func (u *upstream) execute(r *http.Request, body []byte, echo []string) answer {
	deadline := deadlineOf(r)
	id := r.Header.Get("Request-Id")
	rejected := func(status int) answer {
		return answer{status, append(echo, "Not-Executed: 1"), ""}
	}
	if id == "" {
		return rejected(http.StatusBadRequest)
	}
	key := -1
	if text := r.Header.Get("Shard-Key"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return rejected(http.StatusBadRequest)
		}
		key = n
	}
	if !u.takeSlot(deadline) {
		return rejected(http.StatusServiceUnavailable)
	}
	defer func() { <-u.slotFree }()
	rn := &run{id: id, key: key}
	u.mu.Lock()
	if key >= 0 && !u.holdsKey(key) {
		u.mu.Unlock()
		return rejected(http.StatusMisdirectedRequest)
	}
	u.running[rn] = true
	u.mu.Unlock()
	u.judge.began(u, r, body)
	time.Sleep(min(u.work(), time.Until(deadline)))
	u.mu.Lock()
	delete(u.running, rn)
	lapsed := key >= 0 && rn.holdUntil.IsZero() && !u.holdsKey(key)
	u.idle.Broadcast()
	u.mu.Unlock()
	u.judge.ended(u, id)
	switch {
	case lapsed:
		return answer{http.StatusInternalServerError, echo, ""}
	case !time.Now().Before(deadline):
		return answer{http.StatusGatewayTimeout, echo, ""}
	}
	return answer{http.StatusOK, append(echo, "Response-Signature: "+u.id+"."+id), u.pad() + u.id + " ran " + id}
}

// pad returns what brings an answer to its length.
func (u *upstream) pad() string { return strings.Repeat("-", u.answerBytes) }

// takeSlot waits for a slot, unless the queue is full or the deadline passes.
func (u *upstream) takeSlot(deadline time.Time) bool {
	u.mu.Lock()
	if u.queued >= maxQueue {
		u.mu.Unlock()
		return false
	}
	u.queued++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case u.slotFree <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}
