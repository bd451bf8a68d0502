package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// host and apiKey are the host of all routes and the key of the only tenant.
const (
	host   = "app.example"
	apiKey = "i9n73hh2b9wu3fexd9dn"
)

// client is a caller that keeps its connection.
type client struct {
	rig  *rig
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// reply is what a caller got. err is set if the connection ended without a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// newID returns the ID of a new request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, bodyBytes int, more ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, id, deadline.Milliseconds(), apiKey)
	for _, l := range more {
		b.WriteString(l + "\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// connect opens a connection if there is none.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

// disconnect closes the connection.
func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and reads its answer.
func (c *client) do(method, path, id string, deadline time.Duration, body []byte, more ...string) reply {
	if err := c.connect(); err != nil {
		return reply{err: fmt.Errorf("not sent: %w", err)}
	}
	c.rig.recordf("sent %s %s %s to %s", id, method, path, c.addr)
	if _, err := c.conn.Write(append(head(method, path, id, deadline, len(body), more...), body...)); err != nil {
		c.disconnect()
		return c.note(id, reply{err: err})
	}
	return c.read(method, id, deadline)
}

// read reads the answer to the request that was sent.
func (c *client) read(method, id string, deadline time.Duration) reply {
	c.conn.SetReadDeadline(time.Now().Add(deadline))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		c.disconnect()
		return c.note(id, reply{err: err})
	}
	out := reply{status: resp.StatusCode, header: resp.Header}
	out.body, out.err = io.ReadAll(resp.Body)
	if out.err != nil || resp.Close {
		c.disconnect()
	}
	return c.note(id, out)
}

// note records a reply.
func (c *client) note(id string, r reply) reply {
	var netErr net.Error
	switch {
	case errors.As(r.err, &netErr) && netErr.Timeout():
		c.rig.recordf("deadline of %s", id)
	case r.err != nil:
		c.rig.recordf("answer to %s: status %d, %d bytes, then: %v", id, r.status, len(r.body), r.err)
	default:
		c.rig.recordf("answer to %s: status %d, %d bytes", id, r.status, len(r.body))
	}
	return r
}
