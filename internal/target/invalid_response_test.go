package target

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/papayatide/papayatide/internal/manifest"
	"github.com/papayatide/papayatide/internal/standin/rawserver"
)

// Guards against a part of a target's response, or bytes that are none, being passed on as the response.
func TestInvalidResponsesAreNone(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, response := range map[string]rawserver.Response{
		"status 000":               {Bytes: "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok", Keep: true},
		"blank in a name":          {Bytes: ok + "X Trouble: 1\r\nContent-Length: 2\r\n\r\nok", Keep: true},
		"length with a blank":      {Bytes: ok + "Content-Length : 2\r\n\r\nok", ResetAfter: -1},
		"encoding with a blank":    {Bytes: ok + "Transfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n", Keep: true},
		"cut within its chunks":    {Bytes: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ResetAfter: -1},
		"reset during the request": {Bytes: ok + "\r\n" + string(bytes.Repeat([]byte("b"), 2000))},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := rawserver.Start(func(*http.Request) rawserver.Response { return response })
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			const attempts = 20
			for i := range attempts {
				req := &Request{Method: http.MethodPost, Service: "s", Key: "k", Body: make([]byte, 1<<20), IdempotencyKey: "i", RequestID: "r", Deadline: time.Now().Add(3 * time.Second)}
				resp, err := NewClient().Forward(context.Background(), &manifest.Upstream{Name: "u", Addr: s.Addr(), Connections: 1}, req)
				if !errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrNotSent) {
					t.Fatalf("attempt %d: %+v, %v", i, resp, err)
				}
			}
		})
	}
}
