// Package rangeowner is a stand-in for an upstream that holds ranges of keys for
// limited times and refuses requests for keys that it does not hold.
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

type grant struct {
	from, to     int
	fencingToken int64
	expiresAt    time.Time
}

// Upstream is the stand-in.
type Upstream struct {
	ID       string
	headers  protocol.Headers
	workTime time.Duration
	ln       net.Listener
	srv      *http.Server
	// Fatal, if set, is asked as each request begins to run; true means that
	// it has ended the upstream.
	CrashOn func(*http.Request) bool

	mu         sync.Mutex
	grants     []grant
	lastGrants []grant
	runs       map[string]int
	// arrivals are the requests that were not misdirected, in order.
	arrivals []Arrival
	report   Report
}

// Report is what the upstream says of itself in its answers.
type Report struct {
	// RateLimit is the requests a second that it takes from all hosts together; 0
	// names none.
	RateLimit float64
	// Leaving says that it is about to end.
	Leaving bool
	// Rest, if set, has it turn every request away and ask for so much rest.
	Backoff time.Duration
}

// SetReport sets what the upstream says from now on.
func (u *Upstream) SetReport(s Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report = s
}

// Arrival is a request's coming, and what its answer said.
type Arrival struct {
	ID     string
	At     time.Time
	Report Report
}

// New returns an upstream whose requests take work. It serves them as an
// http.Handler.
func New(id string, h protocol.Headers, work time.Duration) *Upstream {
	return &Upstream{ID: id, headers: h, workTime: work, runs: map[string]int{}}
}

// Start starts an upstream on loopback whose requests take work.
func Start(id string, h protocol.Headers, work time.Duration) (*Upstream, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return StartOn(ln, id, h, work), nil
}

// StartOn starts an upstream that serves the connections of ln.
func StartOn(ln net.Listener, id string, h protocol.Headers, work time.Duration) *Upstream {
	u := New(id, h, work)
	u.ln, u.srv = ln, &http.Server{Handler: u}
	go func() { _ = u.srv.Serve(ln) }()
	return u
}

// Addr returns its host:port.
func (u *Upstream) Addr() string { return u.ln.Addr().String() }

// Kill ends it at once.
func (u *Upstream) Kill() { _ = u.srv.Close() }

// Runs returns how often each request ran, by ID.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[string]int{}
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// Arrivals returns the requests that came from one time to another, in order,
// those that were misdirected not counted.
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

// PeakInSecond returns the largest number of requests that came within a
// second, from one time to another.
func (u *Upstream) PeakInSecond(from, to time.Time) int {
	return PeakInWindow(u.Arrivals(from, to), time.Second)
}

// PeakInWindow returns the largest number of arrivals, which are in order, within a
// window.
func PeakInWindow(all []Arrival, window time.Duration) int {
	most, first := 0, 0
	for i, a := range all {
		for a.At.Sub(all[first].At) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Fenced reports whether it has seen a higher token than r's on one of r's
// keys, and refuses a grant of them.
func (u *Upstream) Fenced(r ownership.Range) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fenced(r)
}

func (u *Upstream) fenced(r ownership.Range) bool {
	for _, h := range u.lastGrants {
		if h.from <= r.To && r.From <= h.to && h.fencingToken > r.FencingToken {
			return true
		}
	}
	return false
}

// Grant takes keys for a time.
func (u *Upstream) Grant(r ownership.Range, d time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fenced(r) {
		return ownership.ErrFenced
	}
	u.lastGrants = append(subtractRange(u.lastGrants, r), grant{r.From, r.To, r.FencingToken, time.Time{}})
	u.grants = append(subtractRange(u.grants, r), grant{r.From, r.To, r.FencingToken, time.Now().Add(d)})
	return nil
}

// Release gives keys back.
func (u *Upstream) Release(r ownership.Range) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grants = subtractRange(u.grants, r)
	return "token-" + u.ID
}

// Holds reports whether it holds the key now.
func (u *Upstream) Holds(key int) bool { return u.HoldsAny(ownership.Range{From: key, To: key}) }

// HoldsAny reports whether it holds a key of the range now.
func (u *Upstream) HoldsAny(r ownership.Range) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.grants {
		if h.from <= r.To && r.From <= h.to && time.Now().Before(h.expiresAt) {
			return true
		}
	}
	return false
}

// subtractRange cuts r out of hs.
func subtractRange(hs []grant, r ownership.Range) []grant {
	var out []grant
	for _, h := range hs {
		if h.to < r.From || h.from > r.To {
			out = append(out, h)
			continue
		}
		left, right := h, h
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

// ServeHTTP runs a request if its key is held here.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(u.headers.RequestID)
	w.Header().Set(u.headers.RequestID, id)
	if e := r.Header.Get(u.headers.ExpectedUpstream); e != "" && e != u.ID {
		u.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if k := r.Header.Get(u.headers.Key); k != "" {
		key, err := strconv.Atoi(k)
		if err != nil || !u.Holds(key) {
			u.refuse(w, http.StatusMisdirectedRequest)
			return
		}
	}
	u.mu.Lock()
	says := u.report
	if says.Backoff == 0 {
		u.runs[id]++
	}
	u.arrivals = append(u.arrivals, Arrival{id, time.Now(), says})
	u.mu.Unlock()
	u.writeReport(w.Header(), says)
	if says.Backoff > 0 {
		u.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if u.CrashOn != nil && u.CrashOn(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(u.workTime)
	w.Header().Set(u.headers.Signature, "signed by "+u.ID)
	_, _ = w.Write([]byte(u.ID + " ran " + id))
}

// writeReport puts what the upstream says into an answer's headers.
func (u *Upstream) writeReport(h http.Header, s Report) {
	if s.RateLimit > 0 {
		h.Set(u.headers.RateLimit, strconv.FormatFloat(s.RateLimit, 'f', -1, 64))
	}
	if s.Leaving {
		h.Set(u.headers.Leaving, "1")
	}
	if s.Backoff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(s.Backoff.Seconds(), 'f', -1, 64))
	}
}

func (u *Upstream) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(u.headers.NotRun, "1")
	w.WriteHeader(status)
}
