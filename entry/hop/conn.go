package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lycheepond/core/strict"
)

const (
	// maxInlineBodyBytes is the size of the largest body that is written before the answer is
	// read. It fits the smallest send buffer; writing a larger body could block for as long as
	// the endpoint answers without reading.
	maxInlineBodyBytes = 8 << 10
	// maxForeignAnswers is how many answers to other requests are skipped before the
	// connection is closed.
	maxForeignAnswers = 4
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer together with the interim responses before it,
	// as the head of a caller's request is bounded.
	maxHeadBytes = 64 << 10
	// maxDiscardBytes and maxDiscardTime bound what is read of a body that nobody wants, so that
	// its connection can be kept. A new connection costs less than reading more.
	maxDiscardBytes = 256 << 10
	maxDiscardTime  = 20 * time.Millisecond
)

// errLongHead reports that an answer has no head, or one that is too long.
var errLongHead = fmt.Errorf("hop: no head of an answer in the first %d bytes", maxHeadBytes)

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	client *Client
	addr   string
	net    net.Conn
	r      *bufio.Reader
	// readsHead is set while the head of an answer is being read, of which headBytesLeft bytes
	// may still arrive.
	readsHead     bool
	headBytesLeft int
	// head10 holds what has arrived of a head of HTTP/1.0 while it is being read, nil otherwise.
	head10 []byte
	// idleSince is when the last answer ended, idleTimeout how long the connection may be idle
	// after that.
	idleSince   time.Time
	idleTimeout time.Duration
	// carried holds the hashes of the IDs of all requests that were written to the connection.
	carried []uint64
	// mayRepeat is set once an answer has arrived that did not name the request in progress. A
	// repetition of it could not be recognised, so the connection carries no other request.
	mayRepeat bool
}

func newConn(c *Client, addr string, nc net.Conn) *conn {
	k := &conn{client: c, addr: addr, net: nc, idleTimeout: defaultIdleTimeout}
	k.r = bufio.NewReaderSize(k, readBufferBytes)
	return k
}

// Read reads from the endpoint, and no more of a head than is allowed. It fills the buffer r;
// everything else is read from that.
func (k *conn) Read(p []byte) (int, error) {
	if !k.readsHead {
		return k.net.Read(p)
	}
	if k.headBytesLeft <= 0 {
		return 0, errLongHead
	}
	n, err := k.net.Read(p[:min(len(p), k.headBytesLeft)])
	k.headBytesLeft -= n
	if k.head10 != nil {
		k.head10 = append(k.head10, p[:n]...)
	}
	return n, err
}

func (k *conn) close() {
	k.net.Close()
	k.client.releaseConn(k.addr)
}

// isQuiet reports whether an idle connection is open and nothing has arrived on it. Bytes that
// arrive without a request are not an answer, and a request sent on a connection that the
// endpoint has closed would be lost.
func (k *conn) isQuiet() bool {
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
	stopCancel := context.AfterFunc(ctx, func() { k.net.SetDeadline(time.Unix(1, 0)) })
	head := r.encodeHead()
	isInline := len(r.Body) <= maxInlineBodyBytes
	if isInline {
		head = append(head, r.Body...)
	}
	if n, err := k.net.Write(head); err != nil {
		stopCancel()
		if n == 0 {
			return nil, errors.Join(ErrNotSent, cancelCause(ctx, err))
		}
		return nil, errors.Join(ErrUnknown, cancelCause(ctx, err))
	}
	body := &upload{done: make(chan struct{})}
	if isInline {
		close(body.done)
	} else {
		go func() {
			_, body.err = k.net.Write(r.Body)
			close(body.done)
		}()
	}
	resp, err := k.readAnswer(r)
	if err != nil {
		stopCancel()
		return nil, errors.Join(ErrUnknown, cancelCause(ctx, err))
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp),
		conn: k, resp: resp, upload: body, stopCancel: stopCancel,
		replaceErr: func(err error) error { return cancelCause(ctx, err) },
	}, nil
}

// upload is the body of a request that is written while its answer is read. done is closed at its
// end, after err has been set.
type upload struct {
	done chan struct{}
	err  error
}

// isComplete reports whether the body has been written. An endpoint that answered before reading
// it would take the rest of it for the next request.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// cancelCause returns the cause of ctx if the end of ctx made an exchange fail with err, and
// otherwise err. Cancelled reads and dials fail like timeouts; without the cause they would
// look like failures of the endpoint.
func cancelCause(ctx context.Context, err error) error {
	var netErr net.Error
	if ctx.Err() != nil && errors.As(err, &netErr) && (netErr.Timeout() || errors.Is(err, context.Canceled)) {
		return context.Cause(ctx)
	}
	return err
}

var errForeignAnswer = errors.New("hop: answer to another request")

// errLongForeignAnswer reports that the answer to another request was too long to be skipped.
var errLongForeignAnswer = fmt.Errorf("%w longer than %d bytes", errForeignAnswer, maxDiscardBytes)

