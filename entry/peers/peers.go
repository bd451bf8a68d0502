// Package peers serves the entry's link port, where other entries fetch the objects
// in force while the platform is away.
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

// maxLinks bounds the number of concurrent links. Peers fetch only when they start,
// so more links at once come from an attack or a restart of the whole fleet, and
// both can wait.
const maxLinks = 64

// Config holds the settings of a Port.
type Config struct {
	// Listen is the address to listen at. If it is empty, no links are accepted.
	Listen string
	Self   wire.Hello
	Keys   func() wire.Keys
	// Heartbeat is the heartbeat interval of the links. NewHeartbeat returns the
	// message that an idle link carries.
	Heartbeat    time.Duration
	NewHeartbeat func() wire.Message
	Store        *store.Store
	// Accept wraps a new connection in TLS or returns it unchanged.
	Accept func(net.Conn) net.Conn
	Log    *zap.Logger
}

// Port accepts links from other entries and operators.
type Port struct {
	cfg   Config
	slots chan struct{}
	wg    sync.WaitGroup
}

// New returns a Port that does nothing before Run is called.
func New(cfg Config) *Port { return &Port{cfg: cfg, slots: make(chan struct{}, maxLinks)} }

// Run accepts links until ctx ends. Without an address to listen at, it only waits
// until ctx ends.
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
		p.slots <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			<-p.slots
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		p.wg.Add(1)
		go func() {
			defer func() { <-p.slots }()
			defer p.wg.Done()
			p.serveLink(ctx, conn)
		}()
	}
}

// serveLink runs one link that a peer dialled.
func (p *Port) serveLink(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	conn = p.cfg.Accept(conn)
	peer, err := wire.Handshake(ctx, conn, p.cfg.Self, p.cfg.Keys())
	if err != nil {
		logs.Warn(p.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	p.serveFetches(ctx, wire.New(conn, peer, wire.Config{Heartbeat: p.cfg.Heartbeat, IdleHeartbeat: p.cfg.Self.IdleHeartbeat(), NewHeartbeat: p.cfg.NewHeartbeat}))
}

// serveFetches answers the fetches of one link, one at a time. A fetch that arrives
// while another one is waiting is answered together with it.
func (p *Port) serveFetches(ctx context.Context, link *wire.Link) {
	fetches := make(chan struct{}, 1)
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-link.Done():
				done <- nil
				return
			case <-fetches:
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
		case fetches <- struct{}{}:
		default:
		}
	})
	<-done
}
