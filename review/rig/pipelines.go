package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// pipeUpstreams are the upstreams of the service, pipeSlots the slots of each.
	pipeUpstreams, pipeSlots = 8, 6
	// pipeAnswerBytes is the length of an answer.
	pipeAnswerBytes = 30_000
	// slowRequesters read readChunk bytes each readPause, through a receive buffer of readBuffer, and
	// send a further request each sendPause while fewer than maxOutstanding have no answer.
	slowRequesters = 12
	readChunk      = 4 << 10
	readPause      = 40 * time.Millisecond
	readBuffer     = 8 << 10
	maxOutstanding = 4
	sendPause      = 100 * time.Millisecond
	// pipeTimeLimit is how long a requester waits, pipeTimeout the timeout of the route. countedAge is
	// seven tenths of the lesser.
	pipeTimeLimit, pipeTimeout = 6 * time.Second, 3 * time.Second
	countedAge                 = 2100 * time.Millisecond
	// pipeGrace is Grace, from SIGTERM to the kill.
	pipeGrace = 6 * time.Second
	pipeVHost = "vault.example"
)

// slowPipelines has requesters send safe requests before the first is answered, and read the answers
// slowly. With the disruption, two of three hosts are stopped with SIGTERM, one after the other.
func slowPipelines(e *env) error {
	var err error
	if e.store, err = startStore(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(e.seed, 1))
	var rngMu sync.Mutex
	work := func() time.Duration {
		rngMu.Lock()
		defer rngMu.Unlock()
		return 150*time.Millisecond + time.Duration(rng.Int64N(int64(150*time.Millisecond)))
	}
	if err := e.publish(5, map[string]route{"r-ledger": {pipeVHost, "/ledger/", "safe", "3000ms", "2000ms", 2, "evidence-vault", 2}}, map[string]bool{"evidence-vault": false}); err != nil {
		return err
	}
	for range pipeUpstreams {
		u, err := e.addUpstream("evidence-vault", pipeSlots, work)
		if err != nil {
			return err
		}
		u.answerBytes = pipeAnswerBytes
	}
	if err := e.startHosts(3); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	p := &pipelines{e: e}
	for i := range slowRequesters {
		wg.Go(func() { p.run(ctx, i) })
	}
	time.Sleep(6 * time.Second)
	for _, h := range e.hosts[:2] {
		if e.trouble {
			p.stop(h)
			time.Sleep(pipeGrace)
			h.signal(syscall.SIGKILL) // if it has not ended
			<-h.exited
			time.Sleep(500 * time.Millisecond)
			if err := h.start(); err != nil {
				stop()
				return err
			}
			if err := h.awaitReady(10 * time.Second); err != nil {
				stop()
				return err
			}
		} else {
			time.Sleep(pipeGrace)
		}
		time.Sleep(4 * time.Second)
	}
	stop()
	wg.Wait()
	return nil
}

// pipelines holds when hosts were sent SIGTERM.
type pipelines struct {
	e       *env
	mu      sync.Mutex
	stopped map[*host]time.Time
	lastID  int
}

func (p *pipelines) stop(h *host) {
	p.mu.Lock()
	if p.stopped == nil {
		p.stopped = map[*host]time.Time{}
	}
	p.stopped[h] = time.Now()
	p.mu.Unlock()
	p.e.judge.logf("%s is sent SIGTERM", h.name)
	h.signal(syscall.SIGTERM)
}

// stopping reports whether the host was sent SIGTERM less than Grace and a second ago.
func (p *pipelines) stopping(h *host, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.stopped[h]
	return ok && now.Sub(at) < pipeGrace+time.Second
}

func (p *pipelines) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return fmt.Sprintf("9e2c%08x", p.lastID)
}

// run keeps a connection to a host in rotation until ctx ends. A host that was stopped is out of
// rotation until it has ended and started again.
func (p *pipelines) run(ctx context.Context, i int) {
	for n := i; ctx.Err() == nil; n++ {
		h := p.e.hosts[n%len(p.e.hosts)]
		if p.stopping(h, time.Now()) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		p.pipeline(ctx, h)
	}
}

// sentRequest is a request that has no complete answer.
type sentRequest struct {
	id string
	at time.Time
}

// pipeline sends and reads on one connection until that ends.
func (p *pipelines) pipeline(ctx context.Context, h *host) {
	j := p.e.judge
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
		})
	}}
	c, err := dialer.Dial("tcp4", h.front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	var mu sync.Mutex
	var waiting []sentRequest
	done := make(chan struct{})
	go func() {
		defer close(done)
		br := bufio.NewReaderSize(&slowReader{c}, readChunk)
		for {
			resp, err := http.ReadResponse(br, nil)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
			}
			mu.Lock()
			if err != nil {
				p.lost(h, waiting, err)
				mu.Unlock()
				return
			}
			q := waiting[0]
			waiting = waiting[1:]
			mu.Unlock()
			j.logf("%s answered %d with %d bytes after %d ms, close: %v", q.id, resp.StatusCode, len(body), time.Since(q.at).Milliseconds(), resp.Close)
			j.count(fmt.Sprint("answered ", resp.StatusCode))
			if resp.StatusCode == http.StatusOK && resp.Header.Get("Request-Id") != q.id {
				j.violate("MIXED: request %s got the answer to %s", q.id, resp.Header.Get("Request-Id"))
			}
			if resp.Close {
				return // what was sent behind it counts as not read
			}
		}
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(sendPause):
		}
		mu.Lock()
		if ctx.Err() != nil && len(waiting) == 0 {
			mu.Unlock()
			return
		}
		if ctx.Err() == nil && len(waiting) < maxOutstanding {
			q := sentRequest{p.nextID(), time.Now()}
			waiting = append(waiting, q)
			j.logf("%s sent to %s, %d before it without an answer", q.id, h.name, len(waiting)-1)
			j.count("sent")
			_, _ = fmt.Fprintf(c, "GET /ledger/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\n\r\n", q.id, pipeVHost, q.id, pipeTimeLimit.Milliseconds())
		}
		mu.Unlock()
	}
}

// lost judges the requests whose connection has ended without their complete answers.
func (p *pipelines) lost(h *host, waiting []sentRequest, err error) {
	j := p.e.judge
	for _, q := range waiting {
		age, ran := time.Since(q.at), j.ran(q.id) > 0
		j.logf("%s ends without a complete answer after %d ms, has run: %v: %v", q.id, age.Milliseconds(), ran, err)
		j.count("no answer")
		if ran && age < countedAge && p.stopping(h, time.Now()) {
			j.violate("LOST: %s, sent to %s and passed on to an upstream, gets no complete answer: the connection ends %d ms after the request was sent: %v", q.id, h.name, age.Milliseconds(), err)
		}
	}
}

// slowReader reads slowly.
type slowReader struct{ c net.Conn }

func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(readPause)
	return s.c.Read(b[:min(len(b), readChunk)])
}