// readAnswer reads answers until one belongs to r. An endpoint may repeat the answer to an
// earlier request, early or late, where the answer to r is expected.
func (k *conn) readAnswer(r *Request) (*http.Response, error) {
	k.headBytesLeft = maxHeadBytes
	for skipped := 0; skipped < maxForeignAnswers; {
		resp, err := k.readHead(r)
		if err != nil && k.headBytesLeft <= 0 {
			// The parser reports the cut line instead.
			return nil, errLongHead
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			// An interim response does not count as an answer to another request.
			continue
		}
		match := r.MatchAnswer(resp.StatusCode, resp.Header)
		k.mayRepeat = k.mayRepeat || match != Named
		if match != Foreign {
			return resp, nil
		}
		if resp.Close {
			return nil, errForeignAnswer
		}
		if err := skipBody(resp); err != nil {
			return nil, err
		}
		k.headBytesLeft = maxHeadBytes
		skipped++
	}
	return nil, errors.New("hop: too many answers to other requests")
}

// readHead reads one head, of an answer or of an interim response.
func (k *conn) readHead(r *Request) (*http.Response, error) {
	k.readsHead = true
	defer func() { k.readsHead, k.head10 = false, nil }()
	version, err := k.r.Peek(len("HTTP/1.0"))
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if string(version) == "HTTP/1.0" {
		buffered, _ := k.r.Peek(k.r.Buffered())
		k.head10 = slices.Clone(buffered)
	}
	resp, err := http.ReadResponse(k.r, &http.Request{Method: r.Method})
	if err != nil {
		return nil, err
	}
	return resp, errors.Join(strict.CheckHead(resp), strict.CheckEncoding(k.head10))
}

// skipBody reads the body of an answer to another request.
func skipBody(resp *http.Response) error {
	if resp.ContentLength > maxDiscardBytes {
		return errLongForeignAnswer
	}
	switch _, err := io.CopyN(io.Discard, resp.Body, maxDiscardBytes+1); err {
	case io.EOF:
		return strict.CheckNames(resp.Trailer)
	case nil:
		return errLongForeignAnswer
	default:
		return errors.Join(errForeignAnswer, err)
	}
}

// encodeHead returns the head of r in wire format.
func (r *Request) encodeHead() []byte {
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

// Framing says how the end of an answer's body is marked.
type Framing uint8

// The framings of a body.
const (
	ByLength Framing = iota
	ByChunks
	// ByConnection means that the body ends with its connection. An endpoint that fails may end
	// the connection in the same way, so such a body is not known to be complete.
	ByConnection
)

var framingNames = [...]string{"length", "chunks", "connection"}

// String returns the framing as logs spell it.
func (f Framing) String() string { return framingNames[f] }

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	case resp.ContentLength < 0:
		return ByConnection
	}
	return ByLength
}

// Answer is the answer of an endpoint. Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if it is not known.
	Length  int64
	Framing Framing

	conn *conn
	// resp has the trailer once its body has been read.
	resp *http.Response
	// isComplete is set once the body has been read to its proper end.
	isComplete bool
	upload     *upload
	stopCancel func() bool
	// replaceErr returns the cause of the request's context in place of an error of the
	// connection if that context has ended.
	replaceErr func(error) error
}

// Read reads the body. It returns io.EOF only at the proper end of a complete body, and the
// cause of the request's context if that has ended.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		err = a.checkEnd()
	}
	if err == io.EOF {
		a.isComplete = true
		return n, err
	}
	return n, a.replaceErr(err)
}

// checkEnd returns io.EOF if the body has come to its proper end, and otherwise an error. The kernel
// reports a reset connection only once. If the upload got that error, reads get io.EOF, which is
// the only mark of the end of a body without a length or chunks.
func (a *Answer) checkEnd() error {
	if err := strict.CheckNames(a.resp.Trailer); err != nil {
		return err
	}
	if a.Framing != ByConnection {
		return io.EOF
	}
	<-a.upload.done
	if a.upload.err != nil {
		return fmt.Errorf("hop: the connection ended before the request was written: %w", a.upload.err)
	}
	return io.EOF
}

// Buffered reports whether more of the body has already arrived, so that a reader that
// forwards it can delay flushing.
func (a *Answer) Buffered() bool { return a.conn.r.Buffered() > 0 }

// Complete reports whether the body has been read to its end.
func (a *Answer) Complete() bool { return a.isComplete }

// Close ends the request. The connection is kept if the answer was complete and named the
// request, and nothing else has arrived after it. Otherwise it is closed, which makes the
// endpoint stop its work.
func (a *Answer) Close() {
	stopped := a.stopCancel()
	k := a.conn
	if !stopped || !a.isComplete || a.resp.Close || !a.upload.isComplete() || k.r.Buffered() > 0 || k.mayRepeat || len(k.carried) >= maxRequestsPerConn {
		k.close()
		return
	}
	k.idleTimeout = keepAliveTimeout(a.Header)
	if k.idleTimeout <= 0 {
		k.close()
		return
	}
	k.client.returnIdle(k)
}

// Discard closes an answer whose body nobody wants. The connection is kept if the rest of the body
// is short and arrives at once, so that the end of the request is not delayed.
func (a *Answer) Discard() {
	defer a.Close()
	if a.Framing == ByConnection || a.Length > maxDiscardBytes {
		return
	}
	a.conn.net.SetReadDeadline(time.Now().Add(maxDiscardTime))
	// If the request has been cancelled, Close closes the connection, whatever its deadline.
	defer a.conn.net.SetReadDeadline(time.Time{})
	io.CopyN(io.Discard, a, maxDiscardBytes+1)
}

// keepAliveTimeout returns how long a connection may be idle, according to the endpoint's
// Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(n)*time.Second-idleTimeoutMargin, time.Minute)
		}
	}
	return defaultIdleTimeout
}
