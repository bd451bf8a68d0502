package strict

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

const (
	// maxInterimBytes bounds the interim responses before an answer. net/http bounds them itself
	// only if nobody looks at them.
	maxInterimBytes = 64 << 10
	// fieldBytes is what a field takes besides its name and value, and a status line at least.
	fieldBytes = 4
)

// Transport is an http.RoundTripper that returns an error in place of a malformed answer. It is
// safe for concurrent use.
type Transport struct{ base *http.Transport }

// New returns a transport that makes its calls with base, which must not be used otherwise.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
		// A dial function turns HTTP/2 off otherwise.
		base.ForceAttemptHTTP2 = true
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interimBytes := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		interimBytes += fieldBytes
		for name, values := range h {
			for _, v := range values {
				interimBytes += len(name) + len(v) + fieldBytes
			}
		}
		if interimBytes > maxInterimBytes {
			return fmt.Errorf("strict: more than %d bytes of interim responses", maxInterimBytes)
		}
		return CheckNames(http.Header(h))
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		// Without a body, the answer's connection is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp, transport: t}
	return resp, nil
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// body is the body of an answer whose trailer is checked at its end.
type body struct {
	io.ReadCloser
	resp      *http.Response
	transport *Transport
}

// Read returns io.EOF only if the trailer is not malformed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := CheckNames(b.resp.Trailer); err != nil {
		b.transport.CloseIdleConnections()
		return n, err
	}
	return n, io.EOF
}
