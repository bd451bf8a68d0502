package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/admin"
	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/agent/links"
	"lycheepond/agent/plain"
	"lycheepond/agent/probe"
	"lycheepond/agent/slot"
	"lycheepond/core/certs"
	"lycheepond/core/conf"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/queue"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// maxQueued is how many offers may wait. At about 1 KB each they take 2 MB of the
// 32 MB that a node may spend.
const maxQueued = 2048

// ready is the line on standard output once the agent listens.
type ready struct {
	Ready  string `json:"ready"`
	Listen string `json:"listen"`
}

// node is one agent process.
type node struct {
	cfg *conf.Agent
	// certs are the certificates of links, nil if links are plain.
	certs *certs.Source
	log   *zap.Logger
	// live holds the fleet's keys, which are replaced without a restart.
	live  *conf.LiveKeys
	set   *meter.Set
	owner *slot.Owner
	links *links.Server
	side  *http.Client
	out   io.Writer
}

func newNode(cfg *conf.Agent, path string) (*node, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	// Incarnations pass through JSON numbers of other tools, so they stay exact
	// in a float64.
	incarnation := binary.BigEndian.Uint64(b[:])>>11 | 1
	n := &node{
		cfg: cfg, log: logs.New(cfg.Log.Level, cfg.Name), set: meter.New(), out: os.Stdout,
		side: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, Proxy: nil}},
	}
	n.live = conf.NewLiveKeys(path, cfg.Keys(), conf.AgentKeys)
	var err error
	if n.certs, err = certs.NewLogged(certs.Files(cfg.TLS), n.log); err != nil {
		return nil, err
	}
	begun := time.Now()
	sc := slot.Config{
		Self:  spec.HomeOwner{Name: cfg.Name, Incarnation: incarnation},
		Now:   func() time.Duration { return time.Since(begun) },
		Wall:  func() int64 { return time.Now().UnixMilli() },
		Queue: queue.Config{Max: maxQueued},
		Log:   n.log, Stats: slot.NewStats(n.set), Grace: cfg.Grace.Std(),
	}
	n.endpoint(&sc)
	n.owner = slot.New(sc)
	n.links = links.New(links.Config{
		Self: wire.Hello{
			Role: wire.RoleAgent, Name: cfg.Name, Zone: cfg.Zone, Incarnation: incarnation,
			IdleMS: uint32(cfg.IdleHeartbeat.Std().Milliseconds()),
		},
		Keys: n.live.Keys, Heartbeat: cfg.Heartbeat.Std(),
		Owner: n.owner, Log: n.log, Secure: n.certs.Accept,
	})
	n.gauges()
	return n, nil
}

// endpoint sets how the endpoint is called.
func (n *node) endpoint(sc *slot.Config) {
	base := n.cfg.Endpoint.Address
	sc.Listening = call.Listening(base)
	if n.cfg.Endpoint.Kind == conf.EndpointService {
		sc.Run = plain.New(base, call.Client()).Run
		return
	}
	e := engine.New(base, call.Client(), n.side)
	sc.Run, sc.Resume, sc.Cancel, sc.Order = e.Run, e.Resume, e.Cancel, e.Give
}

func (n *node) gauges() {
	n.set.RegisterProcess()
	n.set.GaugeFunc("agent_in_flight", func() int64 { return int64(n.owner.Load().InFlight) })
	n.set.GaugeFunc("agent_bound", func() int64 { return int64(n.owner.Load().InFlightBound) })
	n.set.GaugeFunc("agent_queued", func() int64 { return int64(n.owner.Load().Queued) })
	n.set.GaugeFunc("agent_level", func() int64 { return int64(n.owner.Load().ShedLevel) })
	n.set.GaugeFunc("agent_kept_bytes", func() int64 { return n.owner.Status().Kept })
	n.set.GaugeFunc("agent_control_in_bytes", func() int64 { return int64(n.links.Counts().ControlIn) })
	n.set.GaugeFunc("agent_control_out_bytes", func() int64 { return int64(n.links.Counts().ControlOut) })
	n.set.GaugeFunc("agent_data_in_bytes", func() int64 { return int64(n.links.Counts().DataIn) })
	n.set.GaugeFunc("agent_data_out_bytes", func() int64 { return int64(n.links.Counts().DataOut) })
}

// run serves until ctx ends, which begins a planned stop, and the stop is
// complete.
func (n *node) run(ctx context.Context) error {
	ln, err := net.Listen("tcp", n.cfg.LinkListen)
	if err != nil {
		return fmt.Errorf("cannot listen on %s: %w: another agent stands in this slot, or the address is not this instance's", n.cfg.LinkListen, err)
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 4)
	duties := 0
	duty := func(f func() error) {
		duties++
		go func() { ended <- f() }()
	}
	if n.cfg.Admin.Listen != "" {
		aln, err := net.Listen("tcp", n.cfg.Admin.Listen)
		if err != nil {
			ln.Close()
			return fmt.Errorf("cannot listen on %s: %w: choose a free admin.listen", n.cfg.Admin.Listen, err)
		}
		duty(func() error { return n.operators().Run(work, aln) })
	}
	duty(func() error { return n.links.Run(work, ln) })
	duty(func() error { return probe.Run(work, n.cfg.Endpoint.Address, n.side, n.owner.Report) })
	duty(func() error { return n.live.Follow(work, n.live.LogReload(n.log)) })
	unhook := context.AfterFunc(ctx, func() { _ = n.owner.Leave(work) })
	defer unhook()
	if err := json.NewEncoder(n.out).Encode(ready{n.cfg.Name, ln.Addr().String()}); err != nil {
		return err
	}
	logs.Info(n.log, logs.EventReady, zap.String("listen", ln.Addr().String()))
	err = n.owner.Run(work)
	n.links.Flush(work)
	stop()
	for ; duties > 0; duties-- {
		<-ended
	}
	logs.Info(n.log, logs.EventStopped)
	return err
}

func (n *node) operators() *admin.Server {
	return admin.New(admin.Config{
		Token: string(n.cfg.Admin.Token), Metrics: n.set,
		Status: func() any { return n.owner.Status() }, Drain: n.owner.Leave,
		Panicked: func() { n.set.Counter("handlers_panicked").Inc(1) }, Log: n.log,
		Ready: func() bool {
			s := n.owner.Status()
			return !s.Leaving && !s.Down && !s.Stalled
		},
	})
}
