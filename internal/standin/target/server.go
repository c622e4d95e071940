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

// Options configures a Server.
type Options struct {
	// Name is the upstream's name, repeated in every answer.
	Name string
	// Slots is how many requests run at once; further ones are shed.
	Slots int
	// CheckFencing makes the target refuse requests without a current grant.
	CheckFencing bool
	// WorkTime is the processing time of one request.
	WorkTime time.Duration
	// ColdStart is the period after startup in which each request takes
	// ColdWorkTime instead of WorkTime.
	ColdStart    time.Duration
	ColdWorkTime time.Duration
	// HealthLag is how long the health endpoint still reports ok after Drain.
	HealthLag time.Duration
	// ReturnPreviousAnswer makes the target respond to each request with the answer to
	// the previous one, as a faulty middlebox would. The first request gets its
	// own answer.
	ReturnPreviousAnswer bool
	// CrashOn, if set, is called with the target's name and the request's key
	// when work on a request starts. It may kill the target; it then returns
	// true, and the request gets no response.
	CrashOn func(name, key string) bool
}

// Answer is the JSON body of the response to a work request (a request to tp.PathWork).
type Answer struct {
	Upstream  string `json:"upstream"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	// Ops is how many operations (requests other than GET) have run on the key.
	Ops int64 `json:"ops"`
	// Replayed is true if the answer was stored under the idempotency key and
	// the operation did not run again.
	Replayed bool `json:"replayed"`
}

// grantState is the latest grant of one service, with its shards as a set.
type grantState struct {
	grant   tp.Grant
	shards  map[int]bool
	expires time.Time
}

// Server is a target stand-in.
type Server struct {
	opts     Options
	started  time.Time
	inflight atomic.Int64
	draining atomic.Bool
	// drainStart is when draining began, in Unix nanoseconds.
	drainStart atomic.Int64

	// pauseMu is write-locked while the target is paused, which blocks new
	// requests.
	pauseMu sync.RWMutex

	mu sync.Mutex
	// grants holds the latest grant of each service.
	grants map[string]*grantState
	// opCounts is Answer.Ops by service/key.
	opCounts map[string]int64
	// answersByIdempotencyKey holds answers by service/key and idempotency key.
	answersByIdempotencyKey map[string]Answer
	// runsByKey counts the operations run, by service/key, for tests. It always
	// equals opCounts.
	runsByKey map[string]int64
	// runsByIdempotencyKey counts the operations run, by service/key and
	// idempotency key, for tests.
	runsByIdempotencyKey map[string]int64
	// blackholedBefore, if not 0, is a time in Unix nanoseconds: connections
	// accepted before it get no responses, as if a middlebox had lost their state.
	blackholedBefore atomic.Int64
	// previousAnswer is the answer to the latest request, for ReturnPreviousAnswer.
	previousAnswer *Answer
}

// NewServer returns a target stand-in with at least one slot.
func NewServer(opts Options) *Server {
	if opts.Slots < 1 {
		opts.Slots = 1
	}
	return &Server{opts: opts, started: time.Now(), grants: map[string]*grantState{},
		opCounts: map[string]int64{}, answersByIdempotencyKey: map[string]Answer{}, runsByKey: map[string]int64{}, runsByIdempotencyKey: map[string]int64{}}
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

// awaitResume blocks while the target is paused.
func (s *Server) awaitResume() {
	s.pauseMu.RLock()
	defer s.pauseMu.RUnlock()
}

// connAcceptTimeKey is the context key of a connection's accept time.
type connAcceptTimeKey struct{}

// ConnContext records a connection's accept time. BlackholeConns works only on
// servers that have it as http.Server.ConnContext.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connAcceptTimeKey{}, time.Now().UnixNano())
}

// BlackholeConns disables all connections that are open now: requests on them get
// no response and do not run. New connections work.
func (s *Server) BlackholeConns() { s.blackholedBefore.Store(time.Now().UnixNano()) }

// blackholed reports whether r arrived on a connection that BlackholeConns
// disabled.
func (s *Server) blackholed(r *http.Request) bool {
	acceptedAt, ok := r.Context().Value(connAcceptTimeKey{}).(int64)
	return ok && acceptedAt < s.blackholedBefore.Load()
}

// Pause blocks new requests until Resume, similar to SIGSTOP, except that requests in
// flight continue. The TTLs of the target's grants keep running.
func (s *Server) Pause() { s.pauseMu.Lock() }

// Resume ends a Pause. The target still has the grants it had before.
func (s *Server) Resume() { s.pauseMu.Unlock() }

// Drain makes the target refuse new work requests and mark them as not run, as before a
// planned stop.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.drainStart.Store(time.Now().UnixNano())
}

// RunsOnKey returns how many operations (requests other than GET) ran on the key in this
// incarnation.
func (s *Server) RunsOnKey(service, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[service+"/"+key]
}

// Runs returns how many times the operation with idempotency key ik ran on service/key
// in this incarnation.
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
	current := s.grants[g.Service]
	if current != nil && g.Epoch < current.grant.Epoch {
		http.Error(w, "grant older than the one held", http.StatusConflict)
		return
	}
	ttl := time.Duration(g.TTLMs) * time.Millisecond
	if g.Renew {
		if current == nil || current.grant.Epoch != g.Epoch || current.grant.Since != g.Since {
			http.Error(w, "renewal of a grant not held", http.StatusConflict)
			return
		}
		current.expires = time.Now().Add(ttl)
		return
	}
	state := &grantState{grant: g, shards: map[int]bool{}, expires: time.Now().Add(ttl)}
	for _, sh := range g.Shards {
		state.shards[sh] = true
	}
	s.grants[g.Service] = state
}

func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	start := s.drainStart.Load()
	if s.draining.Load() && time.Since(time.Unix(0, start)) >= s.opts.HealthLag {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// refuse sends an error response that marks the request as not run.
func refuse(w http.ResponseWriter, code int, reason string) {
	w.Header().Set(tp.HeaderNotRun, "1")
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, code)
}

// fencingRefusal returns why the service's grant does not allow r, or "" if it does.
func (s *Server) fencingRefusal(service string, r *http.Request) string {
	if !s.opts.CheckFencing {
		return ""
	}
	token, tokenErr := strconv.ParseInt(r.Header.Get(tp.HeaderFencingToken), 10, 64)
	shard, shardErr := strconv.Atoi(r.Header.Get(tp.HeaderShard))
	if tokenErr != nil || shardErr != nil {
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
	// Fencing tokens are placement epochs. Since to Epoch are those whose placement
	// gives the target the shards of this grant.
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
	if reason := s.fencingRefusal(service, r); reason != "" {
		refuse(w, http.StatusConflict, reason)
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
		return // cancelled by the client; nothing ran
	}
	ans := s.apply(r, service, key)
	if s.opts.ReturnPreviousAnswer {
		ans = s.replacePreviousAnswer(ans)
	}
	w.Header().Set(tp.HeaderRequestID, ans.RequestID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ans)
}

// replacePreviousAnswer stores ans as the previous answer and returns the one stored
// before, or ans if there is none.
func (s *Server) replacePreviousAnswer(ans Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.previousAnswer
	s.previousAnswer = &ans
	if prev == nil {
		return ans
	}
	return *prev
}

// waitWorkTime waits for the request's processing time. It returns false if the
// request was cancelled.
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

// apply runs the request on the key's state. GET only reads; any other method is an
// operation, which runs once per idempotency key.
func (s *Server) apply(r *http.Request, service, key string) Answer {
	requestID := r.Header.Get(tp.HeaderRequestID)
	stateKey := service + "/" + key
	s.mu.Lock()
	defer s.mu.Unlock()
	ans := Answer{Upstream: s.opts.Name, Service: service, Key: key, RequestID: requestID}
	if r.Method == http.MethodGet {
		ans.Ops = s.opCounts[stateKey]
		return ans
	}
	idempotencyKey := r.Header.Get(tp.HeaderIdempotencyKey)
	if prev, ok := s.answersByIdempotencyKey[stateKey+"\x00"+idempotencyKey]; ok && idempotencyKey != "" {
		prev.Replayed, prev.RequestID = true, requestID
		return prev
	}
	s.opCounts[stateKey]++
	s.runsByKey[stateKey]++
	s.runsByIdempotencyKey[stateKey+"\x00"+idempotencyKey]++
	ans.Ops = s.opCounts[stateKey]
	if idempotencyKey != "" {
		s.answersByIdempotencyKey[stateKey+"\x00"+idempotencyKey] = ans
	}
	return ans
}
