package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/papayatide/papayatide/internal/standin/rangeowner"
	"github.com/papayatide/papayatide/platform"
)

// crowdPause is how long a client waits before it opens its next connection.
const crowdPause = 50 * time.Millisecond

// crowdClient sends what one client of a crowd sends over one connection. It returns early if a write fails.
type crowdClient func(w io.Writer) error

// partOf sends head, then n bytes of a body in pieces. The client then stays connected.
func partOf(head string, n, piece int) crowdClient {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for left := n; left > 0; left -= piece {
			if _, err := io.WriteString(w, strings.Repeat("b", min(left, piece))); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunksOf is partOf for a body in chunks, of which the last never comes.
func chunksOf(head string, n, chunk int) crowdClient {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		data := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk))
		for left := n; left > 0; left -= chunk {
			if _, err := io.WriteString(w, data); err != nil {
				return err
			}
		}
		return nil
	}
}

// repeated sends first, then text for as long as the connection is open, up to limit bytes; 0 for no limit.
func repeated(first, text string, limit int) crowdClient {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, first)
		block := strings.Repeat(text, max(1, 4096/len(text)))
		for n := len(block); err == nil && (limit == 0 || n <= limit); n += len(block) {
			_, err = io.WriteString(w, block)
		}
		return err
	}
}

// bodyCrowds are those that send all of a body of n bytes but its end.
func bodyCrowds(head string, n int) map[string]crowdClient {
	withLength := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n)
	return map[string]crowdClient{
		"bodies that stop":           partOf(withLength, n-1, n),
		"bodies in pieces that stop": partOf(withLength, n-1, 1000),
		"chunked bodies that stop":   chunksOf(head+"Transfer-Encoding: chunked\r\n\r\n", n-1000, 1000),
	}
}

func silent(io.Writer) error { return nil }

// headCrowds are those that never complete a request's head, on any listener.
func headCrowds(first string) map[string]crowdClient {
	line := "X-More: " + strings.Repeat("m", 1015) + "\r\n"
	return map[string]crowdClient{
		"heads over the limit":      repeated(first, line, 0),
		"heads that stop":           repeated(first, line, 60<<10),
		"long heads that stop":      repeated(first, line, 960<<10),
		"lines without end":         repeated("", "m", 0),
		"empty lines without end":   repeated("", "\r\n", 0),
		"line feeds without end":    repeated("", "\n", 0),
		"empty lines after request": repeated(first+"Content-Length: 1\r\n\r\nx", "\r\n", 0),
	}
}

// call opens connections to addr, one after another, until ctx ends, and sends over each what send does. A
// connection stays open until the process closes it.
func (send crowdClient) call(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		if c, err := net.DialTimeout("tcp4", addr, time.Second); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			go func() {
				if send(c) != nil {
					_ = c.Close()
				}
			}()
			_, _ = io.Copy(io.Discard, c)
			stop()
			_ = c.Close()
		}
		time.Sleep(crowdPause)
	}
}

const (
	// drawnCrowdSize is the number of clients of a crowd that is drawn from a seed, drawnBodyBytes the size of
	// their bodies.
	drawnCrowdSize, drawnBodyBytes = 15, 64 << 10
	// maxCrowdGap is the longest pause between two crowds, or two upstreams with broken responses.
	maxCrowdGap = 1500 * time.Millisecond
)

// brokenResponses are those that upstreams are drawn to send; ID stands for the ID of the request.
var brokenResponses = []rangeowner.BrokenResponse{
	{Text: "HTTP/1.1 000 Trouble\r\n" + platform.Headers.RequestID + ": ID\r\nContent-Length: 2\r\n\r\nno"},
	{Text: "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n" + platform.Headers.RequestID + ": ID\r\nContent-Length: 2\r\n\r\nno"},
	{Text: "HTTP/1.1 200 OK\r\n" + platform.Headers.RequestID + ": ID\r\nContent-Length : 2\r\n\r\nno"},
	{Text: "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\n" + platform.Headers.RequestID + ": ID\r\nContent-Length: 2\r\n\r\nno"},
	{Text: "HTTP/1.1 200 OK\r\n" + platform.Headers.RequestID + ": ID\r\n\r\npart of the response", Reset: true},
}

// runCrowds has crowds of clients that do not behave call hosts, and upstreams send broken responses, one
// after another until ctx ends.
func (in *injector) runCrowds(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 12))
	get := "GET /x HTTP/1.1\r\nHost: " + unkeyedVHost + "\r\n"
	crowds := headCrowds(get)
	for name, send := range bodyCrowds(strings.Replace(get, "GET", "POST", 1), drawnBodyBytes) {
		crowds[name] = send
	}
	crowds["connections"] = silent
	var names []string
	for name := range crowds {
		names = append(names, name)
	}
	slices.Sort(names)
	for ctx.Err() == nil {
		h, name := in.hosts[rng.IntN(len(in.hosts))], names[rng.IntN(len(names))]
		cctx, cancel := context.WithCancel(ctx)
		in.runFault("crowd at "+h.Name+": "+name, h, "crowd", time.Duration(1+rng.Int64N(int64(2*time.Second))), func() { crowds[name].callAll(cctx, h.Front.Addr()) }, cancel)
		inc, response := in.env.currentOf(in.env.endpoints[rng.IntN(len(in.env.endpoints))]), brokenResponses[rng.IntN(len(brokenResponses))]
		in.runFault("broken responses of "+inc.ID, nil, "broken responses", time.Duration(1+rng.Int64N(int64(time.Second))),
			func() { inc.SetBroken(&response) }, func() { inc.SetBroken(nil) })
		sleep(ctx, time.Duration(rng.Int64N(int64(maxCrowdGap))))
	}
}

// currentOf returns the endpoint's latest incarnation.
func (env *Environment) currentOf(ep *endpoint) *incarnation {
	env.mu.Lock()
	defer env.mu.Unlock()
	return ep.current
}

// callAll has drawnCrowdSize clients call addr until ctx ends. It returns at once.
func (send crowdClient) callAll(ctx context.Context, addr string) {
	for range drawnCrowdSize {
		go send.call(ctx, addr)
	}
}
