package valuecodec

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// routes returns a value like that of a desired state with n routes.
func routes(n, weight int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `"r-%07x":{"Host":"h%d.example","PathPrefix":"/%x/","Kind":"unsafe","Timeout":"2000ms","Split":[{"Service":"a","Weight":%d}]},`,
			rng.Uint32(), i%40, rng.Uint32(), weight+i/(n-1))
	}
	return b.Bytes()
}

// Guards against a large value that is sent whole for a small change.
func TestSmallChangeOfLargeValueIsSmall(t *testing.T) {
	base, next := routes(4000, 10), bytes.Replace(routes(4000, 10), []byte(`"Weight":11`), []byte(`"Weight":99`), 1)
	data, err := Encode(next, base)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 8<<10 {
		t.Errorf("%d bytes for a change of one weight in %d bytes, want at most 8 KB", len(data), len(next))
	}
	if got, err := Decode(data, base); err != nil || !bytes.Equal(got, next) {
		t.Errorf("decoded %d bytes, error %v, want the %d bytes that were encoded", len(got), err, len(next))
	}
	if _, err := Decode(data, next); err == nil {
		t.Error("decoded relative to another base without an error")
	}
}

// FuzzDecode checks that no data makes Decode fail other than with an error.
func FuzzDecode(f *testing.F) {
	for _, base := range [][]byte{nil, []byte("an earlier value of the key")} {
		data, err := Encode([]byte("a later value of the key"), base)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, base)
	}
	f.Fuzz(func(t *testing.T, data, base []byte) {
		_, _ = Decode(data, base)
	})
}
