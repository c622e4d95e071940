package manifest

import (
	"embed"
	"fmt"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

//go:embed examples/*.json
var examples embed.FS

// Example returns an embedded example manifest by name ("siam-sludge",
// "shannonvale"). Its upstreams have loopback addresses, so that entry hosts and
// targets can run on one machine.
func Example(name string) ([]byte, error) {
	data, err := examples.ReadFile("examples/" + name + ".json")
	if err != nil {
		return nil, eris.Errorf("manifest: no example %q (have %s)", name, strings.Join(ExampleNames(), ", "))
	}
	return data, nil
}

// ExampleNames returns the names of the example manifests, sorted.
func ExampleNames() []string {
	entries, _ := examples.ReadDir("examples")
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".json"))
	}
	sort.Strings(names)
	return names
}

// ServiceSpec describes one service of a generated manifest: its name, its number of
// upstreams and whether its targets check fencing tokens.
type ServiceSpec struct {
	Name           string
	Upstreams      int
	FencingChecked bool
}

// Generate returns a manifest whose upstreams have loopback addresses with
// consecutive ports from firstPort on, round-robin over the data centres dcs. slots
// and conns are each upstream's Slots and Connections. The examples were generated
// by it; tests and benchmarks use it as well.
func Generate(deployment string, dcs []string, services []ServiceSpec, slots, conns, firstPort int) *Manifest {
	m := &Manifest{Deployment: deployment, DataCentres: dcs}
	port := firstPort
	for _, spec := range services {
		s := Service{Name: spec.Name, FencingChecked: spec.FencingChecked}
		for i := 0; i < spec.Upstreams; i++ {
			s.Upstreams = append(s.Upstreams, Upstream{
				Name:        fmt.Sprintf("%s-%02d", spec.Name, i+1),
				Addr:        fmt.Sprintf("127.0.0.1:%d", port),
				DataCentre:  dcs[i%len(dcs)],
				Slots:       slots,
				Connections: conns,
			})
			port++
		}
		m.Services = append(m.Services, s)
	}
	return m
}
