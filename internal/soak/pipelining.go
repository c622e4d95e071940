package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/ownership"
	"github.com/papayatide/papayatide/internal/standin/rangeowner"
)

const (
	// pipeliningCallers is the number of callers that pipeline. Their requests take up
	// about half of the slots of unkeyedService, so that it is scarce while one of its
	// two upstreams is missing.
	pipeliningCallers = 6
	// maxPipelined is the largest number of requests that are sent before the first response.
	maxPipelined = 8
	// One pipeline in slowOneIn is read slowly, and responses to its GETs are padded by up to
	// maxPad bytes, so that they can exceed the bound of 1 MB on the responses that a host
	// holds for a connection. In one in disconnectOneIn the caller disconnects early.
	slowOneIn, disconnectOneIn = 8, 8
	maxPad                     = 200 << 10
	// slowChunk is how much a slow caller reads at a time, maxSlowPause its longest pause
	// between two reads.
	slowChunk    = 16 << 10
	maxSlowPause = 10 * time.Millisecond
	// maxRetryAfter is the longest that a caller waits after a refusal. A request that is
	// suspected of crashing upstreams is refused for up to days.
	maxRetryAfter = time.Second
	// chargeBytes is the size of a charge's body.
	chargeBytes = 20
	// browseShare, pipelinedReadShare and pipelinedChargeShare are shares of pipelined
	// requests; the rest are uploads.
	browseShare, pipelinedReadShare, pipelinedChargeShare = 0.5, 0.25, 0.15
)

var (
	errDisconnected = errors.New("the caller has disconnected")
	errClosed       = errors.New("an earlier response closed the connection")
)

// pipelinedRequest is a request in a pipeline.
type pipelinedRequest struct {
	*outcome
	req *http.Request
	// end is how the body of its successful response ends.
	end string
}

