package dispatch

import (
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"net"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/peek"
)

// discardTimeout bounds the wait for the rest of a body that is discarded: net/http reads it
// before it sends the response.
const discardTimeout = time.Second

// streamStallTimeout is how long a caller may send nothing of a streamed body. Meanwhile the request
// holds one of the upstream's slots, so that a longer wait costs other callers' requests. It is the
// time in which TCP recovers from the loss of a packet or two.
const streamStallTimeout = time.Second

var errBodyFinished = errors.New("read of a body after the end of its request")

// callerBody reads a request's body from its caller.
type callerBody struct {
	source io.Reader
	// conn is the caller's connection; nil if it is not known, and reads have no deadline then.
	conn net.Conn
	// deadline is that of the request. It bounds the reads of a body that is buffered; the context
	// of the attempt bounds those of a streamed one.
	deadline time.Time
	// reading is held during a read of source.
	reading sync.Mutex

	mu sync.Mutex
	// left is the length of the part that is unread, or -1 if it is not known.
	left            int64
	ended, finished bool
	// streaming is set once the body is streamed; stalled if a read was then ended for lack of progress.
	streaming, stalled bool
	// readSince is when the read in progress began; zero if there is none. stallTimer runs meanwhile
	// if the body is streamed.
	readSince  time.Time
	stallTimer *time.Timer
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
	b.readSince = time.Now()
	if !b.streaming {
		b.setReadDeadline(b.deadline)
	} else if b.conn != nil {
		b.watchStall()
	}
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readSince = time.Time{}
	if b.left >= 0 {
		b.left -= int64(n)
	}
	b.updateDigest(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	if b.stallTimer != nil {
		b.stallTimer.Stop()
	}
	if !b.streaming && !b.finished {
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

// watchStall starts the timer of the read in progress.
func (b *callerBody) watchStall() {
	if b.stallTimer == nil {
		b.stallTimer = time.AfterFunc(streamStallTimeout, b.checkStall)
		return
	}
	b.stallTimer.Reset(streamStallTimeout)
}

// checkStall ends the read in progress if the caller has sent nothing since it began. Bytes that
// wait in the socket show that not the caller but this host was stalled.
func (b *callerBody) checkStall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished || b.readSince.IsZero() {
		return
	}
	left := streamStallTimeout - time.Since(b.readSince)
	if left <= 0 && peek.ConnState(b.conn) == peek.Readable {
		left = streamStallTimeout
	}
	if left > 0 {
		b.stallTimer.Reset(left)
		return
	}
	b.stalled = true
	b.setReadDeadline(time.Now())
}

// startStreaming has reads fail if the caller makes no progress. net/http then cancels the request's
// context, which ends the attempt and resets the connection to the upstream.
func (b *callerBody) startStreaming() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streaming = true
}

// hasStalled reports whether the caller stopped sending a streamed body.
func (b *callerBody) hasStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stalled
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
