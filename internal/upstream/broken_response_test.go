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

// Guards against bytes that are no response in the protocol and reach the caller as one, with a body that is
// not the upstream's.
func TestInvalidResponseHeadsAreNoResponses(t *testing.T) {
	const rest = "X-Id: r1\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"status 000":                   "HTTP/1.1 000 Trouble\r\n" + rest,
		"status 099":                   "HTTP/1.1 099 Trouble\r\n" + rest,
		"status +20":                   "HTTP/1.1 +20 Trouble\r\n" + rest,
		"switching protocols":          "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"informational 000":            "HTTP/1.1 100 Continue\r\na b: c\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"version 2.0":                  "HTTP/2.0 200 OK\r\n" + rest,
		"blank in a name":              "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n" + rest,
		"blank before the colon":       "HTTP/1.1 200 OK\r\nX-Trouble : 1\r\n" + rest,
		"length with a blank":          "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length : 2\r\n\r\nok",
		"encoding with a blank":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nX-Id: r1\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"tab in a name":                "HTTP/1.1 200 OK\r\nX\tTrouble: 1\r\n" + rest,
		"control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\n" + rest,
		"delete in a name":             "HTTP/1.1 200 OK\r\nX\x7fTrouble: 1\r\n" + rest,
		"byte over 127 in a name":      "HTTP/1.1 200 OK\r\nX\xe9Trouble: 1\r\n" + rest,
		"empty name":                   "HTTP/1.1 200 OK\r\n: 1\r\n" + rest,
		"carriage return in a value":   "HTTP/1.1 200 OK\r\nX-Trouble: 1\r2\r\n" + rest,
		"NUL in a value":               "HTTP/1.1 200 OK\r\nX-Trouble: 1\x002\r\n" + rest,
		"control byte in a value":      "HTTP/1.1 200 OK\r\nX-Trouble: 1\x012\r\n" + rest,
		"ids of two requests":          "HTTP/1.1 200 OK\r\nX-Id: r2\r\n" + rest,
		"the request's and another id": "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Id: r2\r\nContent-Length: 2\r\n\r\nok",
		"two lengths":                  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			if res := send(t, rawserver.Response{Bytes: text, ResetAfter: -1}, nil, false); res.Outcome != OutcomeUnknown || res.Status != 0 {
				t.Errorf("%v, status %d, %q, header %v", res.Outcome, res.Status, res.Body, res.Header)
			}
		})
	}
	for name, text := range map[string]string{
		"status 600":           "HTTP/1.1 600 Own\r\n" + rest,
		"minor version":        "HTTP/1.7 200 OK\r\n" + rest,
		"every byte of a name": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n" + rest,
		"tab in a value":       "HTTP/1.1 200 OK\r\nX-Trouble: 1\t\xe9\r\n" + rest,
		"after informational":  "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			if res := send(t, rawserver.Response{Bytes: text, Keep: true}, nil, false); res.Outcome != Answered || string(res.Body) != "ok" {
				t.Errorf("%v, %q, %v", res.Outcome, res.Body, res.Err)
			}
		})
	}
}
