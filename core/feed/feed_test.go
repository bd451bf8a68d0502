package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lycheepond/core/meter"
	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/store"
	"lycheepond/core/wire"
)

// platform is a simulated platform with an object API for classes.
type platform struct {
	mu     sync.Mutex
	events []plat.Event
	// compacted is the version up to which the changes are dropped.
	compacted   int64
	unavailable bool
	// changed is closed and replaced with every change.
	changed chan struct{}
}

func newPlatform() *platform { return &platform{changed: make(chan struct{})} }

func (p *platform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) put(name string) {
	p.update(func() { p.events = append(p.events, class(name, int64(len(p.events)+1))) })
}

func class(name string, version int64) plat.Event {
	data := fmt.Sprintf(`{"name":%q,"tier":0,"target":{}}`, name)
	return plat.Event{Object: plat.Object{Kind: spec.KindClass, Name: name, Version: version, Data: []byte(data)}}
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	watch := strings.HasPrefix(r.URL.Path, "/v1/watch/")
	waits := watch || r.URL.Path == "/v1/instances"
	for waits && !p.unavailable && after >= int64(len(p.events)) && r.Context().Err() == nil {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		p.mu.Lock()
	}
	b := plat.Batch{Version: int64(len(p.events))}
	switch {
	case p.unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case watch && after < p.compacted:
		w.WriteHeader(http.StatusGone)
		return
	case watch:
		b.Events = p.events[min(after, b.Version):]
	case r.URL.Path == "/v1/objects/class":
		b.Events = newest(p.events)
	}
	_ = json.NewEncoder(w).Encode(b)
}

// newest returns the last event of each object.
func newest(events []plat.Event) []plat.Event {
	var out []plat.Event
	for i, ev := range events {
		later := slices.ContainsFunc(events[i+1:], func(o plat.Event) bool { return o.Object.Name == ev.Object.Name })
		if !later {
			out = append(out, ev)
		}
	}
	return out
}

// testFeed is a running feed whose notes are collected.
type testFeed struct {
	*Feed
	store *store.Store
	notes chan Note
}

