package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheepond/core/strict"
)

const (
	// MaxObjectSize is the size in bytes of the largest object that the platform
	// accepts.
	MaxObjectSize = 1 << 20
	// maxAnswerSize bounds the bytes read of one answer. A list of 21,000 customers is
	// about 10 MB.
	maxAnswerSize = 256 << 20
	// callTimeout bounds a call that does not wait for changes. The platform normally
	// answers within milliseconds; a slow one counts as unavailable and is called
	// again later.
	callTimeout = 10 * time.Second
	// AnyKind is the kind with which Watch watches every kind.
	AnyKind = "*"
	// Unconditional is the version with which Put and Delete write without a
	// condition.
	Unconditional int64 = -1
	// Absent is the version with which Put requires that the object does not exist.
	Absent int64 = 0
)

// Config configures a Client.
type Config struct {
	// BaseURL is the platform's address with its scheme, such as
	// http://127.0.0.1:7000.
	BaseURL string
	// Token is sent as the bearer token; if it is empty, none is sent.
	Token string
	// HTTP makes the calls; nil means a separate client. It must have no timeout,
	// because a watch waits.
	HTTP *http.Client
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
	calls   Calls
}

// New returns a client. It makes no call.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: strict.New(&http.Transport{
			MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: 2 * time.Minute,
		})}
	}
	return &Client{baseURL: strings.TrimRight(cfg.BaseURL, "/"), token: cfg.Token, http: cfg.HTTP}
}

// Calls returns the counters of the client's calls.
func (c *Client) Calls() *Calls { return &c.calls }

// Get reads one object. It returns ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	c.calls.get.Add(1)
	var o Object
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name)}, &o)
	return o, err
}

// List reads every object of a kind.
func (c *Client) List(ctx context.Context, kind string) (Batch, error) {
	c.calls.list.Add(1)
	var b Batch
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/objects/" + url.PathEscape(kind)}, &b)
	return b, err
}

// Put writes an object if its version is still ifVersion, which may be Absent or
// Unconditional. It returns a *ConflictError if the version differs, an
// *UncertainError if the reply was lost and the write may have taken effect, and
// ErrTooLarge for more than MaxObjectSize bytes.
func (c *Client) Put(ctx context.Context, kind, name string, data []byte, ifVersion int64) (Object, error) {
	c.calls.put.Add(1)
	if len(data) > MaxObjectSize {
		return Object{}, ErrTooLarge
	}
	var o Object
	err := c.call(ctx, request{
		method: http.MethodPut, path: objectPath(kind, name), body: data,
		kind: kind, name: name, ifVersion: ifVersion,
	}, &o)
	return o, err
}

// Delete deletes an object under the same conditions as Put.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion int64) error {
	c.calls.deletes.Add(1)
	return c.call(ctx, request{
		method: http.MethodDelete, path: objectPath(kind, name),
		kind: kind, name: name, ifVersion: ifVersion,
	}, nil)
}

// Watch waits up to wait for changes after a version. Without a change it returns an
// empty Batch. It returns ErrCompacted if the platform no longer has the changes.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Batch, error) {
	c.calls.watch.Add(1)
	path := "/v1/watch/" + url.PathEscape(kind)
	if kind == AnyKind {
		path = "/v1/watch/" + AnyKind
	}
	var b Batch
	err := c.call(ctx, request{method: http.MethodGet, path: path + pollQuery(after, wait), wait: wait}, &b)
	return b, err
}

// Instances waits up to wait for an instance list newer than version after.
func (c *Client) Instances(ctx context.Context, after int64, wait time.Duration) (Roster, error) {
	c.calls.instances.Add(1)
	var r Roster
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/instances" + pollQuery(after, wait), wait: wait}, &r)
	return r, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func pollQuery(after int64, wait time.Duration) string {
	return "?after=" + strconv.FormatInt(after, 10) + "&wait=" + wait.String()
}

// request is one call to the platform.
type request struct {
	method, path string
	body         []byte
	// kind, name and ifVersion are set for writes.
	kind, name string
	ifVersion  int64
	// wait is how long the platform may delay the answer.
	wait time.Duration
}

// isWrite reports whether the call changes an object.
func (q request) isWrite() bool { return q.method == http.MethodPut || q.method == http.MethodDelete }

// call makes one call and decodes its answer into into, unless that is nil.
func (c *Client) call(ctx context.Context, q request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+q.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, c.baseURL+q.path, bytes.NewReader(q.body))
	if err != nil {
		return eris.Wrap(err, "plat: check platform.address")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if q.isWrite() && q.ifVersion != Unconditional {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(q.ifVersion, 10)))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.calls.failed.Add(1)
		return q.callError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.calls.countErrorStatus(resp.StatusCode)
		return q.statusError(resp)
	}
	if into != nil {
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerSize)).Decode(into); err != nil {
			c.calls.failed.Add(1)
			return q.callError(eris.Wrap(err, "answer cut short or not JSON"))
		}
	}
	if err := strict.ReadRest(resp.Body); err != nil {
		c.calls.failed.Add(1)
		return q.callError(eris.Wrap(err, "answer cut short"))
	}
	return nil
}

// callError returns the error for a call without a complete answer. A write without
// an answer may have taken effect, and repeating it blindly could undo what another
// operator has written since.
func (q request) callError(err error) error {
	if q.isWrite() && !isDialError(err) {
		return &UncertainError{kind: q.kind, name: q.name, err: err}
	}
	return &UnavailableError{err: err}
}
