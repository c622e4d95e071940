package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	tp "github.com/papayatide/papayatide/internal/target"
)

// Options shape the stand-in's behaviour.
type Options struct {
	// Name is the upstream's name, echoed in answers.
	Name string
	// Slots is how many requests run at once; more are shed.
	Slots int
	// CheckFencing makes the target refuse requests without a current grant.
	CheckFencing bool
	// WorkTime is how long one request takes.
	WorkTime time.Duration
	// ColdStart is how long after start requests take ColdWorkTime instead.
	ColdStart    time.Duration
	ColdWorkTime time.Duration
	// HealthLag delays the health endpoint's view of draining.
	HealthLag time.Duration
	// CrossAnswers makes the target answer each request with the answer
	// it gave the request before, as a confused middlebox would.
	CrossAnswers bool
	// Fatal, if set, is asked as the named target begins to run work on a key;
	// true means that it has ended the target.
	CrashOn func(name, key string) bool
}

// Answer is the JSON body a target returns for work.
type Answer struct {
	Upstream  string `json:"upstream"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	// Ops is how many non-idempotent operations have run on the key.
	Ops int64 `json:"ops"`
	// Replayed says the answer was stored under the idempotency key and
	// the operation did not run again.
	Replayed bool `json:"replayed"`
}

type grantState struct {
	grant   tp.Grant
	shards  map[int]bool
	expires time.Time
}

// Server is one stand-in target.
type Server struct {
	opts       Options
	started    time.Time
	inflight   atomic.Int64
	draining   atomic.Bool
	drainStart atomic.Int64

	// pauseMu is held for writing while the target is paused, so every
	// handler stalls at entry the way a frozen process would.
	pauseMu sync.RWMutex

	mu                      sync.Mutex
	grants                  map[string]*grantState
	opCounts                map[string]int64
	answersByIdempotencyKey map[string]Answer
	// Executed counts operations actually run, by service/key; tests read it.
	executed map[string]int64
	// runsByIdempotencyKey counts runs per service/key/idempotency key; tests read it.
	runsByIdempotencyKey map[string]int64
	// silentBefore, when set, is a UnixNano time: connections accepted
	// before it get no answers, as if a middlebox lost track of them.
	blackholedBefore atomic.Int64
	// previousAnswer is the last answer given, for CrossAnswers.
	previousAnswer *Answer
}

// NewServer returns a stand-in target.
func NewServer(opts Options) *Server {
	if opts.Slots < 1 {
		opts.Slots = 1
	}
	return &Server{opts: opts, started: time.Now(), grants: map[string]*grantState{},
		opCounts: map[string]int64{}, answersByIdempotencyKey: map[string]Answer{}, executed: map[string]int64{}, runsByIdempotencyKey: map[string]int64{}}
}

// Handler serves grants, work and health.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tp.PathGrant, s.handleGrant)
	mux.HandleFunc("GET "+tp.PathHealth, s.handleHealth)
	mux.HandleFunc(tp.PathWork+"{service}/{key...}", s.handleWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.awaitResume()
		if s.blackholed(r) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// awaitResume stalls while the target is paused.
func (s *Server) awaitResume() {
	s.pauseMu.RLock()
	defer s.pauseMu.RUnlock()
}

type connAcceptTimeKey struct{}

// ConnContext stamps each connection with its accept time; pass it as
// http.Server.ConnContext so that Silence can tell old connections apart.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connAcceptTimeKey{}, time.Now().UnixNano())
}

// BlackholeConns makes every connection open now go silent for good: requests on
// them get no answer and nothing runs, while new connections work.
func (s *Server) BlackholeConns() { s.blackholedBefore.Store(time.Now().UnixNano()) }

// blackholed reports whether r came on a connection that was silenced.
func (s *Server) blackholed(r *http.Request) bool {
	at, ok := r.Context().Value(connAcceptTimeKey{}).(int64)
	return ok && at < s.blackholedBefore.Load()
}

// Pause freezes the target: requests stall until Resume, and its grants
// age meanwhile, as they would for a process stopped by the kernel.
func (s *Server) Pause() { s.pauseMu.Lock() }

// Resume ends a Pause; the target still believes in the grants it held.
func (s *Server) Resume() { s.pauseMu.Unlock() }

// Drain marks the target as leaving: new work is refused as not run.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.drainStart.Store(time.Now().UnixNano())
}

// Executed returns how many times a non-idempotent operation ran on key.
func (s *Server) Executed(service, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[service+"/"+key]
}

// Runs returns how many times the operation with idempotency key ik ran
// on service/key here.
func (s *Server) Runs(service, key, ik string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByIdempotencyKey[service+"/"+key+"\x00"+ik]
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var g tp.Grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.grants[g.Service]
	if cur != nil && g.Epoch < cur.grant.Epoch {
		http.Error(w, "grant older than the one held", http.StatusConflict)
		return
	}
	lease := time.Duration(g.TTLMs) * time.Millisecond
	if g.Renew {
		if cur == nil || cur.grant.Epoch != g.Epoch || cur.grant.Since != g.Since {
			http.Error(w, "renewal of a grant not held", http.StatusConflict)
			return
		}
		cur.expires = time.Now().Add(lease)
		return
	}
	st := &grantState{grant: g, shards: map[int]bool{}, expires: time.Now().Add(lease)}
	for _, sh := range g.Shards {
		st.shards[sh] = true
	}
	s.grants[g.Service] = st
}

func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	at := s.drainStart.Load()
	if s.draining.Load() && time.Since(time.Unix(0, at)) >= s.opts.HealthLag {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func refuse(w http.ResponseWriter, code int, why string) {
	w.Header().Set(tp.HeaderNotRun, "1")
	w.Header().Set("Retry-After", "1")
	http.Error(w, why, code)
}

// fencingRefusal reports why a request must be refused under the grants held, or "".
func (s *Server) fencingRefusal(service string, r *http.Request) string {
	if !s.opts.CheckFencing {
		return ""
	}
	token, err1 := strconv.ParseInt(r.Header.Get(tp.HeaderFencingToken), 10, 64)
	shard, err2 := strconv.Atoi(r.Header.Get(tp.HeaderShard))
	if err1 != nil || err2 != nil {
		return "missing fencing token or shard"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grants[service]
	switch {
	case g == nil:
		return "no grant"
	case time.Now().After(g.expires):
		return "grant lease lapsed"
	case token < g.grant.Since || token > g.grant.Epoch:
		return "fencing token not current"
	case !g.shards[shard]:
		return "shard not granted"
	}
	return ""
}

func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	service, key := r.PathValue("service"), r.PathValue("key")
	if s.draining.Load() {
		refuse(w, http.StatusServiceUnavailable, "draining")
		return
	}
	if why := s.fencingRefusal(service, r); why != "" {
		refuse(w, http.StatusConflict, why)
		return
	}
	if s.inflight.Add(1) > int64(s.opts.Slots) {
		s.inflight.Add(-1)
		refuse(w, http.StatusServiceUnavailable, "shed")
		return
	}
	defer s.inflight.Add(-1)
	if s.opts.CrashOn != nil && s.opts.CrashOn(s.opts.Name, key) {
		panic(http.ErrAbortHandler)
	}
	if !s.waitWorkTime(r) {
		return // cancelled: the caller is gone, nothing ran
	}
	ans := s.apply(r, service, key)
	if s.opts.CrossAnswers {
		ans = s.swapWithPrevious(ans)
	}
	w.Header().Set(tp.HeaderRequestID, ans.RequestID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ans)
}

// swapWithPrevious returns the previous answer in place of ans (ans itself the first
// time) and keeps ans for the next request.
func (s *Server) swapWithPrevious(ans Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.previousAnswer
	s.previousAnswer = &ans
	if prev == nil {
		return ans
	}
	return *prev
}

// waitWorkTime waits out the request's processing time; false if it was cancelled.
func (s *Server) waitWorkTime(r *http.Request) bool {
	d := s.opts.WorkTime
	if time.Since(s.started) < s.opts.ColdStart {
		d = s.opts.ColdWorkTime
	}
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// apply runs the request on the key's state. Idempotent reads (GET) only
// look; anything else is an operation, run once per idempotency key.
func (s *Server) apply(r *http.Request, service, key string) Answer {
	id := r.Header.Get(tp.HeaderRequestID)
	sk := service + "/" + key
	s.mu.Lock()
	defer s.mu.Unlock()
	ans := Answer{Upstream: s.opts.Name, Service: service, Key: key, RequestID: id}
	if r.Method == http.MethodGet {
		ans.Ops = s.opCounts[sk]
		return ans
	}
	ik := r.Header.Get(tp.HeaderIdempotencyKey)
	if prev, ok := s.answersByIdempotencyKey[sk+"\x00"+ik]; ok && ik != "" {
		prev.Replayed, prev.RequestID = true, id
		return prev
	}
	s.opCounts[sk]++
	s.executed[sk]++
	s.runsByIdempotencyKey[sk+"\x00"+ik]++
	ans.Ops = s.opCounts[sk]
	if ik != "" {
		s.answersByIdempotencyKey[sk+"\x00"+ik] = ans
	}
	return ans
}
