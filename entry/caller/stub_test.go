package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/ident"
	"lycheepond/core/meter"
	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/store"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/sched"
	"lycheepond/entry/tally"
)

const stubPool = "roster"

// stub is a fake agent whose behaviour the test defines.
type stub struct {
	name string
	ln   net.Listener
	// handle is called by the link's reader.
	handle func(l *wire.Link, m wire.Message)
	load   wire.Load

	mu       sync.Mutex
	link     *wire.Link
	received []wire.Message
}

// idleLoad is the load of an agent without requests.
var idleLoad = wire.Load{InFlightBound: 8, ShedLevel: spec.Tiers - 1}

func newStub(tb testing.TB, name string, handle func(*stub, *wire.Link, wire.Message)) *stub {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &stub{name: name, ln: ln, load: idleLoad}
	s.handle = func(l *wire.Link, m wire.Message) {
		if m.Kind() != wire.KindHeartbeat {
			s.mu.Lock()
			s.received = append(s.received, m)
			s.mu.Unlock()
		}
		handle(s, l, m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.accept(ctx); close(done) }()
	tb.Cleanup(func() { cancel(); ln.Close(); <-done })
	return s
}

func (s *stub) accept(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		wg.Add(1)
		go func() { defer wg.Done(); s.serve(ctx, conn) }()
	}
}

func (s *stub) serve(ctx context.Context, conn net.Conn) {
	peer, err := wire.Handshake(ctx, conn, wire.Hello{Role: wire.RoleAgent, Name: s.name, Zone: "z", Incarnation: 7}, stubKeys())
	if err != nil {
		conn.Close()
		return
	}
	l := wire.New(conn, peer, wire.Config{NewHeartbeat: func() wire.Message { return &wire.Heartbeat{Load: s.load} }})
	s.mu.Lock()
	s.link = l
	s.mu.Unlock()
	l.Run(ctx, func(m wire.Message) { s.handle(l, m) })
}

// cut closes the link to the entry.
func (s *stub) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.Close()
}

// count returns how many messages of a kind were received.
func (s *stub) count(k wire.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.received {
		if m.Kind() == k {
			n++
		}
	}
	return n
}

func stubKeys() wire.Keys { return wire.OneKey([]byte("key")) }

// answerAll claims every offer and answers every grant with parts.
func answerAll(parts ...string) func(*stub, *wire.Link, wire.Message) {
	return func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			sendAnswer(l, m.ID, parts...)
		}
	}
}

func sendAnswer(l *wire.Link, id ident.ID, parts ...string) {
	l.Send(&wire.Head{ID: id, Status: http.StatusOK, Header: []wire.Field{{Name: "Content-Type", Value: "text/event-stream"}}})
	for i, p := range parts {
		l.Send(&wire.Chunk{ID: id, Seq: uint32(i), Data: []byte(p)})
	}
	l.Send(endOf(id, parts...))
}

func endOf(id ident.ID, parts ...string) *wire.End {
	end := &wire.End{ID: id, Chunks: uint32(len(parts)), Complete: true, Load: idleLoad}
	for _, p := range parts {
		end.Bytes += uint64(len(p))
		end.CRC = crc32.Update(end.CRC, crc32.MakeTable(crc32.Castagnoli), []byte(p))
	}
	return end
}

// testEntry is the caller side of an entry with stubs as its agents.
type testEntry struct {
	url   string
	sched *sched.Sched
	set   *agents.Set
}

type entryOptions struct {
	home func(*testEntry, []byte) (sched.Home, error)
	// stopsAfterHead has a planned stop begin once the head of a request has been accepted.
	stopsAfterHead bool
}

