package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// requester sends requests to entry hosts, as the platform's balancer would connect them.
type requester struct {
	judge  *judge
	prefix string
	lastID atomic.Int64
}

// newConn returns a client that keeps one connection.
func newConn() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 6 * time.Second}
}

// result is what a requester got.
type result struct {
	id, body, signature string
	status              int
	err                 error
}

// send sends one request with an id of its own and checks the answer.
func (q *requester) send(ctx context.Context, c *http.Client, h *host, method, vhost, path string, key int, timeout time.Duration) result {
	res := result{id: fmt.Sprintf("%s%08x", q.prefix, q.lastID.Add(1))}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front, nil)
	if err != nil {
		res.err = err
		return res
	}
	if method != http.MethodGet {
		req.Body = io.NopCloser(strings.NewReader("order " + res.id))
		req.ContentLength = int64(len("order " + res.id))
	}
	req.URL.Opaque = path
	req.Host = vhost
	req.Header.Set("Request-Id", res.id)
	req.Header.Set("Request-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key >= 0 {
		req.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	q.judge.logf("%s sent to %s, key %d", res.id, h.name, key)
	q.judge.count("sent")
	resp, err := c.Do(req)
	if err != nil {
		res.err = err
		q.judge.logf("%s ends without an answer: %v", res.id, err)
		q.judge.count("no answer")
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	res.status, res.body, res.signature, res.err = resp.StatusCode, string(data), resp.Header.Get("Response-Signature"), err
	q.judge.logf("%s answered %d, signature %q", res.id, res.status, res.signature)
	q.judge.count("answered " + strconv.Itoa(res.status))
	q.check(res)
	return res
}

// check checks an answer against the rules REFUSED and MIXED.
func (q *requester) check(res result) {
	switch {
	case res.err != nil:
	case res.status == http.StatusOK && (res.signature == "" || !strings.HasSuffix(res.signature, "."+res.id) || !strings.HasSuffix(res.body, " ran "+res.id)):
		q.judge.violate("MIXED: request %s got body %q with signature %q", res.id, res.body, res.signature)
	case (res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests) && q.judge.ran(res.id) > 0:
		q.judge.violate("REFUSED: request %s was answered %d and has run", res.id, res.status)
	}
}
