package catalogue

import (
	"strconv"
	"strings"
)

// incarnationSeparator separates a server's ID from the start time of one of its
// incarnations.
const incarnationSeparator = "@"

// IncarnationID returns the ID of a server's incarnation that began at start, in Unix
// milliseconds by the server's own clock; 0 if it is not reported. Under a shared ID, an
// acknowledgement by one would count for the next, which has lost its fencing tokens and
// may accept a previous planner's late grant for keys that another upstream owns by now.
func IncarnationID(server string, start int64) string {
	if start == 0 && !strings.Contains(server, incarnationSeparator) {
		return server
	}
	return server + incarnationSeparator + strconv.FormatInt(start, 10)
}

// ServerID returns the server's own ID from an incarnation ID. Successive
// incarnations may share it.
func ServerID(id string) string {
	server, _ := splitIncarnationID(id)
	return server
}

// StartUnixMilli returns the start time from an incarnation ID, in Unix
// milliseconds by the server's clock; 0 if it is unknown.
func StartUnixMilli(id string) int64 {
	_, start := splitIncarnationID(id)
	return start
}

// IsLaterIncarnation reports whether id and old are incarnations of the same server
// and id began after old, which means that old has ended.
func IsLaterIncarnation(id, old string) bool {
	server, start := splitIncarnationID(id)
	oldServer, oldStart := splitIncarnationID(old)
	return server == oldServer && start > oldStart
}

func splitIncarnationID(id string) (server string, start int64) {
	i := strings.LastIndex(id, incarnationSeparator)
	if i < 0 {
		return id, 0
	}
	start, err := strconv.ParseInt(id[i+len(incarnationSeparator):], 10, 64)
	if err != nil {
		return id, 0 // the separator is part of the server's own ID
	}
	return id[:i], start
}
