package httpclient

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// ErrInvalidHead means that the head of a response violates HTTP. Where its body ends is not known then.
var ErrInvalidHead = errors.New("head of the response is invalid")

// tokenChars are the characters of names of header fields (RFC 9110, section 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// CheckHead returns an error that wraps ErrInvalidHead if http.ReadResponse accepts what HTTP/1 does not
// allow: a status below 100, a switch of protocols that nobody has asked for, another major version, and
// invalid characters in names and values of fields. Statuses over 599 are a server's own.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q", ErrInvalidHead, resp.Status)
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %q", ErrInvalidHead, resp.Proto)
	}
	for name, values := range resp.Header {
		if name == "" || strings.Trim(name, tokenChars) != "" {
			return fmt.Errorf("%w: field name %q", ErrInvalidHead, name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isControl) {
				return fmt.Errorf("%w: value of %s", ErrInvalidHead, name)
			}
		}
	}
	return nil
}

// isControl reports whether values of fields must not contain r.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// Transport is an http.RoundTripper that fails on responses with invalid heads.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // closes the connection unless there is no body
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes those of the base.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// New returns a client over t, whose connections and responses are checked. It changes t's DialContext.
func New(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = Dial(dial)
	return &http.Client{Transport: Transport{Base: t}}
}
