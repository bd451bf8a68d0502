package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker of one service. It serves one request at a time on a connection
// and drops a request when its connection closes.
type worker struct {
	id, service, zone, addr string
	slots                   chan struct{}
	// serve answers a request that runs. It is called with a free slot.
	serve func(ctx context.Context, w *worker, c net.Conn, r *http.Request)
	// onArrival is called when a request has arrived and will run.
	onArrival func(w *worker, r *http.Request)

	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startWorker(id, service, zone string, slots int) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &worker{id: id, service: service, zone: zone, addr: ln.Addr().String(), slots: make(chan struct{}, slots), ln: ln, conns: make(map[net.Conn]bool)}, nil
}

// run accepts connections until close is called.
func (w *worker) run() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serveConn(c)
	}
}

func (w *worker) close() {
	w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

// spec returns the worker's entry in the store.
func (w *worker) spec() map[string]any {
	return map[string]any{"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": cap(w.slots), "state": "ready", "cold_left_ms": 0, "seq": 1}
}

func (w *worker) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.serveRequest(c, in, r) {
			return
		}
	}
}

// serveRequest serves one request and reports whether the connection can be kept.
func (w *worker) serveRequest(c net.Conn, in *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != w.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer stop()
	}
	// Callers send the next request only after the answer, so the first byte or the end of the
	// connection before that means that the caller has left.
	left := make(chan struct{})
	go func() {
		defer close(left)
		if _, err := in.Peek(1); err != nil {
			cancel()
		}
	}()
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return false
	}
	w.onArrival(w, r)
	w.serve(ctx, w, c, r)
	<-w.slots
	if ctx.Err() != nil {
		return false
	}
	<-left
	return true
}

// answerHead returns the head of an answer without its framing.
func (w *worker) answerHead(status int, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\nServer-Load: %d,0,%d\r\n", status, http.StatusText(status), r.Header.Get("Attempt-Id"), w.id, len(w.slots), cap(w.slots))
}

// tokenCounts returns the prompt tokens and the output tokens that a request states.
func tokenCounts(h http.Header) (prompt, output int) {
	a, b, _ := strings.Cut(h.Get("Token-Count"), ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(a))
	output, _ = strconv.Atoi(strings.TrimSpace(b))
	return prompt, output
}
