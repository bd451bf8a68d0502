package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// call is a client's request with what it may repeat.
type call struct {
	method, host, path, key string
	header                  map[string]string
	body                    []byte
	deadline                time.Duration
	idempotent              bool
	retries                 int
}

// attempt is one client attempt and its answer. status is zero if there was no answer.
type attempt struct {
	id         string
	sentAt     time.Time
	node       *node
	status     int
	retryAfter time.Duration
	// isWhole is set if the body arrived whole, isRefused if the connection was refused.
	isWhole, isRefused bool
}

// client is a stand-in of a client. It keeps its connection to a node, and follows the pages when
// it repeats a request: each retry on a new connection, to another node.
type client struct {
	rec *record
	// onSend is called with each attempt when it is sent.
	onSend func(a *attempt, c *call)
	kept   *http.Client
}

func newClient(rec *record, onSend func(a *attempt, c *call)) *client {
	return &client{rec: rec, onSend: onSend, kept: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// do sends a call to the node at position first and repeats it as the pages allow.
func (c *client) do(r *call, nodes []*node, first int) *attempt {
	end := time.Now().Add(r.deadline)
	at := first
	for try := 0; ; try++ {
		hc := c.kept
		if try > 0 {
			hc = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
		}
		a := c.send(hc, r, nodes[at], time.Until(end))
		if a.isWhole && a.status < 300 || try >= r.retries || !mayRetry(a, r) {
			return a
		}
		left := time.Until(end)
		if left <= 0 {
			return a
		}
		time.Sleep(min(a.retryAfter, left/3))
		at = (at + 1 + rand.IntN(len(nodes)-1)) % len(nodes)
	}
}

// mayRetry reports whether the pages let a client repeat a call after an attempt.
func mayRetry(a *attempt, r *call) bool {
	switch s := a.status; {
	case s >= 200 && s < 300, s == 400, s == 401, s == 404, s == 413, s == 431:
		return false
	case s == 429, s == 503, s == 408, s == 421:
		return true
	}
	return r.idempotent || a.isRefused
}

func (c *client) send(hc *http.Client, r *call, n *node, left time.Duration) *attempt {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), node: n, sentAt: time.Now()}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.front+r.path, bytes.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	req.Host = r.host
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+r.key)
	// net/http must not repeat a request by itself.
	req.GetBody = nil
	c.rec.add("sent %s %s%s to %s", a.id, r.host, r.path, n.name)
	c.onSend(a, r)
	resp, err := hc.Do(req)
	if err != nil {
		a.isRefused = isRefused(err)
		c.rec.add("answer %s none: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	a.status, a.isWhole = resp.StatusCode, err == nil
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	c.rec.add("answer %s status %d whole %v retry-after %v stamp %q", a.id, a.status, a.isWhole, a.retryAfter, resp.Header.Get("Response-Stamp"))
	return a
}

// isRefused reports whether an attempt failed because nobody listened.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
