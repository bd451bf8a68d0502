package agents

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/retry"
	"lycheepond/core/wire"
)

const (
	// dialTimeout bounds one attempt to connect, including the handshake.
	dialTimeout = 2 * time.Second
	// maxRedialPause bounds the pause between two dials, so that a link is restored
	// well before a request whose agent is away is given up.
	maxRedialPause = time.Second
	// unlistedRetention is how long an agent that is no longer in the instance list
	// is still dialled after its link ended. The list may be out of date, and the
	// agent may still hold a granted request.
	unlistedRetention = 15 * time.Second
)

// errWrongAgent reports that another process answers at an agent's address.
var errWrongAgent = errors.New("agents: another process answers at the address of the instance list: correct the list's link address or the agent's name setting")

// keepLink keeps a link to p until ctx ends, or until an unlisted p has been without
// a link for unlistedRetention.
func (s *Set) keepLink(ctx context.Context, p *Peer) {
	failures := 0
	for ctx.Err() == nil {
		began := s.now()
		err := s.runLink(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if s.now()-began > time.Second {
			failures = 0
		}
		if p.isUnlisted.Load() && s.now()-time.Duration(p.linkLostAt.Load()) > unlistedRetention {
			return
		}
		s.logFailure(p, failures, err)
		pause := min(retry.Backoff(failures, s.random()), maxRedialPause)
		failures++
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// logFailure logs the first failure of a series and then every 32nd, so that a lost
// agent doesn't fill the log.
func (s *Set) logFailure(p *Peer, failures int, err error) {
	if failures%32 != 0 {
		return
	}
	logs.Warn(s.log, logs.EventLinkLost, zap.String("agent", p.name), zap.Error(err))
}

// runLink dials p and runs the link until it ends.
func (s *Set) runLink(ctx context.Context, p *Peer) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(dialCtx, p.Instance().LinkAddr)
	if err != nil {
		return err
	}
	hello, err := wire.Handshake(dialCtx, conn, s.cfg.Self, s.cfg.Keys())
	if err != nil {
		conn.Close()
		return err
	}
	if hello.Role != wire.RoleAgent || hello.Name != p.name {
		conn.Close()
		return fmt.Errorf("%w: want agent %q, got %q", errWrongAgent, p.name, hello.Name)
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: s.cfg.Heartbeat, IdleHeartbeat: s.cfg.Self.IdleHeartbeat(), NewHeartbeat: s.cfg.NewHeartbeat})
	// The link is up only after the agent's first message, which holds its load.
	// Before that a leaving agent would look like any other, and a request granted
	// to it would be cut off when it ends.
	isUp := false
	err = link.Run(ctx, func(m wire.Message) {
		if !isUp {
			isUp = true
			s.linkUp(p, link, m)
		} else {
			p.recordLoad(m)
		}
		s.cfg.Handle(p, m)
	})
	if isUp {
		s.linkDown(p, link)
	}
	return err
}

// linkUp puts a link into use after the agent's first message.
func (s *Set) linkUp(p *Peer, link *wire.Link, first wire.Message) {
	p.Connect(link, first)
	logs.Info(s.log, logs.EventLinkUp, zap.String("agent", p.name))
	s.cfg.LinkUp(p)
}

// linkDown takes a link that has ended out of use.
func (s *Set) linkDown(p *Peer, link *wire.Link) {
	s.endedLinks.add(link.Counts())
	p.Disconnect(s.now())
	s.cfg.LinkDown(p)
}
