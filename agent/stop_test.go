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

// An entry's link breaks in the middle of an answer, and the agent begins a planned
// stop. The endpoint ends the answer before the entry has dialled again. The agent
// is the only one that has it, and waits until the entry has got it. A stop that
// waited only for what ran had ended by then: "connect: connection refused".
func TestPlannedStopWaitsForALostEntry(t *testing.T) {
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
	// As long as an entry may take to dial again.
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
	begun := time.Now()
	if err := <-a.end; err != nil || time.Since(begun) > 3*time.Second {
		t.Errorf("the agent ended with %v after %v", err, time.Since(begun))
	}
}
