package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// env is what a case runs in.
type env struct {
	judge   *judge
	dir     string
	seed    uint64
	trouble bool
	store   *store
	hosts   []*host
	// subnet is the third number of the hosts' addresses, so that runs side by side don't share one: the
	// port of the metrics is fixed by the template.
	subnet int
	// started counts the upstreams, for their names and seeds.
	started int
}

var zones = []string{"athlone-hall", "tullamore-hall", "mullingar-hall"}

// route is one route of the desired state.
type route struct {
	Host          string `json:"Host"`
	PathPrefix    string `json:"PathPrefix"`
	Kind          string `json:"Kind"`
	Timeout       string `json:"Timeout"`
	TargetLatency string `json:"TargetLatency"`
	Priority      int    `json:"Priority"`
	Service       string `json:"Service"`
	MaxAttempts   int    `json:"MaxAttempts"`
}

// publish writes a desired state.
func (e *env) publish(version int, routes map[string]route, sharded map[string]bool) error {
	services := map[string]any{}
	for name, keyed := range sharded {
		s := map[string]any{"HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false}
		if keyed {
			s["Sharded"], s["Warm"], s["Grants"] = true, "3s", "call"
		}
		services[name] = s
	}
	doc, err := json.Marshal(map[string]any{"Version": fmt.Sprint("r", version), "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}})
	if err != nil {
		return err
	}
	e.store.put("keyed.op", "config", doc)
	return nil
}

// addUpstream starts an upstream in the zones by turns.
func (e *env) addUpstream(service string, slots int, work func() time.Duration) (*upstream, error) {
	e.started++
	id := fmt.Sprintf("i-%08x", rand.New(rand.NewPCG(e.seed, uint64(e.started))).Uint32())
	return startUpstream(fmt.Sprintf("127.2.0.%d", 1+e.started%200), id, service, zones[e.started%len(zones)], slots, work, e.judge, e.store, e.seed+uint64(e.started))
}

// startHosts starts n entry hosts in the zones by turns and waits until they are ready.
func (e *env) startHosts(n int) error {
	for i := range n {
		h, err := newHost(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), fmt.Sprintf("127.1.%d.%d", e.subnet, 1+i), zones[i%len(zones)], e.store.addr, e.dir)
		if err != nil {
			return err
		}
		e.hosts = append(e.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range e.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// shutDown ends all processes that were started.
func (e *env) shutDown() {
	for _, h := range e.hosts {
		h.kill()
	}
	if e.store != nil {
		_ = e.store.srv.Close()
	}
}
