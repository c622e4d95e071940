package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"sort"

	"github.com/rotisserie/eris"
)

// DefaultShards is the number of shards of a service whose manifest sets none.
// A shard is the unit of placement: all of its keys change owner together. With
// fewer shards each move affects more keys; with more, the lists of shards in grants
// are longer.
const DefaultShards = 4096

// MaxShards is the most shards that a service may have. It limits the service's
// placement table to a few hundred kilobytes.
const MaxShards = 1 << 16

// Manifest describes one deployment: its data centres and services.
type Manifest struct {
	// Deployment is the name of the customer's deployment, e.g. "siam-sludge".
	Deployment string `json:"deployment"`
	// DataCentres are the names of the data centres.
	DataCentres []string  `json:"data_centres"`
	Services    []Service `json:"services"`
}

// Service is a service whose keys are divided among its upstreams.
type Service struct {
	// Name is the service name used in request paths, e.g. "routeboard".
	Name string `json:"name"`
	// Shards is the number of shards that keys hash to; 0 means DefaultShards.
	Shards int `json:"shards,omitempty"`
	// FencingChecked is set if the service's targets check fencing tokens. If
	// they don't, only the router prevents requests from reaching a previous
	// owner.
	FencingChecked bool `json:"fencing_checked"`
	// Upstreams are the servers that own the service's keys.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is a target server of a service.
type Upstream struct {
	// Name is unique in the manifest, e.g. "routeboard-07".
	Name string `json:"name"`
	// Addr is the host:port of the target's HTTP endpoint.
	Addr string `json:"addr"`
	// DataCentre is where the target runs, one of Manifest.DataCentres.
	DataCentre string `json:"data_centre"`
	// Slots is how many requests the target serves concurrently. It is also
	// the target's weight in placement.
	Slots int `json:"slots"`
	// Connections is the maximum of connections from one entry host.
	Connections int `json:"connections"`
}

// ShardCount returns the number of shards, DefaultShards if none is set.
func (s *Service) ShardCount() int {
	if s.Shards == 0 {
		return DefaultShards
	}
	return s.Shards
}

// Parse decodes and validates a manifest. It rejects unknown fields, so that a
// misspelt field is found when the manifest is published.
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

// Validate returns an error that names the first invalid field, or nil.
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

// validate checks s. dcs are the manifest's data centres. seen holds the upstream
// names of the services checked before, and gets those of s.
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

// Service returns the service with the given name, or nil.
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

// String returns a short description for logs.
func (m *Manifest) String() string {
	return fmt.Sprintf("%s (%d services)", m.Deployment, len(m.Services))
}
