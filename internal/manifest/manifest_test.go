package manifest

import (
	"strings"
	"testing"
)

// The example manifests must be valid, and each service must have as many upstreams as the
// deployment requires.
func TestExamplesParse(t *testing.T) {
	want := map[string]map[string]int{
		"siam-sludge": {"routeboard": 20, "plantdesk": 12, "tankbill": 6},
		"shannonvale": {"plugreport": 18, "tariffdesk": 9, "shutoffdesk": 6},
	}
	for name, upstreamCounts := range want {
		data, err := Example(name)
		if err != nil {
			t.Fatal(err)
		}
		m, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for svc, n := range upstreamCounts {
			if s := m.Service(svc); s == nil || len(s.Upstreams) != n {
				t.Fatalf("%s/%s: want %d upstreams", name, svc, n)
			}
		}
	}
}

// Each kind of invalid manifest must be rejected with an error that names the
// problem.
func TestInvalidManifestErrorNamesProblem(t *testing.T) {
	valid := `{"deployment":"d","data_centres":["a"],"services":[{"name":"s","upstreams":[{"name":"u","addr":"127.0.0.1:1","data_centre":"a","slots":1,"connections":1}]}]}`
	cases := map[string]string{
		"deployment":       strings.Replace(valid, `"deployment":"d"`, `"deployment":""`, 1),
		"not in data_cent": strings.Replace(valid, `"data_centre":"a"`, `"data_centre":"b"`, 1),
		"addr":             strings.Replace(valid, `127.0.0.1:1`, `nowhere`, 1),
		"slots":            strings.Replace(valid, `"slots":1`, `"slots":0`, 1),
		"unknown field":    strings.Replace(valid, `"slots":1`, `"slot":1`, 1),
		"repeated":         strings.Replace(valid, `"data_centres":["a"]`, `"data_centres":["a","a"]`, 1),
	}
	if _, err := Parse([]byte(valid)); err != nil {
		t.Fatalf("valid manifest is rejected: %v", err)
	}
	for want, invalid := range cases {
		_, err := Parse([]byte(invalid))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains %q, got %v", want, err)
		}
	}
}

// FuzzParse checks that no input makes Parse panic, and that Parse accepts what
// Encode returns for an accepted manifest.
func FuzzParse(f *testing.F) {
	data, _ := Example("siam-sludge")
	f.Add(data)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, err := Parse(in)
		if err != nil {
			return
		}
		out, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(out); err != nil {
			t.Fatalf("accepted manifest is rejected after encoding: %v", err)
		}
	})
}
