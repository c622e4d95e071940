package entryhost

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/catalogue"
	"github.com/papayatide/papayatide/internal/desired"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

// urgentRoute and relaxedRoute are the routes of the competing service.
const urgentRoute, relaxedRoute = "urgent.example", "relaxed.example"

// unkeyedRoute is the route to the service whose requests have no key.
const unkeyedRoute = "plain.example"

// decoder decodes the test's records. An upstream's entry is a catalogue.Upstream
// in JSON. The desired state's record is its version, and padding after a space: routes and
// services are fixed, except that with the padding "competing" there is a less urgent route to the
// keyed service, browse.example.
type decoder struct{}

func (decoder) Desired(key string, data []byte) (*desired.State, error) {
	if key != "state" {
		return nil, nil
	}
	text, rest, _ := strings.Cut(string(data), " ")
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, err
	}
	route := func(host string, idempotent bool) *desired.Route {
		return &desired.Route{Name: host, Host: host, Prefix: "/", Idempotent: idempotent, Timeout: time.Second,
			LatencyObjective: 600 * time.Millisecond, MaxAttempts: 2, Shares: []desired.Share{{Service: "sheets", Weight: 1}}}
	}
	plain := route(unkeyedRoute, true)
	plain.Shares = []desired.Share{{Service: "plain", Weight: 1}}
	urgent, relaxed := route(urgentRoute, false), route(relaxedRoute, true)
	urgent.Shares = []desired.Share{{Service: "contended", Weight: 1}}
	relaxed.Shares, relaxed.Priority, relaxed.LatencyObjective = urgent.Shares, 1, 2*urgent.LatencyObjective
	slow := desired.SlowStart{Duration: 3 * time.Second, PerSecond: 4}
	routes := []*desired.Route{route("read.example", true), route("charge.example", false), plain, urgent, relaxed}
	if rest == "competing" {
		browse := route("browse.example", true)
		browse.Priority = 2
		routes = append(routes, browse)
	}
	return desired.New(version, routes,
		map[string]*desired.Service{"sheets": {Name: "sheets", Keyed: true, SlowStart: slow, HealthPath: rangeowner.HealthPath},
			"plain": {Name: "plain", SlowStart: slow, HealthPath: rangeowner.HealthPath}, "contended": {Name: "contended"}},
		desired.Limits{}), nil
}

func (decoder) EvacuatedDataCentre(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

func (decoder) Upstream(_ string, data []byte, _ time.Time) (*catalogue.Upstream, error) {
	var u catalogue.Upstream
	return &u, json.Unmarshal(data, &u)
}
