package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// defaultIdleTimeout is how long a connection may stay idle if the upstream sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the upstream's idle timeout that is used. The
	// rest covers the network delay, so that a request does not arrive at a connection
	// that the upstream is closing.
	idleTimeoutFraction = 0.7
	// keepAliveRounding is the most by which an upstream's idle timeout exceeds the one that it states:
	// that is in whole seconds, and not stated below one second.
	keepAliveRounding = time.Second
)

// idleTimeout returns how long a connection may stay idle after a response with the given
// headers.
func idleTimeout(h http.Header) time.Duration {
	if stated, ok := keepAliveTimeout(h); ok {
		return time.Duration(idleTimeoutFraction * float64(stated))
	}
	return defaultIdleTimeout
}

// keepAliveTimeout returns the idle timeout that a response's Keep-Alive header states. ok is false if
// it states none.
func keepAliveTimeout(h http.Header) (timeout time.Duration, ok bool) {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if secs, err := strconv.Atoi(value); err == nil {
			return time.Duration(secs) * time.Second, true
		}
	}
	return 0, false
}

// IdleTimeouts records how long upstreams keep idle connections open, as their responses state it. The
// zero value is ready for use. It is safe for concurrent use.
type IdleTimeouts struct {
	// longest is in nanoseconds; 0 before the first response.
	longest atomic.Int64
}

// Record records what an upstream's response states.
func (t *IdleTimeouts) Record(h http.Header) {
	stated, _ := keepAliveTimeout(h)
	timeout := int64(stated + keepAliveRounding)
	for longest := t.longest.Load(); longest < timeout; longest = t.longest.Load() {
		if t.longest.CompareAndSwap(longest, timeout) {
			return
		}
	}
}

// Longest returns the longest time for which an upstream may keep an idle connection open. known is
// false before the first response.
func (t *IdleTimeouts) Longest() (timeout time.Duration, known bool) {
	longest := time.Duration(t.longest.Load())
	return longest, longest > 0
}
