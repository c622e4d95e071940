package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/papayatide/papayatide/internal/bodybudget"
)

// ReadBody reads the body of r, as bodybudget.Read does. It must have arrived by the deadline.
func ReadBody(w http.ResponseWriter, r *http.Request, deadline time.Time, largest int64, reservation *bodybudget.Reservation) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(deadline) // not supported by recorders of tests only
	data, err := bodybudget.Read(r.Body, r.ContentLength, largest, reservation)
	_ = conn.SetReadDeadline(time.Time{}) // net/http reads on while the request is in flight
	return data, err
}

// BodyLimits bounds the bodies of requests whose handlers read them whole.
type BodyLimits struct {
	// Largest is the size of the largest body.
	Largest int64
	// Timeout is how long a client may take to send a body.
	Timeout time.Duration
	// Budget holds the bodies of all requests.
	Budget *bodybudget.Budget
}

// readerCost is how often a reader that doubles its buffer holds what it has read.
const readerCost = 3

// Handler returns next with bounded bodies. Reads of a body beyond the limits fail.
func (l BodyLimits) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > l.Largest {
			w.Header().Set("Connection", "close")
			http.Error(w, bodybudget.ErrTooLarge.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			b := &limitedBody{ReadCloser: r.Body, left: l.Largest, reservation: l.Budget.Reserve(), conn: http.NewResponseController(w)}
			defer b.release()
			_ = b.conn.SetReadDeadline(time.Now().Add(l.Timeout)) // fails only on a closed connection
			r.Body = b
		}
		next.ServeHTTP(w, r)
	})
}

// limitedBody is a body that takes room as it arrives.
type limitedBody struct {
	io.ReadCloser
	left int64
	conn *http.ResponseController

	mu          sync.Mutex
	reservation *bodybudget.Reservation
	released    bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.conn.SetReadDeadline(time.Time{}) // net/http reads on while the request is in flight
	}
	if b.left -= int64(n); b.left < 0 {
		return 0, bodybudget.ErrTooLarge
	}
	if !b.grow(int64(n) * readerCost) {
		return 0, bodybudget.ErrNoRoom
	}
	return n, err
}

func (b *limitedBody) grow(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released || b.reservation.Grow(n)
}

func (b *limitedBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.reservation.Release()
}
