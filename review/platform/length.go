package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["other"] = playStreamsWithLength }

const (
	// truncatedShare is the share of the faulty worker's answers that break off: the usual dose of
	// garble.
	truncatedShare = 0.02
	// lengthTime is how long clients send.
	lengthTime = 60 * time.Second
	// maxPieces bounds the events of a stream.
	maxPieces = 8
)

// playStreamsWithLength sends requests for short streams that may be resumed. The workers state the
// length of a stream, and each run of a request has its own number of events, of one size. One of
// three workers breaks off a few of its answers.
func playStreamsWithLength(g *rig) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	s.put("config", "main", siteConfig(7))
	breaksOff := func() bool { return g.trouble && rand.Float64() < truncatedShare }
	for i := range 3 {
		w, err := newWorker(g, fmt.Sprintf("i-51e0aa0%d", i), 9, 54)
		if err != nil {
			return verdict{}, err
		}
		w.work = streamWithLength(func() bool { return i == 0 && breaksOff() })
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
	var (
		mu                            sync.Mutex
		sent, whole, detected, broken int
		all                           sync.WaitGroup
	)
	end := time.Now().Add(lengthTime)
	for i := range 20 {
		all.Go(func() {
			c := &client{rig: g, addr: entries[i%len(entries)].front}
			defer c.disconnect()
			for time.Now().Before(end) {
				id := newID()
				got := c.do(http.MethodPost, "/draft/2f", id, 3*time.Second, []byte("tag"), "Token-Count: 1800,48")
				mu.Lock()
				sent++
				switch {
				case got.status != http.StatusOK:
				case got.err != nil:
					detected++
				case !strings.HasSuffix(string(got.body), " last\n\n"):
					broken++
					g.recordf("ORDER %s looks complete, Content-Length %s, %d bytes: %q", id, got.header.Get("Content-Length"), len(got.body), got.body)
				default:
					whole++
				}
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	return verdict{broken > 0, fmt.Sprintf("%d requests, %d whole streams, %d that the client saw break off, %d that ended as complete before the last piece of their run (ORDER)", sent, whole, detected, broken)}, nil
}

// streamWithLength answers with a stream of a stated length. It goes on after the event that the
// request names. The last event of a run says so.
func streamWithLength(breaksOff func() bool) func(*worker, *workerConn, *http.Request) bool {
	return func(w *worker, c *workerConn, r *http.Request) bool {
		id := r.Header.Get("Attempt-Id")
		seen, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		n := min(seen+1+rand.IntN(maxPieces/2), maxPieces)
		var events []string
		for i := seen + 1; i <= n; i++ {
			mark := "more"
			if i == n {
				mark = "last"
			}
			events = append(events, fmt.Sprintf("id: %d\ndata: six tokens of text %s\n\n", i, mark))
		}
		length := len(strings.Join(events, ""))
		time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
		out := answerHead(http.StatusOK, id, "Response-Stamp: "+w.id+"."+id, "Content-Type: text/event-stream", "Content-Length: "+strconv.Itoa(length))
		last := len(events)
		if breaksOff() {
			last = rand.IntN(len(events))
			w.rig.recordf("breaks off the answer to %s at %s after %d of %d pieces, length %d", id, w.id, last, len(events), length)
		}
		for _, e := range events[:last] {
			out = append(out, e...)
			if _, err := c.Write(out); err != nil {
				return false
			}
			out = out[:0]
			time.Sleep(10 * time.Millisecond)
		}
		if last == len(events) {
			return true
		}
		c.Write(append(out, events[last][:len(events[last])/2]...))
		return false
	}
}
