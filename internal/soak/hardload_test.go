package soak

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/papayatide/papayatide/platform"
)

// Guards against checks that would miss requests that ran after a response closed the connection,
// swapped responses, and bodies that are incomplete or those of other requests.
func TestChecksOfPipelines(t *testing.T) {
	response := func(id, body, more string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + platform.Headers.Signature + ": s\r\n" +
			platform.Headers.RequestID + ": " + id + "\r\n" + more + "\r\n" + body
	}
	good := func(q *pipelinedRequest) string { return "u" + q.end }
	for name, c := range map[string]struct {
		first func(q []*pipelinedRequest) string
		want  string
	}{
		"complete response": {func(q []*pipelinedRequest) string { return response(q[0].id, good(q[0]), "") }, ""},
		"closes":            {func(q []*pipelinedRequest) string { return response(q[0].id, good(q[0]), "Connection: close\r\n") }, "UNASKED"},
		"of another":        {func(q []*pipelinedRequest) string { return response(q[1].id, good(q[1]), "") }, "MIXED"},
		"body not received": {func(q []*pipelinedRequest) string { return response(q[0].id, "u ran "+q[0].id, "") }, "MIXED"},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer func() { _ = server.Close() }()
			front, err := NewProxy("127.0.0.1:0", "")
			if err != nil {
				t.Fatal(err)
			}
			defer front.Close()
			r := rand.New(rand.NewPCG(1, 1)) // with this seed the caller does not disconnect
			q := []*pipelinedRequest{{outcome: &outcome{id: "q-1", host: &Host{Front: front}}}, {outcome: &outcome{id: "q-2", host: &Host{Front: front}}}}
			q[0].build(uploadVHost, 1000, false, r)
			q[1].build(browseVHost, 0, true, r)
			go func() { _, _ = io.Copy(io.Discard, server) }()
			go func() { _, _ = io.WriteString(server, c.first(q)+response(q[1].id, good(q[1]), "")) }()
			pc := &pipeliningConn{Conn: client, r: r}
			pc.buffered = bufio.NewReader(pc)
			pc.send(q)
			got := append(q[0].violations(requestRuns{1, "u"}), q[1].violations(requestRuns{1, "u"})...)
			if (c.want == "") != (len(got) == 0) || !strings.Contains(strings.Join(got, "\n"), c.want) {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}
