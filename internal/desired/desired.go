// Package desired holds the desired state that operators publish: which
// service serves which host and path, and under which limits.
package desired

import (
	"sort"
	"strings"
	"time"
)

// Share is one part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the sum over the route's shares.
	Weight int
}

// Route says where requests for a host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams one request may be sent to.
	MaxAttempts int
	// Shares has one entry, or several for split traffic.
	Shares []Share
}

// Service is a group of upstreams.
type Service struct {
	Name string
	// Keyed services divide their keys among their upstreams.
	Keyed bool
	// WarmUp is how long keys are slow that arrive without a handover.
	WarmUp time.Duration
	// MaxConns bounds an upstream's connections from all hosts together.
	MaxConns int
	// SlowStart is what its upstreams bear after their start.
	SlowStart SlowStart
}

// SlowStart is the time after its start, or after a pause, in which an upstream
// is cold: slower than usual, and easily overloaded.
type SlowStart struct {
	// Duration is how long it takes.
	Duration time.Duration
	// PerSecond is how many requests a second a cold upstream bears from all
	// hosts together; 0 if no bound is known.
	PerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is one version of the desired state. It is immutable once built.
type State struct {
	Version      int64
	Services     map[string]*Service
	Limits       Limits
	routesByHost map[string][]*Route
	// highestPriority is the highest rank of a route to each service.
	highestPriority map[string]int
}

// New indexes routes by host, longest prefix first.
func New(version int64, routes []*Route, services map[string]*Service, limits Limits) *State {
	s := &State{Version: version, Services: services, Limits: limits, routesByHost: map[string][]*Route{}, highestPriority: map[string]int{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
		for _, sh := range r.Shares {
			if top, ok := s.highestPriority[sh.Service]; !ok || r.Priority < top {
				s.highestPriority[sh.Service] = r.Priority
			}
		}
	}
	for _, rs := range s.routesByHost {
		sort.Slice(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return s
}

// Match returns the route for a host (a port is ignored) and path, or nil.
func (s *State) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range s.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HighestPriority returns the highest rank (lowest Priority) of the routes to a
// service.
func (s *State) HighestPriority(service string) int { return s.highestPriority[service] }

// KeyedServices returns the names of the services divided by key, sorted.
func (s *State) KeyedServices() []string {
	var out []string
	for name, svc := range s.Services {
		if svc.Keyed {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
