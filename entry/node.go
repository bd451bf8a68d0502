package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/certs"
	"lycheepond/core/conf"
	"lycheepond/core/feed"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/plat"
	"lycheepond/core/sigs"
	"lycheepond/core/store"
	"lycheepond/core/wire"
	"lycheepond/entry/admin"
	"lycheepond/entry/agents"
	"lycheepond/entry/caller"
	"lycheepond/entry/kept"
	"lycheepond/entry/keys"
	"lycheepond/entry/orders"
	"lycheepond/entry/peers"
	"lycheepond/entry/record"
	"lycheepond/entry/sched"
	"lycheepond/entry/tally"
)

// node is one running entry.
type node struct {
	cfg *conf.Entry
	// certs holds the certificates of links, nil if links are not encrypted.
	certs  *certs.Source
	log    *zap.Logger
	start  time.Time
	self   wire.Hello
	store  *store.Store
	plat   *plat.Client
	feed   *feed.Feed
	agents *agents.Set
	sched  *sched.Sched
	// keeper maintains the home tables of idempotency keys.
	keeper *keys.Keeper
	// planner maintains the assignments of model versions to endpoints.
	planner *orders.Planner
	meter   *meter.Set
	tally   *tally.Recorder
	// fleetKeys holds the fleet's keys, which can be replaced without a restart.
	fleetKeys *conf.LiveKeys
	// loggedDigest is the digest of the configuration that was last logged.
	loggedDigest atomic.Uint64
	leaving      atomic.Bool
	ready        atomic.Bool
}

func newNode(cfg *conf.Entry, path string) *node {
	n := &node{
		cfg: cfg, start: time.Now(), store: store.New(), meter: meter.New(),
		log:  logs.New(cfg.Log.Level, cfg.Name),
		plat: plat.New(plat.Config{BaseURL: cfg.Platform.Address, Token: string(cfg.Platform.Token)}),
	}
	n.fleetKeys = conf.NewLiveKeys(path, cfg.Keys(), conf.EntryKeys)
	n.self = wire.Hello{
		Role: wire.RoleEntry, Name: cfg.Name, Zone: cfg.Zone, Incarnation: newIncarnation(),
		IdleHeartbeatMS: uint32(cfg.IdleHeartbeat.Std().Milliseconds()),
	}
	n.tally = tally.New(n.meter, n.log)
	return n
}

// newIncarnation returns a random number that identifies this process.
func newIncarnation() uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return mathrand.Uint64()
	}
	return binary.BigEndian.Uint64(random[:])
}

func (n *node) now() time.Duration { return time.Since(n.start) }

// heartbeat returns the message that is sent over an idle link.
func (n *node) heartbeat() wire.Message {
	return &wire.Heartbeat{Leaving: n.leaving.Load(), ConfigVersion: n.store.Version()}
}

// run serves until ctx ends, then stops the parts in order.
func (n *node) run(ctx context.Context) error {
	work, end := context.WithCancel(context.Background())
	logs.Info(n.log, logs.EventStarting, zap.Bool("signals_from_start", sigs.FromStart))
	var err error
	if n.certs, err = certs.NewLogged(certs.Files(n.cfg.TLS), n.log); err != nil {
		end()
		return err
	}
	n.build(work)
	p := newParts()
	n.startParts(work, p)
	err = n.serve(ctx, p)
	end()
	p.wait()
	n.sched.Wait()
	return err
}

// serve serves callers until ctx or a part ends.
func (n *node) serve(ctx context.Context, p *parts) error {
	conns := kept.New(kept.Config{IdleBound: func() time.Duration { return idleTimeout }, Metrics: n.meter, Log: n.log})
	ln, err := conns.Listen(n.cfg.Listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	select {
	case <-n.feed.Ready():
	case <-ctx.Done():
		return nil
	case err := <-p.ended:
		p.running--
		return err
	}
	server := n.newServer(conns)
	defer server.Close()
	n.ready.Store(true)
	p.start(func() error { return server.Serve(ln) })
	n.announce(ln.Addr().String())
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			conns.CloseExpired()
		case <-ctx.Done():
			n.drain(conns)
			return nil
		case err := <-p.ended:
			// Requests that were read are still answered.
			p.running--
			n.drain(conns)
			return err
		}
	}
}

// announce logs the listening address, and prints it to the standard output for the
// process that started this one.
func (n *node) announce(addr string) {
	logs.Info(n.log, logs.EventReady, zap.String("listen", addr))
	line, _ := json.Marshal(struct {
		Ready  string `json:"ready"`
		Listen string `json:"listen"`
	}{n.cfg.Name, addr})
	os.Stdout.Write(append(line, '\n'))
}

// drain refuses new requests and waits for those that were read, at most for the
// configured grace. The listener stays open for balancerNotice, so that callers that
// the load balancer still sends here get an accurate refusal instead of a refused
// connection.
func (n *node) drain(conns *kept.Set) {
	n.leaving.Store(true)
	logs.Info(n.log, logs.EventLeaving, zap.Int("running", n.sched.Running()))
	grace, cancel := context.WithTimeout(context.Background(), n.cfg.Grace.Std())
	defer cancel()
	select {
	case <-grace.Done():
	case <-time.After(min(balancerNotice, n.cfg.Grace.Std()/4)):
	}
	if conns.Drain(grace) != nil {
		logs.Warn(n.log, logs.EventStopped, zap.Int("interrupted", n.sched.Running()))
		conns.Close(kept.GraceExpired)
		return
	}
	logs.Info(n.log, logs.EventStopped)
}

// balancerNotice is the time that a load balancer gets to notice that /readyz has
// changed.
const balancerNotice = 2 * time.Second

