package dispatch

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Guards against a path that begins with two slashes and reaches the upstream as an absolute URL, with another
// host and path. A target that cannot be sent unchanged must be refused.
func TestTargetReachesUpstreamUnchanged(t *testing.T) {
	f := startUpstream(t, echo)
	h := newHarness(t, newUpstream("u1", "plain", f))
	for target, status := range map[string]int{
		"/":                        200,
		"//":                       200,
		"//stock/pages/0":          200,
		"//stock/pages?q=//x%2f":   200,
		"//stock?":                 200,
		"///stock//":               200,
		"//a%2fb;c='d'/(e)":        200,
		"//a%41":                   200,
		"http://read.example/x//y": 200,
		"//a\"b":                   400,
		"//a\xc3\xa4":              400,
	} {
		c, err := net.Dial("tcp", h.front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: read.example\r\nX-Id: r\r\nX-Timeout-Ms: 5000\r\n\r\n", target)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
		if err != nil || resp.StatusCode != status {
			t.Errorf("%s: got %+v, %v; want %d", target, resp, err, status)
			continue
		}
		if status != 200 {
			continue
		}
		if r := <-f.received; r.RequestURI != target || r.Host != "read.example" {
			t.Errorf("%s reached the upstream as %s, host %s", target, r.RequestURI, r.Host)
		}
	}
}
