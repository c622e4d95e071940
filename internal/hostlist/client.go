package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// State is a host's state in the list.
type State string

// States in the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	// Addr is the address that the target on this host listens on.
	Addr  string `json:"addr"`
	State State  `json:"state"`
}

// List is the body of the platform's response to GET /hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// MaxListBytes limits the size of the list that is read.
const MaxListBytes = 8 << 20

// Client reads the host list from one base URL.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the host list at baseURL.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: httpClient}
}

// Leaving returns the addresses of the hosts whose state is Leaving.
func (c *Client) Leaving(ctx context.Context) (map[string]bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/hosts", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "host list %s", c.baseURL)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "host list %s: read", c.baseURL)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("host list %s: status %d", c.baseURL, resp.StatusCode)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxListBytes)).Decode(&list); err != nil {
		return nil, eris.Wrapf(err, "host list %s: decode", c.baseURL)
	}
	out := map[string]bool{}
	for _, h := range list.Hosts {
		if h.State == Leaving {
			out[h.Addr] = true
		}
	}
	return out, nil
}
