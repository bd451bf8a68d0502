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
	"lycheepond/core/strict"
	"lycheepond/core/wire"
)

// maxQueued bounds the number of queued offers. At about 1 KB each they take 2 MB
// of the 32 MB of memory that an agent may use.
const maxQueued = 2048

// readyLine is written as JSON to standard output when the agent listens.
type readyLine struct {
	Ready  string `json:"ready"`
	Listen string `json:"listen"`
}

// node is one agent process.
type node struct {
	cfg *conf.Agent
	// certs holds the certificates for links; nil if links don't use TLS.
	certs *certs.Source
	log   *zap.Logger
	// liveKeys holds the fleet keys, which can be replaced without a restart.
	liveKeys      *conf.LiveKeys
	metrics       *meter.Set
	owner         *slot.Owner
	links         *links.Server
	controlClient *http.Client
	stdout        io.Writer
}

func newNode(cfg *conf.Agent, path string) (*node, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	// Other tools read incarnations as JSON numbers, so they must fit exactly
	// into a float64.
	incarnation := binary.BigEndian.Uint64(b[:])>>11 | 1
	n := &node{
		cfg: cfg, log: logs.New(cfg.Log.Level, cfg.Name), metrics: meter.New(), stdout: os.Stdout,
		controlClient: &http.Client{Transport: strict.New(&http.Transport{MaxIdleConnsPerHost: 2, Proxy: nil})},
	}
	n.liveKeys = conf.NewLiveKeys(path, cfg.Keys(), conf.AgentKeys)
	var err error
	if n.certs, err = certs.NewLogged(certs.Files(cfg.TLS), n.log); err != nil {
		return nil, err
	}
	start := time.Now()
	slotCfg := slot.Config{
		Self:   spec.HomeOwner{Name: cfg.Name, Incarnation: incarnation},
		Now:    func() time.Duration { return time.Since(start) },
		WallMS: func() int64 { return time.Now().UnixMilli() },
		Queue:  queue.Config{MaxItems: maxQueued},
		Log:    n.log, Stats: slot.NewStats(n.metrics), StopGrace: cfg.Grace.Std(),
	}
	n.setEndpoint(&slotCfg)
	n.owner = slot.New(slotCfg)
	n.links = links.New(links.Config{
		Self: wire.Hello{
			Role: wire.RoleAgent, Name: cfg.Name, Zone: cfg.Zone, Incarnation: incarnation,
			IdleHeartbeatMS: uint32(cfg.IdleHeartbeat.Std().Milliseconds()),
		},
		Keys: n.liveKeys.Keys, Heartbeat: cfg.Heartbeat.Std(),
		Owner: n.owner, Log: n.log, WrapTLS: n.certs.Accept,
	})
	n.registerGauges()
	return n, nil
}

// setEndpoint sets the functions of slotCfg that call the endpoint.
func (n *node) setEndpoint(slotCfg *slot.Config) {
	base := n.cfg.Endpoint.Address
	slotCfg.AcceptsConnections = call.NewConnectionCheck(base)
	if n.cfg.Endpoint.Kind == conf.EndpointService {
		slotCfg.Run = plain.New(base, call.NewClient()).Run
		return
	}
	e := engine.New(base, call.NewClient(), n.controlClient)
	slotCfg.Run, slotCfg.Resume, slotCfg.Cancel, slotCfg.SendOrder = e.Run, e.Resume, e.Cancel, e.SendOrder
}

func (n *node) registerGauges() {
	n.metrics.RegisterProcess()
	n.metrics.GaugeFunc("agent_in_flight", func() int64 { return int64(n.owner.Load().InFlight) })
	n.metrics.GaugeFunc("agent_bound", func() int64 { return int64(n.owner.Load().InFlightBound) })
	n.metrics.GaugeFunc("agent_queued", func() int64 { return int64(n.owner.Load().Queued) })
	n.metrics.GaugeFunc("agent_level", func() int64 { return int64(n.owner.Load().ShedLevel) })
	n.metrics.GaugeFunc("agent_kept_bytes", func() int64 { return n.owner.Status().KeptBytes })
	n.metrics.GaugeFunc("agent_control_in_bytes", func() int64 { return int64(n.links.Counts().ControlIn) })
	n.metrics.GaugeFunc("agent_control_out_bytes", func() int64 { return int64(n.links.Counts().ControlOut) })
	n.metrics.GaugeFunc("agent_data_in_bytes", func() int64 { return int64(n.links.Counts().DataIn) })
	n.metrics.GaugeFunc("agent_data_out_bytes", func() int64 { return int64(n.links.Counts().DataOut) })
}

// run serves until ctx ends. The end of ctx begins a planned stop, and run
// returns when the stop is complete.
func (n *node) run(ctx context.Context) error {
	linkListener, err := net.Listen("tcp", n.cfg.LinkListen)
	if err != nil {
		return fmt.Errorf("cannot listen on %s: %w: another agent runs for this endpoint, or the address does not belong to this instance", n.cfg.LinkListen, err)
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	taskEnded := make(chan error, 4)
	tasks := 0
	startTask := func(f func() error) {
		tasks++
		go func() { taskEnded <- f() }()
	}
	if n.cfg.Admin.Listen != "" {
		adminListener, err := net.Listen("tcp", n.cfg.Admin.Listen)
		if err != nil {
			linkListener.Close()
			return fmt.Errorf("cannot listen on %s: %w: choose a free admin.listen", n.cfg.Admin.Listen, err)
		}
		startTask(func() error { return n.newAdminServer().Run(workCtx, adminListener) })
	}
	startTask(func() error { return n.links.Run(workCtx, linkListener) })
	startTask(func() error { return probe.Run(workCtx, n.cfg.Endpoint.Address, n.controlClient, n.owner.Report) })
	startTask(func() error { return n.liveKeys.Follow(workCtx, n.liveKeys.LogReload(n.log)) })
	cancelLeave := context.AfterFunc(ctx, func() { _ = n.owner.Leave(workCtx) })
	defer cancelLeave()
	if err := json.NewEncoder(n.stdout).Encode(readyLine{n.cfg.Name, linkListener.Addr().String()}); err != nil {
		return err
	}
	logs.Info(n.log, logs.EventReady, zap.String("listen", linkListener.Addr().String()))
	err = n.owner.Run(workCtx)
	n.links.Flush(workCtx)
	stop()
	for ; tasks > 0; tasks-- {
		<-taskEnded
	}
	logs.Info(n.log, logs.EventStopped)
	return err
}

func (n *node) newAdminServer() *admin.Server {
	return admin.New(admin.Config{
		Token: string(n.cfg.Admin.Token), Metrics: n.metrics,
		Status: func() any { return n.owner.Status() }, Drain: n.owner.Leave,
		OnPanic: func() { n.metrics.Counter("handlers_panicked").Inc(1) }, Log: n.log,
		Ready: func() bool {
			s := n.owner.Status()
			return !s.Leaving && !s.EndpointDown && !s.EndpointStalled
		},
	})
}
