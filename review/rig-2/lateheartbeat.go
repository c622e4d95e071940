package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/metastore"
)

const (
	// lateBy is how long after it was sent the heartbeat without an answer is carried out.
	lateBy = 5800 * time.Millisecond
	// exitAfter is how long after its report an upstream that is draining goes on serving.
	exitAfter = drain + 1400*time.Millisecond
)

// lateHeartbeat: an upstream's heartbeat gets no answer from the store, which carries it out seconds
// later. Meanwhile the upstream reports that it is draining. No request may reach it later than Drain
// after that report.
func lateHeartbeat(w *world) (bool, error) {
	zones := []string{"bangna", "latphrao", "nonthaburi"}
	if err := w.startStore(); err != nil {
		return false, err
	}
	bookings := route{host: "bookings", service: "plantdesk", kind: "unsafe", timeout: 5 * time.Second, objective: 800 * time.Millisecond}
	if err := w.publish(3, bookings); err != nil {
		return false, err
	}
	c := &drainCheck{w: w}
	beating, stopBeats := context.WithCancel(context.Background())
	defer stopBeats()
	for i := range 9 {
		u := &upstream{service: bookings.service, zone: zones[i%3], slots: 3, queue: 12, work: 290 * time.Millisecond}
		if i == 0 {
			u.onRun, u.onLost = c.began, c.lost
			c.leaving = u
		}
		if err := w.startUpstream(u); err != nil {
			return false, err
		}
		if i > 0 {
			go u.beatUntil(beating)
		}
	}
	if err := w.startHosts(zones...); err != nil {
		return false, err
	}
	sending, stopSending := context.WithCancel(context.Background())
	defer stopSending()
	var wg sync.WaitGroup
	for i := range 18 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.call(sending, w.hosts[i%len(w.hosts)], bookings)
		}()
	}
	time.Sleep(5 * time.Second)
	c.play()
	time.Sleep(500 * time.Millisecond)
	stopSending()
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.rec.result("%d requests served, %d refused, %d failed; DRAIN: %d requests began at the leaving upstream from 0.5 s to Drain after its report, %d later than Drain; %d unsafe requests were lost with it",
		c.served, c.refused, c.failed, c.between, c.late, c.lostRuns)
	if c.served < 100 || c.before == 0 {
		return false, fmt.Errorf("%d requests served, %d at the leaving upstream before its report", c.served, c.before)
	}
	if c.between > 0 {
		return false, fmt.Errorf("hosts had not stopped sending to the upstream 0.5 s after its report")
	}
	return c.late > 0, nil
}

// drainCheck counts the requests that reach the leaving upstream.
type drainCheck struct {
	w       *world
	leaving *upstream

	mu                      sync.Mutex
	reported                time.Time
	before, between, late   int
	lostRuns                int
	served, refused, failed int
}

// call sends requests one after the other.
func (c *drainCheck) call(ctx context.Context, h *hostProcess, r route) {
	for ctx.Err() == nil {
		id := newID()
		c.w.rec.add("send %s to %s", id, h.name)
		got := c.w.request(context.Background(), h, r, id)
		c.w.rec.add("answer to %s: %d %q", id, got.status, got.body)
		c.mu.Lock()
		switch got.status {
		case 200:
			c.served++
		case 503:
			c.refused++
		default:
			c.failed++
		}
		c.mu.Unlock()
		time.Sleep(max(got.retry, 20*time.Millisecond))
	}
}

// play has the upstream lose the answer to a heartbeat, go on for StabilityWindow with heartbeats that
// are answered, report that it is draining, and end later than Drain after that.
func (c *drainCheck) play() {
	u := c.leaving
	if c.w.trouble {
		data, _ := u.entry()
		c.w.rec.add("store: heartbeat %s of %s gets no answer", data, u.id)
		timer := time.AfterFunc(lateBy, func() {
			c.w.log.Put(metastore.StreamUpstreams, u.id, data)
			c.w.rec.add("store: the heartbeat %s is carried out", data)
			u.mu.Lock()
			u.listed = "" // the entry has changed, and the next heartbeat changes it again
			u.mu.Unlock()
		})
		defer timer.Stop()
	}
	beats := time.NewTicker(heartbeat)
	defer beats.Stop()
	report := time.After(stability + 100*time.Millisecond)
	var exit <-chan time.Time
	for {
		select {
		case <-beats.C:
			u.beat()
		case <-report:
			u.mu.Lock()
			u.state = "draining"
			u.mu.Unlock()
			u.beat()
			c.mu.Lock()
			c.reported = time.Now()
			c.mu.Unlock()
			beats.Reset(heartbeat)
			exit = time.After(exitAfter)
		case <-exit:
			c.w.rec.add("upstream %s ends", u.id)
			u.end()
			c.w.log.Put(metastore.StreamUpstreams, u.id, nil)
			return
		}
	}
}

// began is called when the leaving upstream begins a request.
func (c *drainCheck) began(_ *upstream, r *run, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch since := time.Since(c.reported); {
	case c.reported.IsZero():
		c.before++
	case since > drain:
		c.late++
		c.w.rec.add("DRAIN: %s begins at the leaving upstream %v after its report", r.id, since.Round(time.Millisecond))
	case since > 500*time.Millisecond:
		c.between++
	}
}

// lost is called for a request that ends with the upstream's process.
func (c *drainCheck) lost(_ *upstream, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reported.IsZero() && time.Since(c.reported) < exitAfter+time.Second {
		c.lostRuns++
		c.w.rec.add("%s is lost with the upstream", r.id)
	}
}