func newTestEntry(tb testing.TB, opt entryOptions, stubs ...*stub) *testEntry {
	tb.Helper()
	st := store.New()
	seed(tb, st, stubs)
	ctx, cancel := context.WithCancel(context.Background())
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	f := new(testEntry)
	f.sched = sched.New(ctx, sched.Config{
		Incarnation: 42, Zone: "z", Now: now, Log: zap.NewNop(), EntryCount: func() int { return 1 },
		Pool: func(name string) *agents.Members { return f.set.Pool(name) },
		Home: func(_ string, key []byte) (sched.Home, error) { return opt.home(f, key) },
	})
	f.set = agents.New(agents.Config{
		Self: wire.Hello{Role: wire.RoleEntry, Name: "e", Incarnation: 42}, Keys: stubKeys, Heartbeat: time.Second,
		NewHeartbeat: func() wire.Message { return new(wire.Heartbeat) }, Now: now, Log: zap.NewNop(), Roster: st.Roster,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		},
		Digest: st.Digest,
		Pools:  func() []agents.Pool { return []agents.Pool{{Name: stubPool}, {Name: "app"}} },
		ChooseAgents: func(pool []plat.Instance, _ plat.Roster) []string {
			var out []string
			for _, i := range pool {
				out = append(out, i.Name)
			}
			return out
		},
		Handle: f.sched.Handle, LinkUp: f.sched.LinkUp, LinkDown: f.sched.LinkDown,
	})
	changed, stop := st.Subscribe()
	done := make(chan error, 1)
	go func() { done <- f.set.Run(ctx, changed) }()
	m := meter.New()
	var leaving atomic.Bool
	ready := func() bool {
		leaving.Store(opt.stopsAfterHead)
		return true
	}
	server := httptest.NewServer(New(Config{
		Store: st, NewID: f.sched.NewID, Serve: f.sched.Serve, Now: now, Ready: ready, Leaving: leaving.Load,
		OnResult: tally.New(m, zap.NewNop()).RecordResult, Metrics: m, OnPanic: func() {}, OnUnread: func() {}, Log: zap.NewNop(),
	}))
	f.url = server.URL
	tb.Cleanup(func() { server.Close(); cancel(); <-done; stop() })
	f.awaitPools(tb, len(stubs))
	return f
}

// awaitPools waits until the entry has processed the instance list. On a busy
// machine a test's first request could otherwise arrive before that and be refused
// because no endpoint serves the pool.
func (f *testEntry) awaitPools(tb testing.TB, agents int) {
	tb.Helper()
	for end := time.Now().Add(time.Minute); agents > 0; time.Sleep(time.Millisecond) {
		if m := f.set.Pool(stubPool); m != nil && len(m.Peers)+m.UnlinkedLive > 0 {
			return
		}
		if time.Now().After(end) {
			tb.Fatal("the instance list was not processed")
		}
	}
}

// seed puts a configuration in force, and an instance list with the stubs.
func seed(tb testing.TB, st *store.Store, stubs []*stub) {
	tb.Helper()
	objects := []struct {
		kind, name string
		data       any
	}{
		{spec.KindClass, "top", spec.Class{Name: "top", Tier: 0, Target: spec.Target{Complete: spec.Duration(time.Minute)}}},
		{spec.KindClass, "low", spec.Class{Name: "low", Tier: 3, Target: spec.Target{Complete: spec.Duration(time.Minute)}}},
		{spec.KindCustomer, "league", spec.Customer{Name: "league", Keys: []spec.Key{{SHA256: keyHash, Class: "top"}}}},
		{spec.KindModel, stubPool, spec.Model{Name: stubPool, Endpoints: map[string]string{"pool": "x"}}},
		{spec.KindService, "app", spec.Service{Name: "app", Endpoints: map[string]string{"pool": "x"}}},
	}
	for i, o := range objects {
		data, err := json.Marshal(o.data)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := st.Accept(plat.Event{Object: plat.Object{Kind: o.kind, Name: o.name, Version: int64(i + 1), Data: data}}); err != nil {
			tb.Fatal(err)
		}
	}
	r := plat.Roster{Version: 1}
	for _, s := range stubs {
		r.Instances = append(r.Instances, plat.Instance{
			Name: s.name, Role: plat.RoleEndpoint, Zone: "z", LinkAddr: s.ln.Addr().String(), State: plat.StateLive,
		})
	}
	st.AcceptRoster(r)
}

const (
	stubKey = "secret"
	// keyHash is the SHA-256 of stubKey.
	keyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
)

func (f *testEntry) post(tb testing.TB, path, body string, header ...string) *http.Response {
	tb.Helper()
	req, err := http.NewRequest(http.MethodPost, f.url+path, stringBody(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+stubKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	return res
}

// completion returns the body of a model request.
func completion(stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"who covers the final","max_tokens":4,"stream":%t}`, stubPool, stream)
}
