// Package rangeowner is a stand-in for an upstream on the platform. It owns ranges of
// keys by grants, each with a TTL and a fencing token, and refuses requests for other
// keys. Package soak serves it with the platform's grant calls (platform/standin);
// tests of package entryhost call Grant and Release directly. Package target is the
// stand-in for a target of a published manifest, which is granted shards of a service.
package rangeowner

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/protocol"
)

// grant is a grant of the keys from..to, both included.
type grant struct {
	from, to     int
	fencingToken int64
	expiresAt    time.Time
}

// Upstream is an upstream stand-in. It is an http.Handler.
type Upstream struct {
	ID       string
	headers  protocol.Headers
	workTime time.Duration
	ln       net.Listener
	srv      *http.Server
	// CrashOn, if set, is called when a request starts to run. It may kill the
	// upstream; it then returns true, and the request gets no response.
	CrashOn func(*http.Request) bool
	// Processing, if set, replaces the fixed work time. Set it before the first request.
	Processing *Processing

	mu sync.Mutex
	// grants are those that were not released; they may have expired. lastGrants
	// are the latest grants of all keys ever granted, without an expiry: their
	// tokens fence off older grants.
	grants     []grant
	lastGrants []grant
	// runs counts the requests run, by request ID.
	runs map[string]int
	// arrivals are the requests that were not misdirected, by time.
	arrivals []Arrival
	report   Report
	draining bool
	endless  *EndlessResponse
	broken   *BrokenResponse
}

// HealthPath is the path of health checks.
const HealthPath = "/health"

// SetDraining has health checks fail from now on.
func (u *Upstream) SetDraining() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// serveHealth responds to a health check.
func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	draining := u.draining || u.report.Leaving
	u.mu.Unlock()
	w.Header().Set(u.headers.ServerID, u.ID)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Report is what the upstream states about itself in response headers.
type Report struct {
	// RateLimit is the requests per second that the upstream accepts from all
	// hosts together; 0 reports no limit.
	RateLimit float64
	// Leaving reports that the upstream is about to stop.
	Leaving bool
	// Backoff, if positive, makes the upstream refuse every request and state
	// this backoff in Retry-After.
	Backoff time.Duration
}

// SetReport sets the report that responses carry from now on.
func (u *Upstream) SetReport(report Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report = report
}

// Arrival is a request that arrived, and the report in its response.
type Arrival struct {
	ID     string
	At     time.Time
	Report Report
}

// New returns an upstream without a listener. Each request runs for workTime.
func New(id string, h protocol.Headers, workTime time.Duration) *Upstream {
	return &Upstream{ID: id, headers: h, workTime: workTime, runs: map[string]int{}}
}

// Start starts an upstream on a free loopback port. Each request runs for workTime.
func Start(id string, h protocol.Headers, workTime time.Duration) (*Upstream, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return StartOn(ln, id, h, workTime), nil
}

// StartOn starts an upstream that serves the connections of ln. Each request runs
// for workTime.
func StartOn(ln net.Listener, id string, h protocol.Headers, workTime time.Duration) *Upstream {
	u := New(id, h, workTime)
	u.ln, u.srv = ln, &http.Server{Handler: u}
	go func() { _ = u.srv.Serve(ln) }()
	return u
}

// Addr returns the listener's address, host:port. It needs Start or StartOn.
func (u *Upstream) Addr() string { return u.ln.Addr().String() }

// Kill closes the listener and all connections. It needs Start or StartOn.
func (u *Upstream) Kill() { _ = u.srv.Close() }

// Runs returns how many times each request ran, by request ID.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[string]int{}
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// Arrivals returns the requests that arrived in [from, to), by time. It leaves out
// misdirected requests.
func (u *Upstream) Arrivals(from, to time.Time) []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []Arrival
	for _, a := range u.arrivals {
		if !a.At.Before(from) && a.At.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// PeakInSecond returns the largest number of requests that arrived within one
// second, out of those in [from, to).
func (u *Upstream) PeakInSecond(from, to time.Time) int {
	return PeakInWindow(u.Arrivals(from, to), time.Second)
}

// PeakInWindow returns the largest number of arrivals within one window. The
// arrivals must be ordered by time.
func PeakInWindow(arrivals []Arrival, window time.Duration) int {
	peak, first := 0, 0
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) >= window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// Fenced reports whether one of r's keys was last granted with a higher fencing
// token than r's. Grant then rejects r.
func (u *Upstream) Fenced(r ownership.Range) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fenced(r)
}

