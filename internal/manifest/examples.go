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

// Example returns a shipped manifest by name ("siam-sludge",
// "shannonvale"). The shipped manifests put every upstream on loopback so
// the whole path runs on one machine.
func Example(name string) ([]byte, error) {
	data, err := examples.ReadFile("examples/" + name + ".json")
	if err != nil {
		return nil, eris.Errorf("manifest: no example %q (have %s)", name, strings.Join(ExampleNames(), ", "))
	}
	return data, nil
}

// ExampleNames lists the shipped manifests.
func ExampleNames() []string {
	entries, _ := examples.ReadDir("examples")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	sort.Strings(names)
	return names
}

// ServiceSize is one row of a generated manifest: a service and how many
// upstreams it has.
type ServiceSize struct {
	Name           string
	Upstreams      int
	FencingChecked bool
}

// Generate builds a loopback manifest with upstreams spread round-robin
// over the data centres and ports counted up from firstPort. It is how the
// shipped examples were made and how benchmarks build larger ones.
func Generate(deployment string, dcs []string, services []ServiceSize, slots, conns, firstPort int) *Manifest {
	m := &Manifest{Deployment: deployment, DataCentres: dcs}
	port := firstPort
	for _, ss := range services {
		s := Service{Name: ss.Name, FencingChecked: ss.FencingChecked}
		for i := 0; i < ss.Upstreams; i++ {
			s.Upstreams = append(s.Upstreams, Upstream{
				Name:        fmt.Sprintf("%s-%02d", ss.Name, i+1),
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
