package upstream

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/papayatide/papayatide/internal/bodybudget"
	"github.com/papayatide/papayatide/internal/bounded"
	"github.com/papayatide/papayatide/internal/httpclient"
)

const (
	// MaxResponseBytes bounds a response body. Responses are buffered whole, so that a
	// truncated one never reaches a caller as if it were complete.
	MaxResponseBytes = 8 << 20
	// uncountedBytes is the size of a body up to which it is not counted against the budget.
	uncountedBytes = 16 << 10
	// maxStrayResponses bounds how many responses to earlier requests an attempt skips
	// before it fails.
	maxStrayResponses = 2
)

var (
	// ErrResponseTooLarge is wrapped by the error of a result whose response was not read to its end: its
	// head or its body has too many bytes. The connection was closed then.
	ErrResponseTooLarge = errors.New("response is too large")
	// ErrNoMemory is wrapped instead if other upstreams' responses use the memory for it.
	ErrNoMemory = errors.New("no memory for the response")

	errStrayResponse = errors.New("answer belongs to another request")
	errSeveralIDs    = errors.New("response has the IDs of several requests")
)

// headReader reads from source. While it is limited it fails after bounded.MaxHeadBytes.
type headReader struct {
	source  io.Reader
	limited bool
	left    int
}

// limit makes further reads fail once bounded.MaxHeadBytes have been read; unlimit ends that.
func (r *headReader) limit() { r.limited, r.left = true, bounded.MaxHeadBytes }

func (r *headReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, eris.Wrapf(ErrResponseTooLarge, "head over %d bytes", bounded.MaxHeadBytes)
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readHead reads the head of a response to httpReq.
func (c *conn) readHead(httpReq *http.Request) (*http.Response, error) {
	c.in.limit()
	defer c.in.unlimit()
	resp, err := http.ReadResponse(c.br, httpReq)
	if err != nil {
		return nil, err
	}
	return resp, httpclient.CheckHead(resp)
}

// readResponse reads responses until one has the request's ID. An upstream may send a
// late second response to an earlier request, which must not go to this caller. A
// response without an ID is accepted only on a connection that has carried no earlier
// request. The body has at most maxBody bytes, which are reserved in memory.
func (c *Client) readResponse(cn *conn, httpReq *http.Request, id string, maxBody int, memory *bodybudget.ResponseReservation) (*http.Response, []byte, error) {
	for range maxStrayResponses + 1 {
		resp, err := cn.readHead(httpReq)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if len(resp.Header.Values(c.headers.RequestID)) > 1 {
			return nil, nil, errSeveralIDs
		}
		body, err := readBody(resp, maxBody, memory)
		if err != nil {
			memory.Release()
			return nil, nil, err
		}
		got := resp.Header.Get(c.headers.RequestID)
		if got == id || (got == "" && cn.lastRequestID == "") {
			return resp, body, nil
		}
		memory.Release()
	}
	return nil, nil, errStrayResponse
}

// readBody reads a body of up to maxBody bytes into a buffer that grows with what has arrived. A stated
// length may be false, and reserves nothing.
func readBody(resp *http.Response, maxBody int, memory *bodybudget.ResponseReservation) ([]byte, error) {
	if resp.ContentLength > int64(maxBody) {
		return nil, eris.Wrapf(ErrResponseTooLarge, "body of %d bytes", resp.ContentLength)
	}
	first := uncountedBytes
	if n := int(resp.ContentLength); n >= 0 && n < first {
		first = n + 1 // one more to read the end
	}
	buf, reserved := make([]byte, 0, first), 0
	for {
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > maxBody:
			return nil, eris.Wrapf(ErrResponseTooLarge, "body over %d bytes", maxBody)
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) < cap(buf):
			continue
		}
		size := min(2*cap(buf), maxBody+1)
		if err := memory.Grow(int64(size - reserved)); err != nil {
			return nil, memoryError(err)
		}
		reserved = size
		buf = append(make([]byte, 0, size), buf...)
	}
}

// memoryError returns the error of a response for which the budget has no room.
func memoryError(err error) error {
	if errors.Is(err, bodybudget.ErrHostLimit) {
		return eris.Wrap(errors.Join(ErrNoMemory, err), "read body")
	}
	return eris.Wrap(errors.Join(ErrResponseTooLarge, err), "read body")
}
