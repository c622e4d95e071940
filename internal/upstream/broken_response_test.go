package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/protocol"
	"github.com/papayatide/papayatide/internal/standin/rawserver"
)

var rawHeaders = protocol.Headers{RequestID: "X-Id", TimeoutMs: "X-Timeout-Ms", ExpectedUpstream: "X-Expect", NotRun: "X-Not-Run"}

// send sends a request with a body to a server that responds with response.
func send(t *testing.T, response rawserver.Response, body []byte, streamed bool) *Result {
	t.Helper()
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return response })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := &Request{ID: "r1", Method: "POST", URI: "/", Host: "a.example", Header: http.Header{}, Body: body}
	if streamed {
		req.Body, req.Stream, req.Length = nil, bytes.NewReader(body), int64(len(body))
	}
	return NewClient(rawHeaders).Do(ctx, Target{ID: "u1", Addr: s.Addr()}, req)
}

// Guards against a part of a response that reaches the caller as the whole: the response has no length, and
// its connection is reset while the upload is being written.
func TestResponseResetDuringUploadIsIncomplete(t *testing.T) {
	const attempts = 40
	for _, version := range []string{"1.0", "1.1"} {
		for _, size := range []int{1 << 20, 8 << 20} {
			for _, streamed := range []bool{false, true} {
				t.Run(fmt.Sprintf("HTTP %s, %d bytes, streamed %v", version, size, streamed), func(t *testing.T) {
					whole := 0
					for i := range attempts {
						response := rawserver.Response{Bytes: "HTTP/" + version + " 200 OK\r\nX-Id: r1\r\n\r\n" + string(bytes.Repeat([]byte("b"), 2000)),
							ResetAfter: time.Duration(i%5) * time.Millisecond}
						if res := send(t, response, make([]byte, size), streamed); res.Outcome != OutcomeUnknown {
							whole++
						}
					}
					if whole > 0 {
						t.Errorf("%d of %d responses were taken as complete", whole, attempts)
					}
				})
			}
		}
	}
}

// Guards against the loss of a response without a length that ends in an orderly way.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		res := send(t, rawserver.Response{Bytes: "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nwhole", ResetAfter: -1}, make([]byte, 1<<20), streamed)
		if res.Outcome != Answered || string(res.Body) != "whole" {
			t.Errorf("streamed %v: %v, %q, %v", streamed, res.Outcome, res.Body, res.Err)
		}
	}
}
