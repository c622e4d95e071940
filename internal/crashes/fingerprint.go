package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
)

// fingerprintBytes is the length to which a digest is truncated. 128 bits make a collision
// among a day's requests negligible.
const fingerprintBytes = 16

// Fingerprint identifies what a request asks: the truncated hex digest of the fields of
// Request. It leaves out what differs between a caller's attempts, such as the request ID
// and the deadline.
type Fingerprint string

// Request holds the parts of a request that its fingerprint covers. Package router sets
// Host to the service and URI to the key, as its requests have no Host header or URI.
type Request struct {
	// Host is the Host header.
	Method, Host string
	// URI is the request URI as the caller sent it.
	URI string
	// Key is -1 for services that are not keyed.
	Key int
	// Body is the whole body, or the beginning of one that is streamed.
	Body []byte
}

// Fingerprint returns the request's fingerprint.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URI, strconv.Itoa(r.Key)} {
		// The length prefix keeps requests apart whose concatenated parts are equal.
		_ = binary.Write(h, binary.BigEndian, uint32(len(part))) // a hash never fails
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
