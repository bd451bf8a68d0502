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

// emptyPlatform has no object and no change.
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

// freePort returns an address that nobody listens on.
func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// half is a kept connection on which the beginning of a second request was sent.
type half struct {
	net.Conn
	r *bufio.Reader
}

func newHalf(t *testing.T, addr string) *half {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	h := &half{Conn: c, r: bufio.NewReader(c)}
	h.send(t, "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
	h.answered(t)
	h.send(t, "GET /healthz HTTP/1.1\r\n")
	return h
}

func (h *half) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(h, text); err != nil {
		t.Fatal(err)
	}
}

// answered reads an answer and returns whether it is the connection's last.
func (h *half) answered(t *testing.T) (last bool) {
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

// deaf returns once nobody listens on addr.
func deaf(t *testing.T, addr string) {
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

// An entry stops, as planned or because one of its duties failed, while the head
// of a request is on its way on a kept connection. The request is answered before
// the entry ends. The standard server calls such a connection idle until it has the
// whole head and closed it, and a failed duty closed all connections at once: "no
// answer: unexpected EOF".
func TestStopAnswersWhatHasBegun(t *testing.T) {
	failure := errors.New("a duty failed")
	for _, tc := range []struct {
		name string
		// begin begins the stop.
		begin func(stop context.CancelFunc, fail chan<- error)
		want  error
	}{
		{"planned", func(stop context.CancelFunc, _ chan<- error) { stop() }, nil},
		{"failed duty", func(_ context.CancelFunc, fail chan<- error) { fail <- failure }, failure},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := &conf.Entry{Listen: freePort(t), RequestMemory: 1, Grace: spec.Duration(4 * time.Second)}
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
			h := newHalf(t, cfg.Listen)
			tc.begin(stop, fail)
			deaf(t, cfg.Listen)
			h.send(t, "Host: entry\r\n\r\n")
			if !h.answered(t) {
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
