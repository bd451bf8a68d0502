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

	"lycheepond/core/store"
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

// Entry is the status of an entry.
type Entry struct {
	Name     string            `json:"name"`
	Zone     string            `json:"zone"`
	Ready    bool              `json:"ready"`
	Leaving  bool              `json:"leaving"`
	Running  int               `json:"running"`
	Config   int64             `json:"config_version"`
	Digest   uint64            `json:"config_digest"`
	Away     bool              `json:"platform_away"`
	AgeMS    int64             `json:"platform_answer_age_ms"`
	Rejected []store.Rejection `json:"rejected,omitempty"`
	Pools    []Pool            `json:"pools"`
}

// Pool is what an entry says of a pool. InFlight and Queued count the entry's
// own requests.
type Pool struct {
	Pool     string  `json:"pool"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
	Level    int     `json:"shed_level"`
	Agents   []Agent `json:"agents"`
}

// Agent is what an entry says of an agent.
type Agent struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Linked   bool   `json:"linked"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"in_flight"`
	Bound    int    `json:"bound"`
	Queued   int    `json:"queued"`
	Slow     bool   `json:"slow"`
	Version  string `json:"version"`
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

// Explained is the record of the decisions about one request.
type Explained struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Class    string `json:"class"`
	Tier     uint8  `json:"tier"`
	Customer string `json:"customer"`
	Outcome  string `json:"outcome,omitempty"`
	Fault    string `json:"fault,omitempty"`
	Steps    []Step `json:"steps"`
}

// Step is one decision.
type Step struct {
	AtMS  int64  `json:"at_ms"`
	What  string `json:"what"`
	Agent string `json:"agent,omitempty"`
	Why   string `json:"why,omitempty"`
}

// Entry asks an entry for its status.
func (c *Client) Entry(ctx context.Context, address string) (Entry, error) {
	var e Entry
	return e, c.ask(ctx, http.MethodGet, address, "/status", &e)
}

// Agent asks an agent for its status.
func (c *Client) Agent(ctx context.Context, address string) (Own, error) {
	var o Own
	return o, c.ask(ctx, http.MethodGet, address, "/status", &o)
}

// Explain asks an entry what it decided about a request.
func (c *Client) Explain(ctx context.Context, address, id string) (Explained, error) {
	var e Explained
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
