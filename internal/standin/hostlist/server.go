package hostlist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	hl "github.com/papayatide/papayatide/internal/hostlist"
)

// change is a host's new state, which the list shows from visibleAt on.
type change struct {
	host      hl.Host
	visibleAt time.Time
}

// Server serves the list at GET /hosts and accepts changes at POST /hosts (a JSON
// hostlist.Host).
type Server struct {
	lag     time.Duration
	mu      sync.Mutex
	pending []change
	hosts   map[string]hl.State
}

// NewServer returns an empty host list that shows each change after lag.
func NewServer(lag time.Duration) *Server {
	return &Server{lag: lag, hosts: map[string]hl.State{}}
}

// Set sets a host's state; the list shows it after the lag.
func (s *Server) Set(addr string, st hl.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{hl.Host{Addr: addr, State: st}, time.Now().Add(s.lag)})
}

// Handler serves GET and POST /hosts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.list(time.Now()))
	})
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) {
		var h hl.Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil || h.Addr == "" {
			http.Error(w, "want {\"addr\":..., \"state\":...}", http.StatusBadRequest)
			return
		}
		s.Set(h.Addr, h.State)
	})
	return mux
}

// list applies the changes whose lag is over at now, and returns the hosts sorted
// by address.
func (s *Server) list(now time.Time) hl.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.pending[:0]
	for _, c := range s.pending {
		if now.Before(c.visibleAt) {
			remaining = append(remaining, c)
			continue
		}
		s.hosts[c.host.Addr] = c.host.State
	}
	s.pending = remaining
	l := hl.List{}
	for a, st := range s.hosts {
		l.Hosts = append(l.Hosts, hl.Host{Addr: a, State: st})
	}
	sort.Slice(l.Hosts, func(i, j int) bool { return l.Hosts[i].Addr < l.Hosts[j].Addr })
	return l
}
