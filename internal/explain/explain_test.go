package explain

import (
	"strings"
	"testing"
)

const testLogs = `  1.0 host-a {"level":"info","ts":100.0,"msg":"ownership adopted","event":640,"service":"s","fence":3}
  1.1 host-b {"level":"info","ts":100.1,"msg":"ownership recorded","event":704,"service":"s","cause":"owner lost"}
  1.1 host-b {"level":"info","ts":100.1,"msg":"upstream is leaving","event":631,"service":"s","peer":"u1"}
not a log line
  1.2 host-a {"level":"info","ts":100.2,"msg":"request refused","event":801,"request":"r1","service":"s","peer":"u1","cause":"the key is changing hands"}
  1.2 host-a {"level":"info","ts":100.2,"msg":"request refused","event":801,"request":"r2","service":"s","peer":"u1"}
  1.3 host-a {"level":"info","ts":100.3,"msg":"upstream is leaving","event":631,"service":"other","peer":"u7"}
  9.9 host-a {"level":"info","ts":140.0,"msg":"ownership adopted","event":640,"service":"s","fence":9}
`

// The timeline of a request must hold, in order of time, its own line, an event
// of its service on its host, and a planner event (7xx) of another host. It must
// leave out lines of other requests, services and times, and other lines of
// other hosts.
func TestTimelineHoldsRequestAndContext(t *testing.T) {
	lines, err := Read(strings.NewReader(testLogs))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Find(lines, "r1").Write(&b); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(got) != 3 || !strings.Contains(got[0], "640") || !strings.Contains(got[1], "704") || !strings.HasPrefix(got[2], "> ") {
		t.Errorf("timeline:\n%s", b.String())
	}
	if !strings.Contains(got[2], "cause=the key is changing hands") {
		t.Errorf("the cause is missing: %s", got[2])
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(testLogs))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, err := Read(strings.NewReader(string(data)))
		if err == nil {
			Find(lines, "r1")
		}
	})
}
