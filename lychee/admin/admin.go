// Package admin is a client of the admin listeners of entries and agents.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheepond/core/report"
	"lycheepond/core/strict"
)

// requestTimeout bounds one HTTP request. It can be short, because an
// entry answers from memory.
const requestTimeout = 5 * time.Second

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 16 << 20

// ErrUnauthorized reports an operator token that is missing or wrong.
var ErrUnauthorized = errors.New("operators' token missing or wrong: set --admin-token or LYCHEE_ADMIN_TOKEN to admin.token of its settings")

// ErrNotFound reports that the process has no such path or no record of the
// request.
var ErrNotFound = errors.New("not found there, check that it is an admin address")

// Client calls admin listeners with one operators' token.
type Client struct {
	token string
	http  *http.Client
}

// New returns a client. If httpClient is nil, one with default settings is used.
func New(token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: strict.New(http.DefaultTransport.(*http.Transport).Clone())}
	}
	return &Client{token: token, http: httpClient}
}

// AgentStatus is an agent's report on itself and its endpoint.
type AgentStatus struct {
	// InFlight counts the requests running at the endpoint, InFlightBound is the
	// bound on that number, and QueuedRequests counts the requests in the agent's
	// queue.
	InFlight       int `json:"in_flight"`
	InFlightBound  int `json:"bound"`
	QueuedRequests int `json:"queued"`
	// IsLeaving is set when the agent accepts no new requests and stops after those
	// that are running.
	IsLeaving       bool   `json:"leaving"`
	EndpointDown    bool   `json:"endpoint_down"`
	EndpointSlow    bool   `json:"endpoint_slow"`
	EndpointVersion string `json:"endpoint_version"`
}

// EntryStatus returns the status of the entry at an admin address.
func (c *Client) EntryStatus(ctx context.Context, address string) (report.Entry, error) {
	var status report.Entry
	return status, c.call(ctx, http.MethodGet, address, "/status", &status)
}

// AgentStatus returns the status of the agent at an admin address.
func (c *Client) AgentStatus(ctx context.Context, address string) (AgentStatus, error) {
	var status AgentStatus
	return status, c.call(ctx, http.MethodGet, address, "/status", &status)
}

// Explain returns an entry's record of its decisions about a request. The error
// is ErrNotFound if the entry has none.
func (c *Client) Explain(ctx context.Context, address, requestID string) (report.Request, error) {
	var record report.Request
	return record, c.call(ctx, http.MethodGet, address, "/explain/"+requestID, &record)
}

// Drain makes an agent refuse new requests, finish those that are running, and stop.
func (c *Client) Drain(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodPost, address, "/drain", nil)
}

// call sends one request and decodes the JSON response into result, unless
// result is nil.
func (c *Client) call(ctx context.Context, method, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(address, "/")+path, nil)
	if err != nil {
		return err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "no answer from %s, check the address and that the process runs", address)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxResponseBytes)
	switch {
	case resp.StatusCode == http.StatusUnauthorized:
		return eris.Wrap(ErrUnauthorized, address)
	case resp.StatusCode == http.StatusNotFound:
		return eris.Wrap(ErrNotFound, address)
	case resp.StatusCode >= http.StatusMultipleChoices:
		text, _ := io.ReadAll(io.LimitReader(body, 1<<10))
		return eris.Errorf("%s answered %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	}
	if result != nil {
		if err := json.NewDecoder(body).Decode(result); err != nil {
			return eris.Wrapf(err, "%s: answer is not a status, check that it is an admin address", address)
		}
	}
	return eris.Wrap(strict.ReadRest(body), address)
}
