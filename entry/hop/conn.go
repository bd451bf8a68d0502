package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// inlineBody is the largest body that is written before the answer is read.
	// It fits the smallest send buffer; a larger one could block for as long as
	// the endpoint answers without reading.
	inlineBody = 8 << 10
	// maxForeign is how many answers to other requests are skipped before a
	// connection is given up.
	maxForeign = 4
	readBuffer = 4 << 10
)

// conn is one connection to an endpoint; it carries one request at a time.
type conn struct {
	client *Client
	addr   string
	net    net.Conn
	r      *bufio.Reader
	// since is when the last answer ended and keep how long the connection may
	// be idle after it.
	since time.Time
	keep  time.Duration
}

func newConn(c *Client, addr string, nc net.Conn) *conn {
	return &conn{client: c, addr: addr, net: nc, r: bufio.NewReaderSize(nc, readBuffer), keep: keptTime}
}

func (k *conn) close() {
	k.net.Close()
	k.client.release(k.addr)
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Bytes that came without a request are no answer, and a connection that the
// endpoint has closed would lose the next request.
func (k *conn) quiet() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	raw, err := k.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange writes r and reads the head of its answer.
func (k *conn) exchange(ctx context.Context, r *Request) (*Answer, error) {
	unhook := context.AfterFunc(ctx, func() { k.net.SetDeadline(time.Unix(1, 0)) })
	head := r.head()
	inline := len(r.Body) <= inlineBody
	if inline {
		head = append(head, r.Body...)
	}
	if n, err := k.net.Write(head); err != nil {
		unhook()
		if n == 0 {
			return nil, errors.Join(ErrNotSent, ended(ctx, err))
		}
		return nil, errors.Join(ErrUnknown, ended(ctx, err))
	}
	var written chan error
	if !inline {
		written = make(chan error, 1)
		go func() {
			_, err := k.net.Write(r.Body)
			written <- err
		}()
	}
	resp, err := k.answer(r)
	if err != nil {
		unhook()
		return nil, errors.Join(ErrUnknown, ended(ctx, err))
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		conn: k, body: resp.Body, last: resp.Close, written: written, unhook: unhook,
		ended: func(err error) error { return ended(ctx, err) },
	}, nil
}

// ended returns the cause of ctx if its end made an exchange fail with err, and
// else err. Cancelled reads and dials fail as late ones do; taken as they are,
// they could not be told from an endpoint that failed.
func ended(ctx context.Context, err error) error {
	var late net.Error
	if ctx.Err() != nil && errors.As(err, &late) && (late.Timeout() || errors.Is(err, context.Canceled)) {
		return context.Cause(ctx)
	}
	return err
}

// answer reads heads until one belongs to r. An endpoint may send a second
// answer to an earlier request, early or late, where that to r is expected.
func (k *conn) answer(r *Request) (*http.Response, error) {
	for foreign := 0; foreign < maxForeign; {
		resp, err := http.ReadResponse(k.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			// An endpoint that says it is at work is waited for as any other.
			continue
		}
		if r.Own(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, errors.Join(errors.New("hop: answer to another request"), err)
		}
		foreign++
	}
	return nil, errors.New("hop: too many answers to other requests")
}

// head returns the head of r as it goes over the wire.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer is the answer of an endpoint. Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64

	conn *conn
	body io.Reader
	// whole is set once the body was read to its proper end.
	whole bool
	// last is set if the endpoint closes the connection after this answer.
	last bool
	// written tells that the request's body is out; nil if it was before the
	// answer came.
	written chan error
	unhook  func() bool
	// ended returns what an error of the connection means.
	ended func(error) error
}

// Read reads the body. It returns io.EOF only at the proper end of a whole body,
// and the cause of the request's context if that has ended.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
		return n, err
	}
	return n, a.ended(err)
}

// Buffered reports whether more of the body has arrived, so that a reader that
// passes it on can wait with flushing.
func (a *Answer) Buffered() bool { return a.conn.r.Buffered() > 0 }

// Whole reports whether the body was read to its end.
func (a *Answer) Whole() bool { return a.whole }

// Close ends the request. The connection is kept if the answer was whole and
// nothing else came with it; else it is closed, which stops the endpoint's work.
func (a *Answer) Close() {
	stopped := a.unhook()
	k := a.conn
	if !stopped || !a.whole || a.last || !a.sent() || k.r.Buffered() > 0 {
		k.close()
		return
	}
	k.keep = keepTime(a.Header)
	if k.keep <= 0 {
		k.close()
		return
	}
	k.client.keep(k)
}

// sent reports whether the request's body is out. An endpoint that answered
// before reading it would take what is still to come for the next request.
func (a *Answer) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepTime returns how long a connection may be idle, from the endpoint's
// Keep-Alive header.
func keepTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(n)*time.Second-keptMargin, time.Minute)
		}
	}
	return keptTime
}
