package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"sort"

	"github.com/rotisserie/eris"
)

// DefaultShards is the number of shards a service's keys are hashed into
// when its manifest names none. Placement moves whole shards, so the count
// bounds both the smallest unit of churn and the size of a grant.
const DefaultShards = 4096

// MaxShards bounds a service's shard count so that a placement table stays
// a few hundred kilobytes per service.
const MaxShards = 1 << 16

// Manifest describes one deployment: its data centres and services.
type Manifest struct {
	// Deployment names the customer deployment, e.g. "siam-sludge".
	Deployment string `json:"deployment"`
	// DataCentres lists the data centres by name.
	DataCentres []string `json:"data_centres"`
	// Services lists the keyed services.
	Services []Service `json:"services"`
}

// Service is one keyed service whose keys are divided among upstreams.
type Service struct {
	// Name is the service name used in request paths, e.g. "routeboard".
	Name string `json:"name"`
	// Shards is the number of shards keys hash into (0 means DefaultShards).
	Shards int `json:"shards,omitempty"`
	// FencingChecked says the service's targets check fencing tokens; when
	// false the router alone keeps a second owner from getting work.
	FencingChecked bool `json:"fencing_checked"`
	// Upstreams are the servers that own the service's keys.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one target server of a service.
type Upstream struct {
	// Name is unique within the manifest, e.g. "routeboard-07".
	Name string `json:"name"`
	// Addr is host:port of the target's HTTP endpoint.
	Addr string `json:"addr"`
	// DataCentre is where the target runs; it must be one of DataCentres.
	DataCentre string `json:"data_centre"`
	// Slots is how many requests the target serves at once; it is also the
	// target's weight in placement.
	Slots int `json:"slots"`
	// Connections is the most connections an entry host keeps to it.
	Connections int `json:"connections"`
}

// ShardCount returns the service's shard count with the default applied.
func (s *Service) ShardCount() int {
	if s.Shards == 0 {
		return DefaultShards
	}
	return s.Shards
}

// Parse decodes and validates a manifest. Unknown fields are refused so a
// misspelt key in a generated manifest is caught at publish time.
func Parse(data []byte) (*Manifest, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var m Manifest
	if err := dec.Decode(&m); err != nil {
		return nil, eris.Wrap(err, "manifest: decode")
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return &m, nil
}

// Encode returns the manifest as indented JSON.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "manifest: encode")
	}
	return data, nil
}

// Validate reports the first problem found, naming the field at fault.
func (m *Manifest) Validate() error {
	if m.Deployment == "" {
		return eris.New("manifest: deployment is empty")
	}
	if len(m.DataCentres) == 0 {
		return eris.New("manifest: data_centres is empty")
	}
	dcs := map[string]bool{}
	for _, dc := range m.DataCentres {
		if dc == "" || dcs[dc] {
			return eris.Errorf("manifest: data centre %q is empty or repeated", dc)
		}
		dcs[dc] = true
	}
	if len(m.Services) == 0 {
		return eris.New("manifest: services is empty")
	}
	services := map[string]bool{}
	upstreams := map[string]bool{}
	for i := range m.Services {
		s := &m.Services[i]
		if s.Name == "" || services[s.Name] {
			return eris.Errorf("manifest: service %q is empty or repeated", s.Name)
		}
		services[s.Name] = true
		if err := s.validate(dcs, upstreams); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) validate(dcs, seen map[string]bool) error {
	if s.Shards < 0 || s.Shards > MaxShards {
		return eris.Errorf("manifest: service %s: shards %d outside 0..%d", s.Name, s.Shards, MaxShards)
	}
	if len(s.Upstreams) == 0 {
		return eris.Errorf("manifest: service %s has no upstreams", s.Name)
	}
	for _, u := range s.Upstreams {
		if u.Name == "" || seen[u.Name] {
			return eris.Errorf("manifest: service %s: upstream %q is empty or repeated", s.Name, u.Name)
		}
		seen[u.Name] = true
		if _, _, err := net.SplitHostPort(u.Addr); err != nil {
			return eris.Wrapf(err, "manifest: upstream %s: addr %q", u.Name, u.Addr)
		}
		if !dcs[u.DataCentre] {
			return eris.Errorf("manifest: upstream %s: data centre %q not in data_centres", u.Name, u.DataCentre)
		}
		if u.Slots < 1 || u.Connections < 1 {
			return eris.Errorf("manifest: upstream %s: slots and connections must be at least 1", u.Name)
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (m *Manifest) Service(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

// UpstreamNames returns the service's upstream names, sorted.
func (s *Service) UpstreamNames() []string {
	names := make([]string, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		names = append(names, u.Name)
	}
	sort.Strings(names)
	return names
}

// String names the manifest briefly for logs.
func (m *Manifest) String() string {
	return fmt.Sprintf("%s (%d services)", m.Deployment, len(m.Services))
}
