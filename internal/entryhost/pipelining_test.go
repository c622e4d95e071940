package entryhost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against pipelined requests served one after the other, a non-idempotent one served beside
// others, and a host that stops without the responses to what it has run ahead.
func TestPipelinedRequests(t *testing.T) {
	runFleetTest(t, func(t *testing.T) {
		f := newFleet(t, 1, 4)
		h := f.hosts[0]
		f.waitServed(h, 10*time.Second)
		for _, tt := range []struct {
			route              string
			concurrently, stop bool
		}{{"read.example", true, false}, {"charge.example", false, false}, {"read.example", true, true}} {
			c, err := f.net.Dial(context.Background(), "tcp", h.cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			go func() {
				for i := range 8 { // each takes 20 ms
					_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: %s\r\nX-Id: p%d\r\nX-Key: %d\r\nX-Timeout-Ms: 2000\r\n\r\n", i, tt.route, i, i*8000)
				}
				if tt.stop {
					time.Sleep(time.Millisecond)
					h.stop()
				}
			}()
			if tt.stop { // responses that are not read yet when the server shuts down
				time.Sleep(readinessPropagationDelay + time.Second)
			}
			br := bufio.NewReader(c)
			for i := range 8 {
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(i, err)
				}
				body, _ := io.ReadAll(res.Body)
				if res.StatusCode != http.StatusOK || res.Close != (tt.stop && i == 7) {
					t.Errorf("%s, stop %v: response %d: %s, close %v, %s", tt.route, tt.stop, i, res.Status, res.Close, body)
				}
			}
			if took := time.Since(start); (took < 8*20*time.Millisecond) != tt.concurrently && !tt.stop {
				t.Errorf("%s: took %v", tt.route, took)
			}
			_ = c.Close()
		}
	})
}
