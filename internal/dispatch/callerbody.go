package dispatch

import (
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"net"
	"sync"
	"time"
)

// discardTimeout bounds the wait for the rest of a body that is discarded: net/http reads it
// before it sends the response.
const discardTimeout = time.Second

var errBodyFinished = errors.New("read of a body after the end of its request")

// callerBody reads a request's body from its caller.
type callerBody struct {
	source io.Reader
	// conn is the caller's connection; nil if it is not known, and reads have no deadline then.
	conn net.Conn
	// deadline is that of the request.
	deadline time.Time
	// reading is held during a read of source.
	reading sync.Mutex

	mu sync.Mutex
	// left is the length of the part that is unread, or -1 if it is not known.
	left            int64
	ended, finished bool
	// digest is over the first digested bytes, at most streamFingerprintBytes; nil if the
	// fingerprint does not need it.
	digest   hash.Hash
	digested int
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	if b.finished {
		b.mu.Unlock()
		return 0, errBodyFinished
	}
	b.setReadDeadline(b.deadline)
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left >= 0 {
		b.left -= int64(n)
	}
	b.updateDigest(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	if !b.finished {
		b.setReadDeadline(time.Time{}) // net/http reads on while the request is in flight
	}
	return n, err
}

func (b *callerBody) setReadDeadline(t time.Time) {
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(t) // fails only on a closed connection
	}
}

// startDigest has the reader compute a digest of the beginning of the body, of which head has been
// read, in place of keeping it.
func (b *callerBody) startDigest(head []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.digest = sha256.New()
	b.updateDigest(head)
}

func (b *callerBody) updateDigest(p []byte) {
	if b.digest == nil {
		return
	}
	p = p[:min(len(p), streamFingerprintBytes-b.digested)]
	_, _ = b.digest.Write(p) // a hash never fails
	b.digested += len(p)
}

// fingerprintBody returns what stands for the body in the fingerprint: a digest of its beginning,
// which differs from the fingerprint of the same body when it is buffered. While the beginning has
// not been read, final is false and nothing stands for the body.
func (b *callerBody) fingerprintBody() (data []byte, final bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.digested < streamFingerprintBytes && !b.ended {
		return nil, false
	}
	return b.digest.Sum(nil), true
}

// hasEnded reports whether the whole body has been read.
func (b *callerBody) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// finish ends a read in progress and prevents further ones. It returns whether the whole body has
// been read, and the length of the rest, -1 if that is not known.
func (b *callerBody) finish() (ended bool, left int64) {
	b.mu.Lock()
	b.finished = true
	if !b.ended {
		b.setReadDeadline(time.Now())
	}
	b.mu.Unlock()
	if b.conn != nil {
		b.reading.Lock() // net/http would wait for the read before it writes the response
		defer b.reading.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && b.left >= 0 && b.left <= maxDiscardedBytes {
		b.setReadDeadline(time.Now().Add(discardTimeout))
	}
	return b.ended, b.left
}
