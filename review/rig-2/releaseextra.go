package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// extraShare is the largest share of an upstream's answers that are spoiled, within extraWindow.
	extraShare  = 0.03
	extraWindow = 5 * time.Second
	// callersPerKey is how many callers send requests for each key, one after the other.
	callersPerKey = 2
	// leavings is how many upstreams leave as planned, one after the other.
	leavings = 3
)

// releaseExtraAnswer: keyed upstreams leave as planned. Up to 3 in 100 of their answers are sent a
// second time, late, where the next answer on the connection is due. No upstream may be given a key on
// which another is still at work before that one's hold would have run out.
func releaseExtraAnswer(w *world) (bool, error) {
	zones := []string{"bangna", "latphrao", "nonthaburi"}
	if err := w.startStore(); err != nil {
		return false, err
	}
	orders := route{host: "orders", service: "routeboard", kind: "unsafe", timeout: 5 * time.Second, objective: 1200 * time.Millisecond, sharded: true}
	if err := w.publish(3, orders); err != nil {
		return false, err
	}
	check := &ownerCheck{w: w}
	var upstreams []*upstream
	for i := range 18 {
		u := &upstream{service: orders.service, zone: zones[i%3], slots: 6, queue: 12, work: 600 * time.Millisecond, sharded: true,
			onGrant: check.granted, onRun: check.began}
		if err := w.startUpstream(u); err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	check.upstreams = upstreams
	beating, stopBeats := context.WithCancel(context.Background())
	defer stopBeats()
	for _, u := range upstreams {
		go u.beatUntil(beating)
	}
	if err := w.startHosts(zones...); err != nil {
		return false, err
	}
	if err := awaitKeys(upstreams, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	served := 0
	for i := range leavings {
		n, err := w.leave(upstreams[i], orders)
		if err != nil {
			return false, err
		}
		served += n
	}
	check.mu.Lock()
	defer check.mu.Unlock()
	w.rec.result("%d requests served; %d extra answers; OWNER: %d grants of a key on which another upstream was at work, %d requests begun on such keys",
		served, check.extras(), check.grants, check.runs)
	if served < 20 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return check.grants > 0, nil
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

// awaitKeys waits until the upstreams hold all keys.
func awaitKeys(upstreams []*upstream, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, u := range upstreams {
			for _, g := range u.ranges() {
				n += g.to - g.from + 1
			}
		}
		if n == 1<<16 {
			return nil
		}
	}
	return fmt.Errorf("not all keys are owned after %v", limit)
}

// leave has an upstream report that it is draining while callers send requests for its keys. It
// returns how many of them were served.
func (w *world) leave(u *upstream, r route) (int, error) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	served := 0
	ranges := u.ranges()
	for i := range callersPerKey * len(ranges) {
		key, h := ranges[i/callersPerKey].from, w.hosts[i%len(w.hosts)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				id := newID()
				w.rec.add("send %s key %d to %s", id, key, h.name)
				got := w.request(context.Background(), h, r, id, key)
				w.rec.add("answer to %s: %d %q", id, got.status, got.body)
				if got.status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(max(got.retry, 20*time.Millisecond))
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		u.mu.Lock()
		u.extraBeforeResponse = extraForReleases
		u.mu.Unlock()
	}
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.beat()
	time.Sleep(drain + time.Second)
	cancel()
	wg.Wait()
	u.end()
	return served, nil
}

// extraForReleases has the previous answer on a connection sent once more where that to a release is
// due, as long as the extra answers stay below extraShare of all.
func extraForReleases(u *upstream, path string, from, to int) bool {
	if path != "/api/release" {
		return false
	}
	limit := int(extraShare * float64(u.answersIn(extraWindow)))
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.extras >= limit || u.runsOn(from, to) == 0 {
		return false
	}
	u.extras++
	return true
}

// ownerCheck checks the rule OWNER at every grant and run.
type ownerCheck struct {
	w         *world
	upstreams []*upstream

	mu           sync.Mutex
	grants, runs int
}

func (c *ownerCheck) extras() int {
	n := 0
	for _, u := range c.upstreams {
		u.mu.Lock()
		n += u.extras
		u.mu.Unlock()
	}
	return n
}

// granted is called when an upstream was granted keys.
func (c *ownerCheck) granted(to *upstream, from, last int, fence int64) {
	for _, u := range c.upstreams {
		if u == to {
			continue
		}
		u.mu.Lock()
		for r := range u.running {
			if left := u.holdLeft(r.key); r.key >= from && r.key <= last && left > 0 {
				c.w.rec.add("OWNER: %s is granted %d-%d fence %d while %s is at work on %s key %d, begun %v before; its hold would have lasted %v more", to.id, from, last, fence,
					u.id, r.id, r.key, time.Since(r.began).Round(time.Millisecond), left.Round(time.Millisecond))
				c.mu.Lock()
				c.grants++
				c.mu.Unlock()
			}
		}
		u.mu.Unlock()
	}
}

// holdLeft returns how much longer the upstream would hold the key without a release. u.mu must be held.
func (u *upstream) holdLeft(key int) time.Duration {
	for _, f := range u.fences {
		if f.from <= key && key <= f.to {
			return time.Until(f.until)
		}
	}
	return 0
}

// began is called when an upstream begins a request.
func (c *ownerCheck) began(by *upstream, started *run) {
	for _, u := range c.upstreams {
		if u == by {
			continue
		}
		u.mu.Lock()
		for r := range u.running {
			if r.key == started.key {
				c.w.rec.add("OWNER: %s begins %s key %d while %s is at work on %s of the same key", by.id, started.id, started.key, u.id, r.id)
				c.mu.Lock()
				c.runs++
				c.mu.Unlock()
			}
		}
		u.mu.Unlock()
	}
}
