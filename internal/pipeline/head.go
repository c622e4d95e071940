package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// headEnd returns the length of the head that b begins with, 0 if it is incomplete.
func headEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// inspectHead returns the length of the body that follows a complete head. ok is false
// if the head leaves any doubt about where the request ends, such as an oddity that
// parsers treat differently. It is called for each request and doesn't allocate.
func inspectHead(head []byte) (body int64, ok bool) {
	if head[0] < 'A' || head[0] > 'Z' {
		return 0, false
	}
	hasLength := false
	for first := true; ; first = false {
		i := bytes.IndexByte(head, '\n')
		if i < 1 || head[i-1] != '\r' {
			return 0, false
		}
		line := head[:i-1]
		head = head[i+1:]
		if bytes.IndexByte(line, '\r') >= 0 {
			return 0, false
		}
		if first {
			if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) || bytes.HasPrefix(line, []byte("CONNECT ")) {
				return 0, false
			}
			continue
		}
		if len(line) == 0 {
			return body, len(head) == 0
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return 0, false
		}
		switch len(name) {
		case len("Content-Length"):
			if !bytes.EqualFold(name, []byte("Content-Length")) {
				continue
			}
			// ParseUint accepts digits only: no sign, list or inner space.
			n, err := strconv.ParseUint(string(bytes.Trim(value, " ")), 10, 63)
			if hasLength || err != nil {
				return 0, false
			}
			hasLength, body = true, int64(n)
		case len("Transfer-Encoding"):
			if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
				return 0, false
			}
		case len("Upgrade"), len("Expect"):
			if bytes.EqualFold(name, []byte("Upgrade")) || bytes.EqualFold(name, []byte("Expect")) {
				return 0, false
			}
		}
	}
}

// parseHead returns the request of a complete head if it may be run ahead, else nil.
// Once it is, net/http's server must not reject it, as that would close the connection
// without its response: anything that the server checks beyond http.ReadRequest is
// restricted to what is common.
func (s *Server) parseHead(head []byte) *http.Request {
	if body, ok := inspectHead(head); !ok || body > 0 {
		return nil
	}
	for _, b := range head {
		if (b < ' ' && b != '\r' && b != '\n') || b > '~' {
			return nil
		}
	}
	src := bytes.NewReader(head)
	br := bufio.NewReaderSize(src, len(head))
	r, err := http.ReadRequest(br)
	if err != nil || br.Buffered()+src.Len() > 0 || !isHostAndPort(r.Host) || !strings.HasPrefix(r.RequestURI, "/") {
		return nil
	}
	if _, ok := r.Header["Content-Length"]; ok {
		return nil
	}
	for name := range r.Header {
		if strings.Trim(name, tokenChars) != "" {
			return nil
		}
	}
	if !s.qualifies(r) {
		return nil
	}
	return r
}

// tokenChars are the characters of common header names, a part of those allowed.
const tokenChars = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

// isHostAndPort reports whether host is non-empty and has only letters, digits and the
// punctuation of addresses.
func isHostAndPort(host string) bool {
	return host != "" && strings.Trim(host, tokenChars+".:[]") == ""
}

// qualifies reports whether a parsed request may be run ahead, and others behind it: it
// has no body, leaves the connection open and is idempotent.
func (s *Server) qualifies(r *http.Request) bool {
	if (r.Method != http.MethodGet && r.Method != http.MethodHead) || r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close {
		return false
	}
	if r.Body != http.NoBody || r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return false
	}
	for _, name := range []string{"Upgrade", "Expect", "Trailer", "Http2-Settings"} {
		if _, ok := r.Header[name]; ok {
			return false
		}
	}
	for _, v := range r.Header["Connection"] {
		if !strings.EqualFold(v, "keep-alive") {
			return false
		}
	}
	return s.Idempotent(r)
}
