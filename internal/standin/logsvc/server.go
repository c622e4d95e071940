package logsvc

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/papayatide/papayatide/rpc/logsvcpb"
)

// MaxRead is the most records that one Read returns.
const MaxRead = 1000

// Faults configures the faults to inject. The zero value injects none.
type Faults struct {
	// Outage makes every call fail with twirp.Unavailable.
	Outage bool `json:"outage"`
	// DelayMs delays every call by this many milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseAckRate is the probability in [0,1] that an append takes effect but
	// returns twirp.Unavailable.
	LoseAckRate float64 `json:"lose_ack_rate"`
}

type stream struct {
	first   int64 // offset of records[0]
	records []*logsvcpb.Record
}

// Server is the in-memory log service. It is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
	faults    Faults
}

// NewServer returns a log service that drops records older than retention; 0 keeps
// all records.
func NewServer(retention time.Duration) *Server {
	return &Server{streams: map[string]*stream{}, retention: retention}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Handler serves the twirp API and POST /faults (a JSON Faults body).
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	ts := logsvcpb.NewLogServer(s)
	mux.Handle(ts.PathPrefix(), ts)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

// applyFaults delays or fails a call as the current faults demand, and returns them.
func (s *Server) applyFaults(ctx context.Context) (Faults, error) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		case <-ctx.Done():
			return f, twirp.NewError(twirp.DeadlineExceeded, "log: delayed past deadline")
		}
	}
	if f.Outage {
		return f, twirp.NewError(twirp.Unavailable, "log: outage")
	}
	return f, nil
}

// stream returns a stream and creates it on first use. s.mu must be locked.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

// Append implements logsvcpb.Log.
func (s *Server) Append(ctx context.Context, req *logsvcpb.AppendRequest) (*logsvcpb.AppendResponse, error) {
	f, err := s.applyFaults(ctx)
	if err != nil {
		return nil, err
	}
	if req.Stream == "" {
		return nil, twirp.RequiredArgumentError("stream")
	}
	s.mu.Lock()
	st := s.stream(req.Stream)
	next := st.first + int64(len(st.records))
	if req.Conditional && req.ExpectedNext != next {
		s.mu.Unlock()
		// The stream does not end at the expected offset.
		return nil, twirp.NewError(twirp.FailedPrecondition, "log: stream moved on").
			WithMeta("next", strconv.FormatInt(next, 10))
	}
	now := time.Now()
	st.records = append(st.records, &logsvcpb.Record{Offset: next, Data: req.Data, UnixMs: now.UnixMilli()})
	s.trim(st, now)
	s.mu.Unlock()
	// Injected fault: the record is appended, but the client gets an error.
	if f.LoseAckRate > 0 && rand.Float64() < f.LoseAckRate {
		return nil, twirp.NewError(twirp.Unavailable, "log: answer lost")
	}
	return &logsvcpb.AppendResponse{Offset: next}, nil
}

// trim drops records older than the retention. It always keeps the newest record,
// so a stream's latest state survives at any age. s.mu must be locked.
func (s *Server) trim(st *stream, now time.Time) {
	if s.retention <= 0 {
		return
	}
	cut := now.Add(-s.retention).UnixMilli()
	drop := 0
	for drop < len(st.records)-1 && st.records[drop].UnixMs < cut {
		drop++
	}
	st.records = st.records[drop:]
	st.first += int64(drop)
}

// Read implements logsvcpb.Log.
func (s *Server) Read(ctx context.Context, req *logsvcpb.ReadRequest) (*logsvcpb.ReadResponse, error) {
	if _, err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	max := int(req.Max)
	if max <= 0 || max > MaxRead {
		max = MaxRead
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(req.Stream)
	s.trim(st, time.Now())
	next := st.first + int64(len(st.records))
	from := max64(req.From, st.first)
	resp := &logsvcpb.ReadResponse{Next: next, First: st.first}
	for off := from; off < next && len(resp.Records) < max; off++ {
		resp.Records = append(resp.Records, st.records[off-st.first])
	}
	return resp, nil
}

func max64(a, b int64) int64 {
	if a > b {
		return a
	}
	return b
}
