package upstream

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// MaxResponseBytes bounds a response body. Responses are buffered whole, so that a
	// truncated one never reaches a caller as if it were complete.
	MaxResponseBytes = 8 << 20
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// maxStrayResponses bounds how many responses to earlier requests an attempt skips
	// before it fails.
	maxStrayResponses = 2
)

var (
	// ErrResponseTooLarge is wrapped by the error of a result whose response was not read to its end: its
	// head or its body has too many bytes. The connection was closed then.
	ErrResponseTooLarge = errors.New("response is too large")

	errStrayResponse = errors.New("answer belongs to another request")
)

// headReader reads from source. While it is limited it fails after maxHeadBytes.
type headReader struct {
	source  io.Reader
	limited bool
	left    int
}

// limit makes further reads fail once maxHeadBytes have been read; unlimit ends that.
func (r *headReader) limit() { r.limited, r.left = true, maxHeadBytes }

func (r *headReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, eris.Wrapf(ErrResponseTooLarge, "head over %d bytes", maxHeadBytes)
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readHead reads the head of a response to httpReq.
func (c *conn) readHead(httpReq *http.Request) (*http.Response, error) {
	c.in.limit()
	defer c.in.unlimit()
	return http.ReadResponse(c.br, httpReq)
}

// readResponse reads responses until one has the request's ID. An upstream may send a
// late second response to an earlier request, which must not go to this caller. A
// response without an ID is accepted only on a connection that has carried no earlier
// request.
func (c *Client) readResponse(cn *conn, httpReq *http.Request, id string) (*http.Response, []byte, error) {
	for range maxStrayResponses + 1 {
		resp, err := cn.readHead(httpReq)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
		if err != nil {
			return nil, nil, err
		}
		if len(body) > MaxResponseBytes {
			return nil, nil, eris.Wrapf(ErrResponseTooLarge, "body over %d bytes", MaxResponseBytes)
		}
		got := resp.Header.Get(c.headers.RequestID)
		if got == id || (got == "" && cn.lastRequestID == "") {
			return resp, body, nil
		}
	}
	return nil, nil, errStrayResponse
}
