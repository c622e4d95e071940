// Package rawserver is a stand-in of a server that violates HTTP: it writes any bytes as its response, and may
// reset the connection.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Response is what the server writes once it has read a request's head.
type Response struct {
	Bytes string
	// ResetAfter is the time from the response until the connection is reset. If it is negative, the
	// connection is closed in an orderly way at once. In either case the request's body is not read.
	ResetAfter time.Duration
	// Keep keeps the connection open for further requests, and reads the request's body.
	Keep bool
}

// Server responds to all requests in the same way.
type Server struct {
	ln       net.Listener
	response func(*http.Request) Response
}

// Start starts a server on a loopback address.
func Start(response func(*http.Request) Response) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln, response}
	go s.accept()
	return s, nil
}

// Addr returns the server's address (host:port).
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the server. Open connections stay open.
func (s *Server) Close() { _ = s.ln.Close() }

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		resp := s.response(req)
		if resp.Keep {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if _, err := io.WriteString(c, resp.Bytes); err != nil {
			return
		}
		switch {
		case resp.Keep:
			continue
		case resp.ResetAfter >= 0:
			time.Sleep(resp.ResetAfter)
			_ = c.SetLinger(0)
		default:
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, br)
		}
		return
	}
}
