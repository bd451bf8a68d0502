package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lycheepond/core/conf"
	"lycheepond/core/spec"
)

// emptyPlatform starts a platform without objects or changes and returns its URL.
func emptyPlatform(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") > "0" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"version":1}`)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// freePort returns an address at which no process listens.
func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// halfRequest is a keep-alive connection over which the beginning of a second
// request was sent.
type halfRequest struct {
	net.Conn
	r *bufio.Reader
}

func newHalfRequest(t *testing.T, addr string) *halfRequest {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	h := &halfRequest{Conn: c, r: bufio.NewReader(c)}
	h.send(t, "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
	h.readAnswer(t)
	h.send(t, "GET /healthz HTTP/1.1\r\n")
	return h
}

func (h *halfRequest) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(h, text); err != nil {
		t.Fatal(err)
	}
}

// readAnswer reads an answer and reports whether it is the connection's last.
func (h *halfRequest) readAnswer(t *testing.T) (last bool) {
	t.Helper()
	h.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(h.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", res.StatusCode, err)
	}
	return res.Close
}

// awaitClosed returns once no process listens at addr.
func awaitClosed(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		c.Close()
	}
	t.Fatal("the entry still listens")
}

// An entry stops, as planned or because one of its parts failed, while the head of
// a request is still arriving on a keep-alive connection. The request must be
// answered before the entry ends. net/http counts such a connection as idle until it
// has read the whole head. It used to close the connection, and a failed part closed
// all connections at once. The caller got no answer (unexpected EOF).
func TestStopAnswersRequestsInProgress(t *testing.T) {
	failure := errors.New("a part failed")
	for _, tc := range []struct {
		name string
		// begin begins the stop.
		begin func(stop context.CancelFunc, fail chan<- error)
		want  error
	}{
		{"planned", func(stop context.CancelFunc, _ chan<- error) { stop() }, nil},
		{"failed part", func(_ context.CancelFunc, fail chan<- error) { fail <- failure }, failure},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := &conf.Entry{Listen: freePort(t), RequestMemoryMiB: 1, Grace: spec.Duration(4 * time.Second)}
			cfg.Name, cfg.Zone, cfg.Platform.Address, cfg.Log.Level = "entry-1", "z", emptyPlatform(t), "error"
			n := newNode(cfg, "")
			work, end := context.WithCancel(t.Context())
			n.build(work)
			p := newParts()
			p.start(func() error { return n.feed.Run(work) })
			fail := make(chan error, 1)
			p.start(func() error {
				select {
				case err := <-fail:
					return err
				case <-work.Done():
					return nil
				}
			})
			ctx, stop := context.WithCancel(work)
			served := make(chan error, 1)
			go func() { served <- n.serve(ctx, p) }()
			for !n.ready.Load() {
				time.Sleep(time.Millisecond)
			}
			h := newHalfRequest(t, cfg.Listen)
			tc.begin(stop, fail)
			awaitClosed(t, cfg.Listen)
			h.send(t, "Host: entry\r\n\r\n")
			if !h.readAnswer(t) {
				t.Error("the caller was not told that the connection ends")
			}
			if err := <-served; !errors.Is(err, tc.want) {
				t.Errorf("the entry ended with %v, want %v", err, tc.want)
			}
			stop()
			end()
			p.wait()
			n.sched.Wait()
		})
	}
}
