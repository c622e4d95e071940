package catalogue

import (
	"strconv"
	"strings"
)

// lifeMark stands between a server's ID and the start of one of its lives.
const incarnationSeparator = "@"

// IncarnationID returns the ID of the life of a server that began at start, in Unix
// milliseconds by the server's own clock; 0 if it does not tell.
//
// A server that starts again under its old ID has forgotten its grants and the
// fencing tokens it has seen. If both lives bore one ID, an acknowledgement of
// the first would count for the second, which a late order of an earlier
// planner could still give keys that belong to another upstream by now.
func IncarnationID(server string, start int64) string {
	if start == 0 && !strings.Contains(server, incarnationSeparator) {
		return server
	}
	return server + incarnationSeparator + strconv.FormatInt(start, 10)
}

// ServerID returns the ID by which the server of a life answers. Lives that
// follow one another may share it.
func ServerID(life string) string {
	server, _ := splitIncarnationID(life)
	return server
}

// StartUnixMilli returns when a life began, in Unix milliseconds by its server's
// clock; 0 if that is not known.
func StartUnixMilli(life string) int64 {
	_, start := splitIncarnationID(life)
	return start
}

// IsLaterIncarnation reports whether both are lives of one server and life began after
// old, which has therefore ended.
func IsLaterIncarnation(life, old string) bool {
	server, start := splitIncarnationID(life)
	oldServer, oldStart := splitIncarnationID(old)
	return server == oldServer && start > oldStart
}

func splitIncarnationID(life string) (server string, start int64) {
	i := strings.LastIndex(life, incarnationSeparator)
	if i < 0 {
		return life, 0
	}
	start, err := strconv.ParseInt(life[i+len(incarnationSeparator):], 10, 64)
	if err != nil {
		return life, 0 // the mark is part of a server's own ID
	}
	return life[:i], start
}
