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
	dialTimeout = 2 * time.Second
	// maxRedial bounds the pause between two dials, so that a healed link is
	// back well within the time that a doubtful request is waited for.
	maxRedial = time.Second
	// goneLinger is how long an agent without a line in the instance list is
	// still dialled. The list lags, and a granted request may wait there.
	goneLinger = 15 * time.Second
)

// errName reports an address behind which another agent answers.
var errName = errors.New("agents: another process answers at the address of the instance list: correct the list's link address or the agent's name setting")

// keep holds the link to p until ctx ends.
func (s *Set) keep(ctx context.Context, p *Peer) {
	tries := 0
	for ctx.Err() == nil {
		began := s.now()
		err := s.session(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if s.now()-began > time.Second {
			tries = 0
		}
		if p.gone.Load() && s.now()-time.Duration(p.lost.Load()) > goneLinger {
			return
		}
		s.complain(p, tries, err)
		pause := min(retry.Backoff(tries, s.random()), maxRedial)
		tries++
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// complain logs the first failure of a series and then every 32nd, so that a
// lost agent does not fill the log.
func (s *Set) complain(p *Peer, tries int, err error) {
	if tries%32 != 0 {
		return
	}
	logs.Warn(s.log, logs.EventLinkLost, zap.String("agent", p.name), zap.Error(err))
}

// session is one link from dial to end.
func (s *Set) session(ctx context.Context, p *Peer) error {
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
		return fmt.Errorf("%w: want agent %q, got %q", errName, p.name, hello.Name)
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: s.cfg.Heartbeat, Idle: s.cfg.Self.Idle(), NewHeartbeat: s.cfg.Beat})
	// The link counts only from the agent's first word on, which is its load.
	// Before that a leaving agent would look as good as any other, and a
	// request given to it would be cut off by its end.
	heard := false
	err = link.Run(ctx, func(m wire.Message) {
		if !heard {
			heard = true
			s.up(p, link, m)
		} else {
			p.hear(m)
		}
		s.cfg.Handle(p, m)
	})
	if heard {
		s.down(p, link)
	}
	return err
}

// up puts a link into use whose agent has sent its first message.
func (s *Set) up(p *Peer, link *wire.Link, first wire.Message) {
	p.Connect(link, first)
	logs.Info(s.log, logs.EventLinkUp, zap.String("agent", p.name))
	s.cfg.Up(p)
}

func (s *Set) down(p *Peer, link *wire.Link) {
	s.past.add(link.Counts())
	p.Disconnect(s.now())
	s.cfg.Down(p)
}