func (n *node) newServer(conns *kept.Set) *http.Server {
	front := caller.New(caller.Config{
		Store: n.store, NewID: n.sched.NewID, Serve: n.sched.Serve, Now: n.now,
		Ready: n.ready.Load, Leaving: n.leaving.Load, OnResult: n.tally.RecordResult, Metrics: n.meter.PublicHandler(),
		OnPanic: n.countPanic, OnUnread: func() { n.meter.Counter("answers_not_taken").Inc(1) }, Log: n.log,
	})
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !conns.Admit(r) {
			panic(http.ErrAbortHandler)
		}
		front.ServeHTTP(w, r)
	})}
	conns.Attach(server)
	return server
}

// countPanic counts a handler that panicked.
func (n *node) countPanic() { n.meter.Counter("handlers_panicked").Inc(1) }

const (
	// headerTimeout bounds the time to read a request's headers, and idleTimeout
	// the time that a connection may be idle between requests.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// sweepInterval is the interval between checks for connections that have been
	// idle for too long. idleTimeout need not be exact to the second.
	sweepInterval = time.Second
)

// build creates the parts; startParts starts them.
func (n *node) build(ctx context.Context) {
	n.feed = feed.New(feed.Config{
		Platform: n.plat, Store: n.store, Peers: n.peerFetches(), Random: mathrand.Float64, OnNote: n.logFeedNote,
	})
	n.feed.RegisterMetrics(n.meter)
	n.meter.RegisterProcess()
	n.sched = sched.New(ctx, sched.Config{
		MemoryLimit: int64(n.cfg.RequestMemoryMiB) << 20,
		Incarnation: n.self.Incarnation, Zone: n.cfg.Zone, Now: n.now, Log: n.log,
		Pool:       func(name string) *agents.Members { return n.agents.Pool(name) },
		EntryCount: n.entryCount,
		Home:       func(pool string, key []byte) (sched.Home, error) { return n.keeper.Home(pool, key) },
	})
	n.agents = agents.New(agents.Config{
		Self: n.self, Keys: n.fleetKeys.Keys, Heartbeat: n.cfg.Heartbeat.Std(), NewHeartbeat: n.heartbeat,
		Dial: n.dial, Roster: n.store.Roster, Pools: n.pools, Digest: n.store.Digest, ChooseAgents: n.chooseAgents,
		Handle: n.handle, LinkUp: n.linkUp, LinkDown: n.sched.LinkDown, Now: n.now, Log: n.log,
	})
	recordConfig := record.Config{
		Put: n.plat.Put, Get: n.plat.Get, Raw: n.store.Raw, Accept: func(e plat.Event) { n.store.Accept(e) }, Now: n.now,
	}
	n.keeper = keys.New(keys.Config{
		Record: recordConfig, Pools: n.agents.Pools, Members: n.agents.Pool, Peer: n.agents.Peer, RequestLink: n.agents.RequestLink, Roster: n.store.Roster,
		Now: n.now, Wall: func() int64 { return time.Now().UnixMilli() }, Random: mathrand.Float64, Log: n.log,
	})
	n.registerMetrics()
	n.planner = orders.New(orders.Config{
		Record: recordConfig, Models: n.store.Models, Members: n.agents.Pool, Now: n.now, Random: mathrand.Float64, Log: n.log,
	})
}

// startParts starts the parts that run until ctx ends.
func (n *node) startParts(ctx context.Context, p *parts) {
	changed, _ := n.store.Subscribe()
	p.start(func() error { return n.feed.Run(ctx) })
	p.start(func() error { return n.agents.Run(ctx, changed) })
	p.start(func() error { return n.fleetKeys.Follow(ctx, n.fleetKeys.LogReload(n.log)) })
	p.start(func() error { return n.keeper.Run(ctx) })
	p.start(func() error { return n.planner.Run(ctx) })
	port := peers.New(peers.Config{
		Listen: n.cfg.LinkListen, Self: n.self, Keys: n.fleetKeys.Keys, Heartbeat: n.cfg.Heartbeat.Std(),
		NewHeartbeat: n.heartbeat, Store: n.store, Accept: n.certs.Accept, Log: n.log,
	})
	p.start(func() error { return port.Run(ctx) })
	operators := admin.New(admin.Config{
		Listen: n.cfg.Admin.Listen, Token: string(n.cfg.Admin.Token), Metrics: n.meter,
		Status: n.status, Explain: n.sched.Traces().Explain, OnPanic: n.countPanic, Log: n.log,
	})
	p.start(func() error { return operators.Run(ctx) })
}

// handle handles a message from an agent. The link's reader calls it.
func (n *node) handle(p *agents.Peer, m wire.Message) {
	if req, ok := m.(*wire.LeaseRequest); ok {
		n.answerLeaseRequest(p, req)
		return
	}
	if !n.keeper.RelayHandover(p, m) {
		n.sched.Handle(p, m)
	}
}

// answerLeaseRequest reports to an agent how fresh the entry's knowledge of a home
// table or an assignment is.
func (n *node) answerLeaseRequest(p *agents.Peer, req *wire.LeaseRequest) {
	reply := &wire.LeaseReply{Seq: req.Seq, Pool: req.Pool}
	if model, ok := strings.CutPrefix(req.Pool, wire.AssignPrefix); ok {
		n.planner.FillLeaseReply(model, reply)
	} else {
		n.keeper.FillLeaseReply(reply)
	}
	p.Send(reply)
}

// linkUp notifies the parts that an agent is linked.
func (n *node) linkUp(p *agents.Peer) {
	n.sched.LinkUp(p)
	n.keeper.Wake()
	n.planner.Wake()
}
