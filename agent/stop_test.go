package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"lycheepond/core/conf"
	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// An entry loses its link in the middle of an answer, the agent begins a planned
// stop, and the endpoint ends the answer before the entry has dialled again. Only
// the agent has the answer, so it must wait until the entry has fetched it. A stop
// that waited only for running requests ended too early, and the entry saw
// "connect: connection refused".
func TestPlannedStopWaitsForDisconnectedEntry(t *testing.T) {
	proceed, ended := make(chan struct{}), make(chan struct{})
	a := startAgent(t, conf.EndpointService, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			http.NotFound(w, r)
			return
		}
		defer close(ended)
		fmt.Fprint(w, "first ")
		w.(http.Flusher).Flush()
		<-proceed
		fmt.Fprint(w, "last")
	})
	link, got, err := dial(t, a, fleetKey)
	if err != nil {
		t.Fatal(err)
	}
	id := ident.Make(5, 1)
	send(t, link, &wire.Offer{ID: id, Pool: "app", DeadlineMS: 30000})
	await[*wire.Claim](t, got)
	send(t, link, &wire.Grant{ID: id, Method: http.MethodGet, Path: "/"})
	await[*wire.Chunk](t, got)
	for len(a.node.owner.Status().Entries) == 0 {
		time.Sleep(time.Millisecond)
	}
	link.Close()
	for len(a.node.owner.Status().Entries) > 0 {
		time.Sleep(time.Millisecond)
	}
	a.stop()
	close(proceed)
	<-ended
	// An entry may take this long to dial again.
	time.Sleep(500 * time.Millisecond)
	if link, got, err = dial(t, a, fleetKey); err != nil {
		t.Fatal(err)
	}
	await[*wire.Heartbeat](t, got)
	send(t, link, &wire.Attach{ID: id, NextSeq: 1, AgentIncarnation: link.Peer().Incarnation})
	if c := await[*wire.Chunk](t, got); string(c.Data) != "last" {
		t.Fatalf("chunk %q", c.Data)
	}
	if e := await[*wire.End](t, got); !e.Complete {
		t.Fatalf("end %+v", e)
	}
	start := time.Now()
	if err := <-a.ended; err != nil || time.Since(start) > 3*time.Second {
		t.Errorf("the agent ended with %v after %v", err, time.Since(start))
	}
}