func (u *Upstream) fenced(r ownership.Range) bool {
	for _, g := range u.lastGrants {
		if g.from <= r.To && r.From <= g.to && g.fencingToken > r.FencingToken {
			return true
		}
	}
	return false
}

// Grant accepts the range for ttl from now. It returns ownership.ErrFenced if Fenced
// is true of it.
func (u *Upstream) Grant(r ownership.Range, ttl time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fenced(r) {
		return ownership.ErrFenced
	}
	u.lastGrants = append(subtractRange(u.lastGrants, r), grant{r.From, r.To, r.FencingToken, time.Time{}})
	u.grants = append(subtractRange(u.grants, r), grant{r.From, r.To, r.FencingToken, time.Now().Add(ttl)})
	return nil
}

// Release gives up the range and returns a handover token.
func (u *Upstream) Release(r ownership.Range) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grants = subtractRange(u.grants, r)
	return "token-" + u.ID
}

// Holds reports whether a grant of the key is held and has not expired.
func (u *Upstream) Holds(key int) bool { return u.HoldsAny(ownership.Range{From: key, To: key}) }

// HoldsAny reports whether a grant of any key of the range is held and has not
// expired.
func (u *Upstream) HoldsAny(r ownership.Range) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, g := range u.grants {
		if g.from <= r.To && r.From <= g.to && time.Now().Before(g.expiresAt) {
			return true
		}
	}
	return false
}

// subtractRange returns grants without the keys of r. A grant that extends beyond
// both ends of r is split in two.
func subtractRange(grants []grant, r ownership.Range) []grant {
	var out []grant
	for _, g := range grants {
		if g.to < r.From || g.from > r.To {
			out = append(out, g)
			continue
		}
		left, right := g, g
		left.to, right.from = r.From-1, r.To+1
		if left.from <= left.to {
			out = append(out, left)
		}
		if right.from <= right.to {
			out = append(out, right)
		}
	}
	return out
}

// ServeHTTP runs a request. It refuses one that is meant for another upstream or
// whose key is not held, and every request while the report has a backoff.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(u.headers.RequestID)
	if id == "" && r.URL.Path == HealthPath {
		u.serveHealth(w)
		return
	}
	w.Header().Set(u.headers.RequestID, id)
	if expected := r.Header.Get(u.headers.ExpectedUpstream); expected != "" && expected != u.ID {
		u.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if keyText := r.Header.Get(u.headers.Key); keyText != "" {
		key, err := strconv.Atoi(keyText)
		if err != nil || !u.Holds(key) {
			u.refuse(w, http.StatusMisdirectedRequest)
			return
		}
	}
	if u.serveEndless(w) {
		return
	}
	u.mu.Lock()
	report := u.report
	if report.Backoff == 0 {
		u.runs[id]++
	}
	u.arrivals = append(u.arrivals, Arrival{id, time.Now(), report})
	u.mu.Unlock()
	u.writeReport(w.Header(), report)
	if report.Backoff > 0 {
		u.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if u.CrashOn != nil && u.CrashOn(r) {
		panic(http.ErrAbortHandler)
	}
	detail := ""
	if u.Processing == nil {
		time.Sleep(u.workTime)
	} else {
		var ok bool
		if detail, ok = u.Processing.process(w.Header(), u.headers.Load, r); !ok {
			panic(http.ErrAbortHandler)
		}
	}
	if u.serveBroken(w, id) {
		return
	}
	w.Header().Set(u.headers.Signature, "signed by "+u.ID)
	_, _ = w.Write([]byte(u.ID + detail + " ran " + id))
}

// writeReport sets the headers of h that carry the report.
func (u *Upstream) writeReport(h http.Header, report Report) {
	if report.RateLimit > 0 {
		h.Set(u.headers.RateLimit, strconv.FormatFloat(report.RateLimit, 'f', -1, 64))
	}
	if report.Leaving {
		h.Set(u.headers.Leaving, "1")
	}
	if report.Backoff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(report.Backoff.Seconds(), 'f', -1, 64))
	}
}

// refuse sends status and marks the request as not run.
func (u *Upstream) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(u.headers.NotRun, "1")
	w.WriteHeader(status)
}
