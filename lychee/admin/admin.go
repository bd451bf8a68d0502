// Package admin asks the operators' listeners of entries and agents.
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
)

// timeout bounds one question. An entry answers from memory.
const timeout = 5 * time.Second

// maxAnswer bounds an answer in bytes.
const maxAnswer = 16 << 20

// ErrToken reports an operator token that is missing or wrong.
var ErrToken = errors.New("operators' token missing or wrong: set --admin-token or LYCHEE_ADMIN_TOKEN to admin.token of its settings")

// ErrUnknown reports that the process does not know what was asked for.
var ErrUnknown = errors.New("not known there")

// Client asks with one token.
type Client struct {
	token string
	http  *http.Client
}

// New returns a client; httpClient may be nil.
func New(token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{}
	}
	return &Client{token: token, http: httpClient}
}

// Own is what an agent says of itself.
type Own struct {
	InFlight int    `json:"in_flight"`
	Bound    int    `json:"bound"`
	Queued   int    `json:"queued"`
	Leaving  bool   `json:"leaving"`
	Down     bool   `json:"endpoint_down"`
	Slow     bool   `json:"endpoint_slow"`
	Version  string `json:"endpoint_version"`
}

// Entry asks an entry for its status.
func (c *Client) Entry(ctx context.Context, address string) (report.Entry, error) {
	var e report.Entry
	return e, c.ask(ctx, http.MethodGet, address, "/status", &e)
}

// Agent asks an agent for its status.
func (c *Client) Agent(ctx context.Context, address string) (Own, error) {
	var o Own
	return o, c.ask(ctx, http.MethodGet, address, "/status", &o)
}

// Explain asks an entry what it decided about a request.
func (c *Client) Explain(ctx context.Context, address, id string) (report.Request, error) {
	var e report.Request
	return e, c.ask(ctx, http.MethodGet, address, "/explain/"+id, &e)
}

// Drain tells an agent to take no more work and to stop when it has finished.
func (c *Client) Drain(ctx context.Context, address string) error {
	return c.ask(ctx, http.MethodPost, address, "/drain", nil)
}

func (c *Client) ask(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	body := io.LimitReader(resp.Body, maxAnswer)
	switch {
	case resp.StatusCode == http.StatusUnauthorized:
		return eris.Wrap(ErrToken, address)
	case resp.StatusCode == http.StatusNotFound:
		return eris.Wrap(ErrUnknown, address)
	case resp.StatusCode >= http.StatusMultipleChoices:
		text, _ := io.ReadAll(io.LimitReader(body, 1<<10))
		return eris.Errorf("%s answered %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	case into == nil:
		return nil
	}
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return eris.Wrapf(err, "%s: answer is not a status, check that it is an admin address", address)
	}
	return nil
}
