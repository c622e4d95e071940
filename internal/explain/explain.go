// Package explain tells the story of one request from the hosts' logs: its
// own lines, and what its host came to believe around it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Line is one log line of a host.
type Line struct {
	// Host is the host's name where the log says it: from the line's host
	// field, or from what stands before the JSON.
	Host string
	// At is the line's time in seconds.
	At     float64
	Event  int
	Text   string
	fields map[string]any
	seq    int
}

// Field returns a field as text, or "".
func (l *Line) Field(name string) string {
	v, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

const (
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
	// contextBeforeSeconds is how many seconds before a request's end
	// is looked at for changes of belief,
	contextBeforeSeconds = 3.0
	// contextAfterSeconds is how many seconds after its end.
	contextAfterSeconds = 1.0
	// firstRequestEvent and lastRequestEvent bound the events of requests.
	firstRequestEvent, lastRequestEvent = 800, 899
)

// Read reads log lines. What stands before the JSON object, such as a time
// and a host's name added by a log collector, is kept as the host; lines
// without one are passed over.
func Read(r io.Reader) ([]*Line, error) {
	var out []*Line
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for sc.Scan() {
		if l := parseLine(sc.Bytes()); l != nil {
			l.seq = len(out)
			out = append(out, l)
		}
	}
	return out, eris.Wrap(sc.Err(), "read log")
}

func parseLine(data []byte) *Line {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return nil
	}
	l := &Line{fields: map[string]any{}}
	if json.Unmarshal(data[i:], &l.fields) != nil {
		return nil
	}
	event, ok := l.fields["event"].(float64)
	if !ok {
		return nil
	}
	l.Event = int(event)
	l.At, _ = l.fields["ts"].(float64)
	l.Text, _ = l.fields["msg"].(string)
	if before := strings.Fields(string(data[:i])); len(before) > 0 {
		l.Host = before[len(before)-1]
	} else {
		l.Host = l.Field("host")
	}
	return l
}

// Causes returns why each request ended as it did, for those whose lines say
// so: the refusal's cause, or the upstream's failure.
func Causes(lines []*Line) map[string]string {
	out := map[string]string{}
	for _, l := range lines {
		id := l.Field("request")
		if !isRequestEvent(l) || id == "" {
			continue
		}
		switch {
		case l.Field("cause") != "":
			out[id] = l.Field("cause")
		case l.Field("status") != "":
			out[id] = l.Text + ", status " + l.Field("status") + " of " + l.Field("peer")
		}
	}
	return out
}

// Timeline is what the logs say of one request.
type Timeline struct {
	// RequestLines are the request's lines on all hosts, Around the changes of
	// belief on those hosts that concern its service or upstream.
	RequestLines, ContextLines []*Line
}

// Find returns the story of the request with the given ID.
func Find(lines []*Line, id string) Timeline {
	var s Timeline
	for _, l := range lines {
		if l.Field("request") == id {
			s.RequestLines = append(s.RequestLines, l)
		}
	}
	for _, l := range lines {
		if !isRequestEvent(l) && s.isContext(l) {
			s.ContextLines = append(s.ContextLines, l)
		}
	}
	return s
}

func isRequestEvent(l *Line) bool { return l.Event >= firstRequestEvent && l.Event <= lastRequestEvent }

// isContext reports whether a line belongs beside the request's own.
func (s *Timeline) isContext(l *Line) bool {
	for _, own := range s.RequestLines {
		if l.At < own.At-contextBeforeSeconds || l.At > own.At+contextAfterSeconds {
			continue
		}
		onPlanner := l.Event >= 700 && l.Event < 800
		if l.Host != own.Host && !onPlanner {
			continue
		}
		service, peer := l.Field("service"), l.Field("peer")
		if (service == "" || service == own.Field("service")) && (peer == "" || peer == own.Field("peer")) {
			return true
		}
	}
	return false
}

// Write tells the story in order of time.
func (s Timeline) Write(w io.Writer) error {
	all := append(append([]*Line(nil), s.RequestLines...), s.ContextLines...)
	sort.Slice(all, func(i, j int) bool {
		if all[i].At != all[j].At {
			return all[i].At < all[j].At
		}
		return all[i].seq < all[j].seq
	})
	for _, l := range all {
		mark := " "
		if isRequestEvent(l) {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %.3f %-22s %d %s%s\n", mark, l.At, l.Host, l.Event, l.Text, l.details()); err != nil {
			return err
		}
	}
	return nil
}

// details returns the line's other fields, sorted by name.
func (l *Line) details() string {
	var names []string
	for name := range l.fields {
		switch name {
		case "ts", "msg", "level", "event", "host", "errorVerbose":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%v", n, l.fields[n])
	}
	return b.String()
}
