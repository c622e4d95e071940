package ingress

import "golang.org/x/sys/unix"

const (
	// maxFileDescriptors bounds the descriptors that are left to files.
	maxFileDescriptors = 200
	// fileShare is the part of few descriptors that is left to files.
	fileShare = 8
	// Connections get these parts of the descriptors for sockets: callers a third, other hosts a quarter, and
	// the others below a thirty-second each. The rest is for connections that the process opens.
	callerShare, peerShare, otherShare = 3, 4, 32
	// minOther is the least number of connections of readiness probes, of metrics, and lingering ones.
	minOther = 16
	// bytesPerConn is the memory that bounds the number of connections: a goroutine, its buffers and what
	// net/http keeps.
	bytesPerConn = 64 << 10
	// connMemoryShare is the part of the memory that a listener's connections may use, headMemoryShare that
	// for heads beyond the fixed part of each connection, controlBodyShare that for bodies of calls.
	connMemoryShare, headMemoryShare, controlBodyShare = 4, 16, 8
)

// Limits are those of a process.
type Limits struct {
	// Callers, Peers and Other are the numbers of connections of the listeners for callers, for other hosts
	// or administrators, and for probes or metrics.
	Callers, Peers, Other int
	// Lingering is the number of closed connections of callers whose responses are still being delivered.
	Lingering int
	// ControlBodyBytes is the memory that bodies of calls by other hosts or administrators may take in all.
	ControlBodyBytes int64
	// HeadBytes is the memory that incomplete heads may take in all, beyond a fixed part of each.
	HeadBytes int64
}

// NewLimits derives the limits of a process with the given memory and number of descriptors.
func NewLimits(memoryMB, descriptors int) Limits {
	sockets := descriptors - min(maxFileDescriptors, descriptors/fileShare)
	memory := int64(memoryMB) << 20
	byMemory := int(memory / connMemoryShare / bytesPerConn)
	other := max(sockets/otherShare, minOther)
	return Limits{Callers: max(min(sockets/callerShare, byMemory), 1), Peers: max(min(sockets/peerShare, byMemory), 1), Other: other, Lingering: other,
		HeadBytes: memory / headMemoryShare, ControlBodyBytes: memory / controlBodyShare}
}

// assumedDescriptors is the number of descriptors if the process's limit is not known.
const assumedDescriptors = 1024

// Descriptors returns how many descriptors the process may have open: its own limit, or fewer if stated is
// positive.
func Descriptors(stated int) int {
	limit := assumedDescriptors
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur > 0 {
		limit = int(min(r.Cur, 1<<20))
	}
	if stated > 0 {
		limit = min(limit, stated)
	}
	return limit
}
