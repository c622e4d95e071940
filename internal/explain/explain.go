// Package explain reconstructs the timeline of a request from the hosts' logs:
// the request's own lines, and its context, which consists of other events of
// the same hosts and planner events (7xx) of any host at about the same time.
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
	// Host is the last word before the JSON object, or else the line's host
	// field.
	Host string
	// At is the line's timestamp in seconds.
	At    float64
	Event int
	// Text is the line's message.
	Text   string
	fields map[string]any
	// seq is the line's position in its input.
	seq int
}

// Field returns the value of a field as text, or "" if the line lacks it.
func (l *Line) Field(name string) string {
	v, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

const (
	// maxLineBytes is the longest log line that is read.
	maxLineBytes = 1 << 20
	// A request's context starts contextBeforeSeconds before and ends
	// contextAfterSeconds after each of its log lines. The time before is the
	// longer one, because the line of the outcome is written when the request ends.
	contextBeforeSeconds = 3.0
	contextAfterSeconds  = 1.0
	// Range of the event numbers of requests; see package events.
	firstRequestEvent, lastRequestEvent = 800, 899
)

// Read parses log lines. A log collector may put a prefix that ends in the
// host's name before the JSON object. Lines without a JSON object that has an
// event number are skipped.
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

// parseLine returns nil if data is not the log line of an event.
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
	if prefix := strings.Fields(string(data[:i])); len(prefix) > 0 {
		l.Host = prefix[len(prefix)-1]
	} else {
		l.Host = l.Field("host")
	}
	return l
}

// Causes returns the logged cause of each request's outcome by request ID: the
// cause of its refusal, or the message with the upstream's status. Requests
// whose lines have neither are left out.
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

// Timeline holds the log lines that explain one request.
type Timeline struct {
	// RequestLines are the request's own lines on all hosts. ContextLines are
	// lines near them in time that are not about another service or upstream:
	// all events of the same hosts except those of requests, and the planner
	// events (7xx) of any host.
	RequestLines, ContextLines []*Line
}

// Find returns the timeline of the request with the given ID. RequestLines is
// empty if no line has the ID.
func Find(lines []*Line, id string) Timeline {
	var t Timeline
	for _, l := range lines {
		if l.Field("request") == id {
			t.RequestLines = append(t.RequestLines, l)
		}
	}
	for _, l := range lines {
		if !isRequestEvent(l) && t.isContext(l) {
			t.ContextLines = append(t.ContextLines, l)
		}
	}
	return t
}

func isRequestEvent(l *Line) bool { return l.Event >= firstRequestEvent && l.Event <= lastRequestEvent }

// isContext reports whether l is near one of the request's lines in time, is
// from the same host or a planner event (7xx), and is not about another service
// or upstream.
func (t *Timeline) isContext(l *Line) bool {
	for _, request := range t.RequestLines {
		if l.At < request.At-contextBeforeSeconds || l.At > request.At+contextAfterSeconds {
			continue
		}
		plannerEvent := l.Event >= 700 && l.Event < 800
		if l.Host != request.Host && !plannerEvent {
			continue
		}
		service, peer := l.Field("service"), l.Field("peer")
		if (service == "" || service == request.Field("service")) && (peer == "" || peer == request.Field("peer")) {
			return true
		}
	}
	return false
}

// Write prints all lines in order of time, with a ">" before the request's own.
func (t Timeline) Write(w io.Writer) error {
	all := append(append([]*Line(nil), t.RequestLines...), t.ContextLines...)
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

// details returns the line's fields, sorted by name, without those that have a
// column in Write's output and without level and errorVerbose.
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