func run(t *testing.T, p *platform, peers ...Fetch) *testFeed {
	t.Helper()
	server := httptest.NewServer(p)
	f := &testFeed{store: store.New(), notes: make(chan Note, 100)}
	f.Feed = New(Config{
		Platform: plat.New(plat.Config{BaseURL: server.URL}), Store: f.store, Peers: peers,
		Random: func() float64 { return 0 }, MinInterval: time.Millisecond, OnNote: func(n Note) { f.notes <- n },
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// waitForClass waits until a class is in force.
func (f *testFeed) waitForClass(name string) {
	changed, stop := f.store.Subscribe()
	defer stop()
	for {
		if _, ok := f.store.Class(name); ok {
			return
		}
		<-changed
	}
}

func (f *testFeed) waitForNote(kind NoteKind) Note {
	for n := range f.notes {
		if n.Kind == kind {
			return n
		}
	}
	return Note{}
}

// A class that is written while the feed runs must come into force.
func TestFeedFollowsChanges(t *testing.T) {
	p := newPlatform()
	p.put("first")
	f := run(t, p)
	<-f.Ready()
	f.waitForClass("first")
	p.put("second")
	f.waitForClass("second")
	if c := f.LastContact(); c.RequestedAt.IsZero() || c.AnsweredAt.Before(c.RequestedAt) || f.PlatformUnavailable() {
		t.Errorf("last contact %+v, unavailable %v", c, f.PlatformUnavailable())
	}
}

// The platform is unavailable for a while, and a class is written as soon as it is
// available again. Meanwhile the old classes must stay in force.
func TestClassesStayInForceDuringOutage(t *testing.T) {
	p := newPlatform()
	p.put("first")
	f := run(t, p)
	f.waitForClass("first")
	p.update(func() { p.unavailable = true })
	f.waitForNote(NoteUnavailable)
	if _, ok := f.store.Class("first"); !ok || !f.PlatformUnavailable() {
		t.Errorf("class in force %v, unavailable %v", ok, f.PlatformUnavailable())
	}
	p.update(func() { p.unavailable = false })
	f.waitForNote(NoteAvailable)
	p.put("second")
	f.waitForClass("second")
}

// A watch repeats its last events again and again, as a platform does when it fails
// over to a replica. The process must neither go back to an older version nor call
// without a pause.
func TestRepeatedEventsAreIgnored(t *testing.T) {
	watches := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := plat.Batch{Version: 5, Events: []plat.Event{class("first", 5)}}
		if strings.HasPrefix(r.URL.Path, "/v1/watch/") {
			b.Events = []plat.Event{class("first", 4)}
			watches <- struct{}{}
		} else if r.URL.Path == "/v1/instances" {
			<-r.Context().Done()
		}
		_ = json.NewEncoder(w).Encode(b)
	}))
	defer server.Close()
	s := store.New()
	f := New(Config{Platform: plat.New(plat.Config{BaseURL: server.URL}), Store: s, MinInterval: time.Hour})
	pauses, resume := make(chan time.Duration), make(chan struct{})
	f.sleep = func(ctx context.Context, d time.Duration) {
		select {
		case pauses <- d:
			<-resume
		case <-ctx.Done():
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for i := range 3 {
		if d := <-pauses; d <= 0 || len(watches) != i+1 {
			t.Errorf("pause of %v after %d watches", d, len(watches))
		}
		resume <- struct{}{}
	}
	if o, _ := s.Raw(spec.KindClass, "first"); o.Version != 5 {
		t.Errorf("version %d in force", o.Version)
	}
	stop()
	<-ended
}

// The gauges must show the configuration version, the state of the platform and the
// counts of calls.
func TestRegisterMetrics(t *testing.T) {
	p := newPlatform()
	p.put("first")
	f := run(t, p)
	f.waitForClass("first")
	set := meter.New()
	f.RegisterMetrics(set)
	set.RegisterProcess()
	g := set.Read().Gauges
	if g["config_version"] != 1 || g["platform_away"] != 0 || g[`platform_calls{kind="list"}`] == 0 || g["process_heap_bytes"] == 0 {
		t.Errorf("got %v", g)
	}
}

// An outage lasts longer than the platform keeps changes. The watch's version is then
// refused every time, and only a new list shows what changed.
func TestListsAgainAfterCompaction(t *testing.T) {
	p := newPlatform()
	p.put("first")
	f := run(t, p)
	f.waitForClass("first")
	p.update(func() { p.unavailable = true })
	f.waitForNote(NoteUnavailable)
	p.update(func() {
		p.events = append(p.events, class("second", 2), class("third", 3))
		p.compacted, p.unavailable = 3, false
	})
	f.waitForClass("third")
}

// An instance is replaced while the platform is unavailable. One of its peers is dead,
// one has an older version and one a newer version. It must serve the newer one, and
// the platform's version once the platform is available.
func TestStartReadsNewestFromPeers(t *testing.T) {
	p := newPlatform()
	for range 3 {
		p.put("first")
	}
	p.unavailable = true
	peer := func(version int64) Fetch {
		return func(context.Context) (plat.Batch, error) {
			return plat.Batch{Version: version, Events: []plat.Event{class("first", version)}}, nil
		}
	}
	dead := func(context.Context) (plat.Batch, error) { return plat.Batch{}, errors.New("no route") }
	f := run(t, p, dead, peer(2), peer(1))
	<-f.Ready()
	if o, _ := f.store.Raw(spec.KindClass, "first"); o.Version != 2 {
		t.Errorf("version %d in force, want 2", o.Version)
	}
	p.update(func() { p.unavailable = false })
	p.put("second")
	f.waitForClass("second")
	if o, _ := f.store.Raw(spec.KindClass, "first"); o.Version != 3 {
		t.Errorf("version %d in force, want 3", o.Version)
	}
}

// An instance is replaced while the platform accepts calls but does not answer. It
// must serve its peers' configuration without waiting for the calls to fail.
func TestStartDoesNotWaitForSlowPlatform(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	peer := func(context.Context) (plat.Batch, error) {
		return plat.Batch{Version: 1, Events: []plat.Event{class("first", 1)}}, nil
	}
	s := store.New()
	f := New(Config{
		Platform: plat.New(plat.Config{BaseURL: server.URL}), Store: s, Peers: []Fetch{peer}, PeerDelay: time.Millisecond,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	<-f.Ready()
	if _, ok := s.Class("first"); !ok {
		t.Error("the peers' configuration is not in force")
	}
	if c := f.LastContact(); !c.AnsweredAt.IsZero() {
		t.Errorf("the platform answered: %+v", c)
	}
	stop()
	<-ended
}

// An instance is replaced while the newest version of a class is bad. The platform has
// no other version, but the peers still have the last good one.
func TestStartReadsLastGoodVersionFromPeers(t *testing.T) {
	p := newPlatform()
	p.put("first")
	p.update(func() {
		bad := class("first", 2)
		bad.Object.Data = []byte(`{"name":"first","tier":9}`)
		p.events = append(p.events, bad)
	})
	peer := func(context.Context) (plat.Batch, error) {
		return plat.Batch{Version: 2, Events: []plat.Event{class("first", 1), p.events[1]}}, nil
	}
	f := run(t, p, peer)
	f.waitForClass("first")
	if r := f.store.Rejected(); len(r) != 1 || r[0].Version != 2 || r[0].InForce != 1 {
		t.Errorf("rejected %+v", r)
	}
}

// The platform is unavailable and no peer answers. The process must report this and
// must not become ready with an empty configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	p := newPlatform()
	p.unavailable = true
	f := run(t, p, func(context.Context) (plat.Batch, error) { return plat.Batch{}, errors.New("no route") })
	if n := f.waitForNote(NoteNoPeers); !errors.Is(n.Err, ErrNoPeers) {
		t.Errorf("got %v", n.Err)
	}
	select {
	case <-f.Ready():
		t.Error("ready without a configuration")
	default:
	}
}

// A peer sends everything in force over a link, which is more than the link's queue
// can hold. Rejected versions and deletions are included.
func TestFetchOverLink(t *testing.T) {
	const classes = 3000
	have := store.New()
	for i := range int64(classes) {
		if _, err := have.Accept(class(fmt.Sprint("c", i), i+1)); err != nil {
			t.Fatal(err)
		}
	}
	have.AcceptBatch(plat.Batch{Version: classes + 1, Events: []plat.Event{
		{Deleted: true, Object: plat.Object{Kind: spec.KindClass, Name: "c0", Version: classes + 1}},
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	keys := wire.OneKey([]byte("0123456789abcdef"))
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	served := make(chan error, 1)
	go func() { served <- serveFetch(ctx, l, keys, have) }()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	hello := func() wire.Hello { return wire.Hello{Role: wire.RoleEntry, Name: "a", Zone: "z", Incarnation: 1} }
	b, err := NewPeerFetch(l.Addr().String(), dial, hello, func() wire.Keys { return keys })(ctx)
	if err != nil {
		t.Fatal(err)
	}
	got := store.New()
	got.AcceptList(plat.AnyKind, b)
	if got.Digest() != have.Digest() || b.Version != classes+1 || len(b.Events) != classes {
		t.Errorf("version %d, %d events, digests %x %x", b.Version, len(b.Events), got.Digest(), have.Digest())
	}
	<-served
}

// serveFetch is the serving end of one fetch.
func serveFetch(ctx context.Context, l net.Listener, keys wire.Keys, have *store.Store) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	peer, err := wire.Handshake(ctx, conn, wire.Hello{Role: wire.RoleEntry, Name: "b", Zone: "z", Incarnation: 2}, keys)
	if err != nil {
		return err
	}
	link := wire.New(conn, peer, wire.Config{})
	answered := make(chan error, 1)
	err = link.Run(ctx, func(m wire.Message) {
		if _, ok := m.(*wire.Fetch); ok {
			go func() { answered <- SendAll(ctx, have, link) }()
		}
	})
	return errors.Join(err, <-answered)
}
