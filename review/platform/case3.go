package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["3"] = playSlowHeadAtStop }

// Times of case 3, from the SIGTERM.
const (
	// grace is bounds.grace_s. The rule excuses requests that were sent no later than sentBound.
	grace     = 8 * time.Second
	sentBound = 3 * time.Second
	// headBegins and headEnds are when the first and the last byte of a request's head are sent. The
	// difference is less than limits.header_timeout_ms, which is 3 s.
	headBegins = 2300 * time.Millisecond
	headEnds   = 5 * time.Second
	// streamTime is how long a worker works on one of these streams, less than half of the route's
	// timeout.
	streamTime = 5 * time.Second
	// rounds is how often an entry is stopped, and slowClients how many requests each meets.
	rounds      = 3
	slowClients = 5
)

// playSlowHeadAtStop stops an entry with SIGTERM, in turn, while clients on kept connections are
// sending a request whose head takes 2.7 s.
func playSlowHeadAtStop(g *rig) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	s.put("config", "main", siteConfig(7))
	for i := range 3 {
		w, err := newWorker(g, fmt.Sprintf("i-51e0aa0%d", i), 9, 54)
		if err != nil {
			return verdict{}, err
		}
		w.work = slowStreamWork
		s.put("servers", w.id, w.listing(llmService, fmt.Sprintf("hall-%c", 'a'+i)))
	}
	entries, err := newEntries(g, s.url, 2)
	if err != nil {
		return verdict{}, err
	}
	if err := startAll(entries); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	var lost, sent, complete, refused atomic.Int64
	for round := range rounds {
		e := entries[round%len(entries)]
		var clients sync.WaitGroup
		begin := make(chan time.Time)
		for range slowClients {
			c := &client{rig: g, addr: e.front}
			// The connection has served a request before.
			if first := c.do(http.MethodGet, "/none/2f", newID(), 3*time.Second, nil); first.err != nil || c.conn == nil {
				return verdict{}, fmt.Errorf("no kept connection: %+v", first)
			}
			clients.Go(func() {
				defer c.disconnect()
				got, id := sendSlowly(c, <-begin)
				sent.Add(1)
				switch {
				case got.err != nil && g.ranAt(id) != "":
					lost.Add(1)
					g.recordf("LOST %s: status %d, %d bytes, %v", id, got.status, len(got.body), got.err)
				case got.status == http.StatusServiceUnavailable:
					refused.Add(1)
				case got.err == nil && got.status == http.StatusOK:
					complete.Add(1)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		if g.trouble {
			if err := e.signal(syscall.SIGTERM); err != nil {
				return verdict{}, err
			}
		}
		stopped := time.Now()
		for range slowClients {
			begin <- stopped
		}
		if g.trouble {
			e.endGrace(stopped.Add(grace))
		}
		clients.Wait()
		if g.trouble {
			if err := startAll([]*entry{e}); err != nil {
				return verdict{}, err
			}
		}
	}
	return verdict{lost.Load() > 0, fmt.Sprintf("%d requests, the last byte of each sent %v after a SIGTERM, whose bound is %v: %d were complete, %d were refused as not run, %d were passed to a worker and cut (LOST)",
		sent.Load(), headEnds, sentBound, complete.Load(), refused.Load(), lost.Load())}, nil
}

// sendSlowly sends a request on a kept connection and reads its answer. The head is sent in two
// parts.
func sendSlowly(c *client, stopped time.Time) (reply, string) {
	id := newID()
	const deadline = 12 * time.Second
	body := []byte("explain")
	h := append(head(http.MethodPost, "/explain/2f", id, deadline, len(body), "Token-Count: 628,240"), body...)
	time.Sleep(time.Until(stopped.Add(headBegins)))
	c.rig.recordf("first byte of %s to %s", id, c.addr)
	if _, err := c.conn.Write(h[:60]); err != nil {
		return reply{err: err}, id
	}
	time.Sleep(time.Until(stopped.Add(headEnds)))
	if _, err := c.conn.Write(h[60:]); err != nil {
		return c.note(id, reply{err: err}), id
	}
	c.rig.recordf("last byte of %s", id)
	return c.read(http.MethodPost, id, deadline), id
}

// slowStreamWork answers with a stream that takes streamTime.
func slowStreamWork(w *worker, c *workerConn, r *http.Request) bool {
	const events = 50
	id := r.Header.Get("Attempt-Id")
	out := answerHead(http.StatusOK, id, "Response-Stamp: "+w.id+"."+id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	for i := 1; i <= events; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, id, i, events)
		out = append(out, fmt.Sprintf("%x\r\n%s\r\n", len(e), e)...)
		if _, err := c.Write(out); err != nil {
			w.rig.recordf("connection of %s closed at %s after %d pieces", id, w.id, i)
			return false
		}
		out = out[:0]
		time.Sleep(streamTime / events)
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}
