package pipeline

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// record is a run-ahead request and its response. It is the ResponseWriter of the
// request's handler.
type record struct {
	c    *Conn
	seq  int
	head []byte
	req  *http.Request
	// handedOver is set once exactly head has been handed to net/http's server as the
	// connection's head number seq.
	handedOver bool
	// reached is closed when net/http's server calls the request's handler, done when
	// the response is complete.
	reached, done     chan struct{}
	started, finished time.Time
	header            http.Header
	status            int
	body              []byte
	// The following are guarded by c.mu. size is the part of c.waitingBytes that is due
	// to this record.
	size                int
	isFinished, settled bool
}

// enter is called when net/http's server has reached a request. It returns the record
// if the request was run ahead.
func (c *Conn) enter(r *http.Request) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front, c.frontChecked = r, false
	var rec *record
	if len(c.records) > 0 {
		rec = c.records[0]
		if rec.seq != c.heads || !rec.handedOver || !sameRequest(rec.req, r) {
			// Not expected. The run-ahead requests have no response then, and run again.
			c.drop()
			return nil
		}
		c.records = c.records[1:]
	}
	c.runAhead()
	return rec
}

// sameRequest reports whether two requests have the same method, target, host and
// headers.
func sameRequest(x, y *http.Request) bool {
	return x.Method == y.Method && x.RequestURI == y.RequestURI && x.Host == y.Host && maps.EqualFunc(x.Header, y.Header, func(a, b []string) bool {
		return strings.Join(a, "\n") == strings.Join(b, "\n")
	})
}

// exit is called when the handler of the request being served ends.
func (c *Conn) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front, c.exited = nil, true
}

// aheadCount returns the number of run-ahead requests behind the one being served.
func (c *Conn) aheadCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

// runAhead starts the handlers of the held requests that qualify, within the bounds.
// That the handler of the front request runs shows that net/http's server has accepted
// its head and will write its response.
func (c *Conn) runAhead() {
	for c.front != nil && !c.closing && !c.unqualified && c.betweenRequests() && len(c.held) > c.ahead &&
		len(c.records) < maxAhead && c.blocked == 0 && c.waitingBytes < maxWaitingBytes && c.s.hasRoomAhead() && !c.s.Stopping() {
		if !c.frontChecked {
			c.frontChecked, c.frontQualifies = true, c.s.qualifies(c.front)
		}
		if !c.frontQualifies {
			return
		}
		rest := c.held[c.ahead:]
		n := headEnd(rest)
		if n == 0 {
			return
		}
		head := append([]byte(nil), rest[:n]...)
		r := c.s.parseHead(head)
		if r == nil {
			c.unqualified = true
			return
		}
		c.ahead += n
		c.start(head, r)
	}
}

// start starts the handler of a request.
func (c *Conn) start(head []byte, r *http.Request) {
	if c.base == nil {
		c.base, c.cancelBase = context.WithCancel(context.WithoutCancel(c.front.Context()))
	}
	r = r.WithContext(c.base)
	r.RemoteAddr = c.front.RemoteAddr
	rec := &record{c: c, seq: c.heads + len(c.records) + 1, head: head, req: r, started: time.Now(), header: http.Header{},
		reached: make(chan struct{}), done: make(chan struct{})}
	c.records = append(c.records, rec)
	c.s.undelivered.Add(1)
	startedTotal.Inc()
	go rec.run()
}

// run runs the request's handler.
func (rec *record) run() {
	defer func() {
		if v := recover(); v != nil {
			logPanic(v)
			rec.fail()
		}
		rec.finish()
	}()
	rec.c.s.Handler.ServeHTTP(rec, rec.req)
	if rec.status == 0 {
		rec.status = http.StatusOK
	}
	// net/http closes the connection after a response of another length than stated.
	if length := rec.header.Get("Content-Length"); length != "" && length != strconv.Itoa(len(rec.body)) &&
		rec.req.Method != http.MethodHead && rec.status != http.StatusNotModified {
		rec.fail()
	}
}

// fail replaces the response by one that guarantees nothing.
func (rec *record) fail() {
	rec.status, rec.header, rec.body = http.StatusBadGateway, http.Header{}, nil
}

func (rec *record) finish() {
	rec.finished = time.Now()
	rec.c.mu.Lock()
	rec.isFinished = true
	if !rec.settled {
		waiting.Add(1)
	}
	rec.c.mu.Unlock()
	close(rec.done)
}

// settle ends the accounting of a record whose response has been written or never will be.
// c.mu is held.
func (c *Conn) settle(rec *record) {
	if rec.settled {
		return
	}
	rec.settled = true
	c.s.undelivered.Add(-1)
	if rec.isFinished {
		waiting.Add(-1)
	}
	c.waitingBytes -= rec.size
	c.s.give(rec.size)
}

// Header implements http.ResponseWriter.
func (rec *record) Header() http.Header { return rec.header }

// maxStatus is the highest status that net/http writes.
const maxStatus = 999

// WriteHeader implements http.ResponseWriter. Informational responses are dropped. An
// invalid status becomes 502, also 101, after which the connection would no longer carry
// HTTP.
func (rec *record) WriteHeader(status int) {
	switch {
	case rec.status != 0:
	case status == http.StatusSwitchingProtocols || status < http.StatusContinue || status > maxStatus:
		rec.status = http.StatusBadGateway
	case status >= http.StatusOK:
		rec.status = status
	}
}

// Write implements http.ResponseWriter. It waits while there is no room for the bytes,
// until the request is reached.
func (rec *record) Write(b []byte) (int, error) {
	rec.WriteHeader(http.StatusOK)
	if err := rec.reserve(len(b)); err != nil {
		return 0, err
	}
	rec.body = append(rec.body, b...)
	return len(b), nil
}

func (rec *record) reserve(n int) error {
	c := rec.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingBytes+n > maxWaitingBytes || !c.s.take(n) {
		c.blocked++
		c.mu.Unlock()
		var err error
		select {
		case <-rec.reached:
		case <-rec.req.Context().Done():
			err = context.Cause(rec.req.Context())
		}
		c.mu.Lock()
		c.blocked--
		return err // the response is being written: its bytes do not wait
	}
	if rec.settled {
		c.s.give(n)
		return nil
	}
	rec.size += n
	c.waitingBytes += n
	return nil
}

// holdBackClose is called before a response's header is written. A Connection: close in
// it, or one that was held back before, is held back while run-ahead requests are
// behind it, and sent with the last one's response.
func (c *Conn) holdBackClose(h http.Header, stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !stopping && !c.closePending && !strings.EqualFold(h.Get("Connection"), "close") {
		return
	}
	if len(c.records) > 0 {
		c.closePending = true
		h.Del("Connection")
		return
	}
	c.closing = true
	h.Set("Connection", "close")
}
