package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker stands in for a worker of a service. It works on a few requests at once and rejects
// what exceeds its queue.
type worker struct {
	rig  *rig
	id   string
	addr string
	// slots and queue are how many requests it works on, and how many more it holds.
	slots, queue int
	// work does the work of a request that has begun to run and writes its answer. It returns
	// false to have the connection closed.
	work func(w *worker, c *workerConn, r *http.Request) bool
	// reject, if set, decides whether a request is turned away although there is room.
	reject func() bool
	// repeat, if set, decides whether an answer is followed by a second copy of it.
	repeat func() bool
	// bareRejections leaves out the ID of the request in rejections.
	bareRejections bool

	ln net.Listener

	mu       sync.Mutex
	held     int
	conns    map[net.Conn]bool
	freeSlot chan struct{}
	runs     map[string]int
	// repeated counts the second copies that were sent, rejected the rejections.
	repeated, rejected int
}

// workerConn is a connection to a worker, on which it serves one request at a time.
type workerConn struct {
	net.Conn
	r *bufio.Reader
	// extra is a second copy of the last answer. It arrives late, where the next answer is expected.
	extra []byte
}

func newWorker(g *rig, id string, slots, queue int) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{rig: g, id: id, addr: ln.Addr().String(), ln: ln, conns: make(map[net.Conn]bool), slots: slots, queue: queue, freeSlot: make(chan struct{}, slots), runs: make(map[string]int)}
	for range slots {
		w.freeSlot <- struct{}{}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serveConn(&workerConn{Conn: c, r: bufio.NewReader(c)})
		}
	}()
	return w, nil
}

// listing returns what the worker writes in the store.
func (w *worker) listing(service, zone string) map[string]any {
	return map[string]any{"service": service, "addr": w.addr, "zone": zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_left_ms": 0, "seq": 1}
}

// crash closes the listener and all connections, as the end of the process does.
func (w *worker) crash() {
	w.rig.recordf("crash of %s", w.id)
	w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *worker) serveConn(c *workerConn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c.Conn)
	}()
	for {
		r, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !w.serveRequest(c, r) {
			return
		}
	}
}

// serveRequest runs or rejects one request. It returns false if the connection is to be closed.
func (w *worker) serveRequest(c *workerConn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != w.id {
		w.rig.recordf("misdirected %s at %s", id, w.id)
		return w.write(c, answerHead(http.StatusMisdirectedRequest, id, "Instance-Id: "+w.id, "Content-Length: 0"))
	}
	w.mu.Lock()
	isFull := w.held >= w.slots+w.queue
	if isFull || w.reject != nil && w.reject() {
		w.rejected++
		w.mu.Unlock()
		w.rig.recordf("rejected %s at %s", id, w.id)
		if w.bareRejections {
			id = ""
		}
		return w.write(c, answerHead(http.StatusServiceUnavailable, id, "Not-Executed: 1", "Content-Length: 0"))
	}
	w.held++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.held--
		w.mu.Unlock()
	}()
	<-w.freeSlot
	defer func() { w.freeSlot <- struct{}{} }()
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.rig.noteRun(id, w.id)
	w.rig.recordf("runs %s at %s", id, w.id)
	return w.work(w, c, r)
}

// write writes a whole answer after the second copy of the one before it, if there is one.
func (w *worker) write(c *workerConn, answer []byte) bool {
	out := answer
	if c.extra != nil {
		w.rig.recordf("second copy of an answer from %s: %q", w.id, firstLine(c.extra))
		out, c.extra = append(c.extra, answer...), nil
	}
	if w.repeat != nil && w.repeat() {
		w.mu.Lock()
		w.repeated++
		w.mu.Unlock()
		c.extra = bytes.Clone(answer)
	}
	_, err := c.Write(out)
	return err == nil
}

// runCount returns how often a request has begun to run.
func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func firstLine(p []byte) string {
	line, _, _ := bytes.Cut(p, []byte("\r\n"))
	return string(line)
}

// answerHead returns the head of an answer. id may be empty.
func answerHead(status int, id string, lines ...string) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	if id != "" {
		b.WriteString("Attempt-Id: " + id + "\r\n")
	}
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// plainWork returns work that takes d and answers with a small body.
func plainWork(d func() time.Duration) func(*worker, *workerConn, *http.Request) bool {
	return func(w *worker, c *workerConn, r *http.Request) bool {
		time.Sleep(d())
		id := r.Header.Get("Attempt-Id")
		body := fmt.Sprintf("%s ran %s\n", w.id, id)
		head := answerHead(http.StatusOK, id, "Response-Stamp: "+w.id+"."+id, "Content-Type: text/plain", "Content-Length: "+strconv.Itoa(len(body)))
		return w.write(c, append(head, body...))
	}
}
