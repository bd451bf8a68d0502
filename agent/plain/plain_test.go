package plain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/ident"
	"lycheepond/core/sample"
	"lycheepond/core/wire"
)

// startResettingService starts a service that answers each request with text, reads 0 to 128 KiB of
// its body, and resets the connection after 0 to 30 ms.
func startResettingService(t *testing.T, text string) *Service {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.WriteString(c, text)
				io.CopyN(io.Discard, r.Body, int64(i%3)*(64<<10))
				time.Sleep([]time.Duration{0, 2, 30}[i/3%3] * time.Millisecond)
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	return New("http://"+ln.Addr().String(), call.NewClient())
}

// run sends a request with a body of n bytes and returns the result with the answer's status and body.
func run(s *Service, n int) (res call.Result, status int, body string) {
	r := &call.Request{ID: ident.Make(1, 1), Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", n))}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res = s.Run(ctx, r, call.Sink{
		Head: func(st int, _ []wire.Field) { status = st },
		Chunk: func(_ context.Context, data []byte) error {
			body += string(data)
			return nil
		},
	}, call.NewProgress())
	return res, status, body
}

// Guards against the part of an answer without a length that counts as complete, after the service
// has reset the connection during the upload of the request.
func TestResetDuringUploadBreaksAnswer(t *testing.T) {
	const requests = 100
	for name, text := range map[string]string{
		"text": "HTTP/1.1 200 OK\r\n\r\na part", "no body": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\na part",
	} {
		t.Run(name, func(t *testing.T) {
			s, complete := startResettingService(t, text), 0
			for i := range requests {
				if res, _, _ := run(s, []int{256, 900}[i%2]<<10); res.Complete {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d broken answers are complete", complete, requests)
			}
		})
	}
}

// Guards against answers that are passed on although HTTP/1 doesn't allow them.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for _, answer := range append(sample.Malformed("", "hi"), sample.Answer{
		Name: "too many interim responses", Text: strings.Repeat("HTTP/1.1 103 x\r\nA: b\r\n\r\n", 10000) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	}) {
		t.Run(answer.Name, func(t *testing.T) {
			if res, status, body := run(New(sample.Serve(t, answer.Text), call.NewClient()), 1); res.Complete || !res.Sent {
				t.Errorf("sent %v, complete %v, status %d, %q", res.Sent, res.Complete, status, body)
			}
		})
	}
}

// Guards against rejecting answers that are unusual but allowed.
func TestUnusualAnswerIsAnswer(t *testing.T) {
	for _, answer := range sample.Unusual("", "hi") {
		t.Run(answer.Name, func(t *testing.T) {
			if res, status, body := run(New(sample.Serve(t, answer.Text), call.NewClient()), 1); !res.Complete || body != "hi" {
				t.Errorf("status %d, %q, %v", status, body, res.Err)
			}
		})
	}
}
