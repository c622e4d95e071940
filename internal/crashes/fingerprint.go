package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
)

// contentBytes is how much of a digest is kept: among the requests of a day
// two that differ never share 128 bits.
const fingerprintBytes = 16

// Fingerprint identifies what a request asks: the hex digest of its method, its
// target, its key and its body. It leaves out what differs each time a caller
// asks for the same, such as the request's ID and its time limit.
type Fingerprint string

// Request is what a request's content is made of.
type Request struct {
	Method, Host string
	// URI is the request target as the caller sent it.
	URI string
	// Key is -1 for services that are not keyed.
	Key int
	// Body is the whole body, or the beginning of one that is streamed.
	Body []byte
}

// Fingerprint returns the digest.
func (a Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{a.Method, a.Host, a.URI, strconv.Itoa(a.Key)} {
		// Each part's length goes first, so that no two asks write the same.
		_ = binary.Write(h, binary.BigEndian, uint32(len(part))) // a hash never fails
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(a.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
