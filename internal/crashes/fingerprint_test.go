package crashes

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Equal requests have one fingerprint. A difference in any part gives another, also if
// only the boundary between two parts differs and their concatenation is equal.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("equal requests, equal fingerprints", prop.ForAll(func(uri, body string, key int) bool {
		a := Request{Method: "PUT", Host: "a.example", URI: uri, Key: key, Body: []byte(body)}
		b := a
		b.Body = []byte(body)
		return a.Fingerprint() == b.Fingerprint()
	}, gen.AnyString(), gen.AnyString(), gen.IntRange(-1, 65535)))
	p.TestingRun(t)
	base := Request{Method: "PUT", Host: "a.example", URI: "/x", Key: 7, Body: []byte("b")}
	for name, other := range map[string]Request{
		"method":   {Method: "POST", Host: "a.example", URI: "/x", Key: 7, Body: []byte("b")},
		"host":     {Method: "PUT", Host: "b.example", URI: "/x", Key: 7, Body: []byte("b")},
		"URI":      {Method: "PUT", Host: "a.example", URI: "/x?page=2", Key: 7, Body: []byte("b")},
		"key":      {Method: "PUT", Host: "a.example", URI: "/x", Key: 8, Body: []byte("b")},
		"body":     {Method: "PUT", Host: "a.example", URI: "/x", Key: 7, Body: []byte("c")},
		"boundary": {Method: "PUT", Host: "a.example/", URI: "x", Key: 7, Body: []byte("b")},
	} {
		if other.Fingerprint() == base.Fingerprint() {
			t.Errorf("requests that differ in %s have one fingerprint", name)
		}
	}
}
