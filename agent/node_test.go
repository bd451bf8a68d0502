package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lycheepond/core/conf"
	"lycheepond/core/ident"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const fleetKey = "0123456789abcdef"

// testAgent is an agent in the test process. The test serves its endpoint.
type testAgent struct {
	linkAddr string
	stop     context.CancelFunc
	ended    chan error
	node     *node
}

func startAgent(t testing.TB, kind string, h http.HandlerFunc) *testAgent {
	t.Helper()
	endpoint := httptest.NewServer(h)
	t.Cleanup(endpoint.Close)
	cfg := &conf.Agent{
		Common:     conf.Common{Name: "a", Zone: "z", FleetKey: fleetKey, Log: conf.Log{Level: "error"}},
		LinkListen: "127.0.0.1:0",
		Endpoint:   conf.Endpoint{Address: endpoint.URL, Kind: kind},
		Admin:      conf.Admin{Listen: "127.0.0.1:0", Token: "token"},
		Grace:      spec.Duration(10 * time.Second), Heartbeat: spec.Duration(time.Second),
	}
	n, err := newNode(cfg, "none")
	if err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	n.stdout = w
	ctx, stop := context.WithCancel(context.Background())
	a := &testAgent{stop: stop, ended: make(chan error, 1), node: n}
	go func() { a.ended <- n.run(ctx) }()
	t.Cleanup(stop)
	var line readyLine
	if err := json.NewDecoder(r).Decode(&line); err != nil || line.Ready != "a" {
		t.Fatalf("ready line %+v: %v", line, err)
	}
	a.linkAddr = line.Listen
	return a
}

// dial opens a link as an entry and returns a channel with the agent's messages.
func dial(t testing.TB, a *testAgent, key string) (*wire.Link, <-chan wire.Message, error) {
	t.Helper()
	conn, err := net.Dial("tcp", a.linkAddr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(stop)
	hello, err := wire.Handshake(ctx, conn, wire.Hello{Role: wire.RoleEntry, Name: "e", Incarnation: 5}, wire.OneKey([]byte(key)))
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	link := wire.New(conn, hello, wire.Config{})
	messages := make(chan wire.Message, 1024)
	ended := make(chan error, 1)
	go func() {
		ended <- link.Run(ctx, func(m wire.Message) { messages <- m })
		close(messages)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return link, messages, nil
}

func await[M wire.Message](t testing.TB, messages <-chan wire.Message) M {
	t.Helper()
	for m := range messages {
		if want, ok := m.(M); ok {
			return want
		}
	}
	var none M
	t.Fatalf("the link ended before a %s arrived", none.Kind())
	return none
}

func send(t testing.TB, l *wire.Link, m wire.Message) {
	t.Helper()
	if err := l.Send(m); err != nil {
		t.Fatal(err)
	}
}

// A request to a plain service must arrive there unchanged, and a peer without the
// fleet key must be refused.
func TestServiceCallOverLink(t *testing.T) {
	a := startAgent(t, conf.EndpointService, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "1")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	})
	link, got, err := dial(t, a, fleetKey)
	if err != nil {
		t.Fatal(err)
	}
	id := ident.Make(5, 1)
	send(t, link, &wire.Offer{ID: id, Pool: "app", DeadlineMS: 30000})
	await[*wire.Claim](t, got)
	send(t, link, &wire.Grant{ID: id, Method: http.MethodPut, Path: "/swaps/7?x=1", Body: []byte("yes")})
	h := await[*wire.Head](t, got)
	if h.Status != http.StatusCreated {
		t.Fatalf("head %+v", h)
	}
	if c := await[*wire.Chunk](t, got); string(c.Data) != "PUT /swaps/7?x=1 yes" {
		t.Fatalf("chunk %q", c.Data)
	}
	if e := await[*wire.End](t, got); !e.Complete {
		t.Fatalf("end %+v", e)
	}
	if _, _, err := dial(t, a, "another fleet's key"); err == nil {
		t.Fatal("a peer without the fleet key was accepted")
	}
}

// A planned stop begins in the middle of an answer. The agent must refuse new
// offers, wait for the answer, and deliver its last byte before the process ends.
func TestPlannedStopDeliversWholeAnswer(t *testing.T) {
	proceed := make(chan struct{})
	a := startAgent(t, conf.EndpointService, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			http.NotFound(w, r)
			return
		}
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
	a.stop()
	for !await[*wire.Heartbeat](t, got).Load.Leaving {
		continue
	}
	send(t, link, &wire.Offer{ID: ident.Make(5, 2), Pool: "app"})
	if r := await[*wire.Return](t, got); r.Reason != wire.ReasonLeaving {
		t.Fatalf("return %+v", r)
	}
	close(proceed)
	if c := await[*wire.Chunk](t, got); string(c.Data) != "last" {
		t.Fatalf("chunk %q", c.Data)
	}
	if e := await[*wire.End](t, got); !e.Complete || e.Bytes != uint64(len("first last")) {
		t.Fatalf("end %+v", e)
	}
	if err := <-a.ended; err != nil {
		t.Fatal(err)
	}
}

// A second agent is started for an endpoint whose first agent may only be paused.
// It must not start: both would send orders to the same engine.
func TestSecondAgentDoesNotStart(t *testing.T) {
	a := startAgent(t, conf.EndpointService, http.NotFound)
	cfg := &conf.Agent{Common: conf.Common{Name: "b", FleetKey: fleetKey}, LinkListen: a.linkAddr, Endpoint: conf.Endpoint{Address: "http://127.0.0.1:1"}}
	n, err := newNode(cfg, "none")
	if err != nil {
		t.Fatal(err)
	}
	if err := n.run(context.Background()); err == nil {
		t.Fatal("a second agent started")
	}
}
