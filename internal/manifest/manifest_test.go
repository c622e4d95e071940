package manifest

import (
	"strings"
	"testing"
)

// TestExamplesParse checks the shipped manifests against the brief's sizes.
func TestExamplesParse(t *testing.T) {
	want := map[string]map[string]int{
		"siam-sludge": {"routeboard": 20, "plantdesk": 12, "tankbill": 6},
		"shannonvale": {"plugreport": 18, "tariffdesk": 9, "shutoffdesk": 6},
	}
	for name, sizes := range want {
		data, err := Example(name)
		if err != nil {
			t.Fatal(err)
		}
		m, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for svc, n := range sizes {
			if s := m.Service(svc); s == nil || len(s.Upstreams) != n {
				t.Fatalf("%s/%s: want %d upstreams", name, svc, n)
			}
		}
	}
}

// TestInvalidManifestErrorNamesProblem checks that each kind of bad manifest is
// refused with an error naming what is wrong.
func TestInvalidManifestErrorNamesProblem(t *testing.T) {
	good := `{"deployment":"d","data_centres":["a"],"services":[{"name":"s","upstreams":[{"name":"u","addr":"127.0.0.1:1","data_centre":"a","slots":1,"connections":1}]}]}`
	cases := map[string]string{
		"deployment":       strings.Replace(good, `"deployment":"d"`, `"deployment":""`, 1),
		"not in data_cent": strings.Replace(good, `"data_centre":"a"`, `"data_centre":"b"`, 1),
		"addr":             strings.Replace(good, `127.0.0.1:1`, `nowhere`, 1),
		"slots":            strings.Replace(good, `"slots":1`, `"slots":0`, 1),
		"unknown field":    strings.Replace(good, `"slots":1`, `"slot":1`, 1),
		"repeated":         strings.Replace(good, `"data_centres":["a"]`, `"data_centres":["a","a"]`, 1),
	}
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatalf("good manifest refused: %v", err)
	}
	for want, bad := range cases {
		_, err := Parse([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want error naming %q, got %v", want, err)
		}
	}
}

// FuzzParse checks that no input crashes the parser and that whatever it
// accepts re-encodes to a manifest it accepts again.
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
			t.Fatalf("accepted manifest does not re-parse: %v", err)
		}
	})
}
