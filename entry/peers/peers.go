// Package peers is the entry's link port: other entries fetch the objects in
// force there when the platform is away.
package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/feed"
	"lycheepond/core/logs"
	"lycheepond/core/store"
	"lycheepond/core/wire"
)

// maxLinks bounds the links at one time. Peers fetch at start only; more than
// this at once is an attack or a restart of everything, and either may wait.
const maxLinks = 64

// Config is what a Port depends on.
type Config struct {
	Listen    string
	Self      wire.Hello
	Keys      func() wire.Keys
	Heartbeat time.Duration
	Beat      func() wire.Message
	Store     *store.Store
	// Accept wraps a fresh connection in TLS, or leaves it as it is.
	Accept func(net.Conn) net.Conn
	Log    *zap.Logger
}

// Port accepts links from other entries and operators.
type Port struct {
	cfg  Config
	room chan struct{}
	wg   sync.WaitGroup
}

// New returns a Port that does nothing until Run.
func New(cfg Config) *Port { return &Port{cfg: cfg, room: make(chan struct{}, maxLinks)} }

// Run accepts links until ctx ends. Without an address it only waits.
func (p *Port) Run(ctx context.Context) error {
	if p.cfg.Listen == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ln, err := net.Listen("tcp", p.cfg.Listen)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer p.wg.Wait()
	for {
		p.room <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			<-p.room
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		p.wg.Add(1)
		go func() {
			defer func() { <-p.room }()
			defer p.wg.Done()
			p.serve(ctx, conn)
		}()
	}
}

func (p *Port) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	conn = p.cfg.Accept(conn)
	peer, err := wire.Handshake(ctx, conn, p.cfg.Self, p.cfg.Keys())
	if err != nil {
		logs.Warn(p.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	p.answer(ctx, wire.New(conn, peer, wire.Config{Heartbeat: p.cfg.Heartbeat, Idle: p.cfg.Self.Idle(), NewHeartbeat: p.cfg.Beat}))
}

// answer serves the fetches of one link, one at a time.
func (p *Port) answer(ctx context.Context, link *wire.Link) {
	asked := make(chan struct{}, 1)
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-link.Done():
				done <- nil
				return
			case <-asked:
				if err := feed.SendAll(ctx, p.cfg.Store, link); err != nil {
					link.Close()
				}
			}
		}
	}()
	link.Run(ctx, func(m wire.Message) {
		if m.Kind() != wire.KindFetch {
			return
		}
		select {
		case asked <- struct{}{}:
		default:
		}
	})
	<-done
}