// runPipelining simulates a caller that pipelines until ctx ends. It has its own random
// generator, so the requests of the other callers do not depend on it.
func (c *callers) runPipelining(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 98))
	for ctx.Err() == nil {
		h := c.pickHost(r)
		conn, err := net.DialTimeout("tcp4", h.Front.Addr(), callerTimeout)
		if err != nil {
			sleep(ctx, callerPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		pc := &pipeliningConn{Conn: conn, r: r}
		// The size of the buffer is how much a slow caller reads at a time.
		pc.buffered = bufio.NewReaderSize(pc, slowChunk)
		for open, n := true, 0; open && n < requestsPerConnection && ctx.Err() == nil; n += maxPipelined {
			pc.slow = r.IntN(slowOneIn) == 0
			requests := c.drawPipeline(h, r, pc.slow)
			open = pc.send(requests)
			pause := callerPause
			for _, q := range requests {
				q.responseOptional = q.responseOptional || ctx.Err() != nil
				c.record(q.outcome)
				pause = max(pause, q.retryAfter())
			}
			sleep(ctx, pause)
		}
		stop()
		_ = conn.Close()
	}
}

// retryAfter returns the Retry-After of a refusal, at most maxRetryAfter, and 0 for other outcomes.
// Callers that do not wait for it would send more requests while the service is scarce, which
// would keep it scarce.
func (o *outcome) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// drawPipeline returns random requests, with padded responses if pad is set.
func (c *callers) drawPipeline(h *Host, r *rand.Rand, pad bool) []*pipelinedRequest {
	out := make([]*pipelinedRequest, 1+r.IntN(maxPipelined))
	for i := range out {
		o := &outcome{id: fmt.Sprint("q-", c.lastID.Add(1)), host: h, delayed: true}
		vhost, size := uploadVHost, 1+r.IntN(maxUploadBytes)
		switch x := r.Float64(); {
		case x < browseShare:
			vhost, size = browseVHost, 0
		case x < browseShare+pipelinedReadShare:
			vhost, size = readVHost, 0
		case x < browseShare+pipelinedReadShare+pipelinedChargeShare:
			vhost, size = chargeVHost, chargeBytes
		}
		out[i] = &pipelinedRequest{outcome: o}
		out[i].build(vhost, size, pad, r)
	}
	return out
}

// build sets the request, which has a body of size bytes, and the end of its response. One
// body in four is sent without its length.
func (q *pipelinedRequest) build(vhost string, size int, pad bool, r *rand.Rand) {
	method, path, padding := http.MethodPost, normalPath, 0
	content := bytes.Repeat([]byte(q.id+" "), 1+size/len(q.id))[:size]
	if size == 0 {
		// A page that many ask for while fatal requests crash upstreams is suspected as well, and
		// refused until a trial 10 s after the last crash, which is longer than the quiet period.
		method, path, q.idempotent = http.MethodGet, path+"/"+q.id, true
		if pad {
			padding = 1 + r.IntN(maxPad)
			path += fmt.Sprintf("?%s=%d", rangeowner.PadParameter, padding)
		}
	}
	req, err := q.newRequest(context.Background(), method, vhost, path, bytes.NewReader(content), r.IntN(ownership.KeySpaceSize))
	if err != nil {
		panic(err) // the URL consists of constants and an address
	}
	if size > 0 && r.IntN(4) == 0 {
		req.ContentLength = -1
	}
	q.req, q.end = req, rangeowner.Detail(content, padding)+q.ranSuffix()
}

// pipeliningConn is a connection of a caller that pipelines.
type pipeliningConn struct {
	net.Conn
	buffered *bufio.Reader
	r        *rand.Rand
	// slow is set while the caller reads slowly.
	slow bool
}

// Read implements net.Conn.
func (pc *pipeliningConn) Read(p []byte) (int, error) {
	if pc.slow {
		time.Sleep(time.Duration(pc.r.Int64N(int64(maxSlowPause))))
	}
	return pc.Conn.Read(p)
}

// send sends all requests at once and reads their responses in order. Some callers disconnect
// before the last response, half of them before they have sent everything. It reports whether
// the connection remains usable.
func (pc *pipeliningConn) send(requests []*pipelinedRequest) bool {
	var out bytes.Buffer
	for _, q := range requests {
		q.began = time.Now()
		_ = q.req.Write(&out) // a bytes.Buffer returns no errors
	}
	text, responses := out.Bytes(), len(requests)
	if pc.r.IntN(disconnectOneIn) == 0 {
		responses = pc.r.IntN(len(requests))
		if pc.r.IntN(2) == 0 {
			text, responses = text[:pc.r.IntN(len(text))], 0
		}
	}
	_ = pc.SetWriteDeadline(time.Now().Add(callerTimeout))
	written := make(chan error, 1)
	go func() {
		_, err := pc.Write(text)
		written <- err
	}()
	for i, q := range requests {
		if i == responses {
			time.Sleep(time.Duration(pc.r.Int64N(int64(2 * workTime))))
			return pc.abandon(requests[i:], errDisconnected, false)
		}
		_ = pc.SetReadDeadline(time.Now().Add(callerTimeout))
		resp, err := http.ReadResponse(pc.buffered, q.req)
		if err == nil {
			err = q.readResponse(resp)
		}
		if err != nil {
			return pc.abandon(requests[i:], err, false)
		}
		q.ended = time.Now()
		if resp.Close {
			return pc.abandon(requests[i+1:], errClosed, true)
		}
	}
	return <-written == nil
}

// abandon closes the connection and sets the outcomes of requests without a response. It
// returns false.
func (pc *pipeliningConn) abandon(requests []*pipelinedRequest, err error, closedByHost bool) bool {
	_ = pc.Close()
	for _, q := range requests {
		q.err, q.ended, q.followsClose = err, time.Now(), closedByHost
		q.responseOptional = errors.Is(err, errDisconnected)
	}
	return false
}

// readResponse stores the response in q. It shortens the body, so that it ends as those of
// other requests if it ends with q.end, and otherwise does not.
func (q *pipelinedRequest) readResponse(resp *http.Response) error {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Join(errors.New("response body interrupted"), err)
	}
	q.status, q.header, q.body = resp.StatusCode, resp.Header, string(data)
	if start, ok := strings.CutSuffix(q.body, q.end); ok {
		q.body = start + q.ranSuffix()
	} else if resp.StatusCode == http.StatusOK {
		q.body = fmt.Sprintf("%.100s and %d bytes in all", q.body, len(q.body))
	}
	return nil
}
