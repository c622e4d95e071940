// Package desired defines the desired state that operators publish: which
// service serves which host and path, and the limits that apply.
package desired

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"
)

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the sum over the route's shares.
	Weight int
}

// Route assigns the requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent reports whether the route's requests may run more than once.
	Idempotent bool
	// LargeBodies is set if operators expect large request bodies on the route.
	LargeBodies bool
	// Timeout is the longest that a caller waits for a response.
	Timeout time.Duration
	// LatencyObjective is the latency that responses should not exceed.
	LatencyObjective time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts limits how many times one request may be sent to an upstream.
	MaxAttempts int
	// Shares has one entry, or several if the traffic is split.
	Shares []Share
}

// Class groups the requests to one service that are equally urgent and have the same
// latency objective.
type Class struct {
	Service string
	// Priority and Objective are those of the class's routes.
	Priority  int
	Objective time.Duration
}

// ClassFor returns the class of the route's requests to one of its services.
func (r *Route) ClassFor(service string) Class {
	return Class{Service: service, Priority: r.Priority, Objective: r.LatencyObjective}
}

// Service is a group of upstreams.
type Service struct {
	Name string
	// Keyed reports whether the service's keys are divided among its upstreams.
	Keyed bool
	// KeyWarmUp is how long requests for a key are slow after the key has moved to
	// another upstream without a handover.
	KeyWarmUp time.Duration
	// HealthPath is the path of the upstreams' health checks; empty if they have none.
	HealthPath string
	// MaxConns limits the connections to one upstream from all hosts together.
	MaxConns int
	// SlowStart limits the requests to upstreams that have just started.
	SlowStart SlowStart
}

// SlowStart describes the period after an upstream's start, or after a period
// without requests, in which the upstream is cold: slower than usual and easily
// overloaded. Unlike Service.KeyWarmUp, it concerns the upstream, not single keys.
type SlowStart struct {
	// Duration is how long the upstream is cold.
	Duration time.Duration
	// PerSecond is the rate limit of a cold upstream in requests per second from
	// all hosts together; 0 if there is no known limit.
	PerSecond float64
}

// Limits restricts the requests and connections of callers.
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
	// highestPriority is the lowest Priority value of the routes to each service.
	highestPriority map[string]int
	// classes holds the classes of the routes to each service, most urgent first.
	classes      map[string][]Class
	hasCompeting bool
	largeBodies  bool
}

// New returns a state whose routes are indexed by host, longest prefix first.
func New(version int64, routes []*Route, services map[string]*Service, limits Limits) *State {
	s := &State{Version: version, Services: services, Limits: limits, routesByHost: map[string][]*Route{}, highestPriority: map[string]int{},
		classes: map[string][]Class{}}
	for _, r := range routes {
		s.largeBodies = s.largeBodies || r.LargeBodies
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
		for _, sh := range r.Shares {
			if top, ok := s.highestPriority[sh.Service]; !ok || r.Priority < top {
				s.highestPriority[sh.Service] = r.Priority
			}
			if c := r.ClassFor(sh.Service); !slices.Contains(s.classes[sh.Service], c) {
				s.classes[sh.Service] = append(s.classes[sh.Service], c)
			}
		}
	}
	for _, classes := range s.classes {
		slices.SortFunc(classes, func(x, y Class) int {
			return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Objective, y.Objective))
		})
	}
	for service := range s.classes {
		s.hasCompeting = s.hasCompeting || s.Competing(service)
	}
	for _, rs := range s.routesByHost {
		sort.Slice(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return s
}

// Match returns the route with the longest prefix for a host and path, or nil. A
// port in host is ignored.
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

// HighestPriority returns the highest priority (lowest Priority value) of the
// routes to a service.
func (s *State) HighestPriority(service string) int { return s.highestPriority[service] }

// Classes returns the classes of the requests to a service, most urgent first. The
// slice must not be modified.
func (s *State) Classes(service string) []Class { return s.classes[service] }

// Competing reports whether a service has classes of different priorities, which compete
// for its upstreams.
func (s *State) Competing(service string) bool {
	classes := s.classes[service]
	return len(classes) > 1 && classes[0].Priority != classes[len(classes)-1].Priority
}

// HasLargeBodies reports whether operators expect large request bodies on any route.
func (s *State) HasLargeBodies() bool { return s.largeBodies }

// HasCompeting reports whether any service is competing.
func (s *State) HasCompeting() bool { return s.hasCompeting }

// KeyedServices returns the names of the keyed services, sorted.
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
