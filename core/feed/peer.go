package feed

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"lycheepond/core/plat"
	"lycheepond/core/ring"
	"lycheepond/core/store"
	"lycheepond/core/wire"
)

// peerTimeout bounds a fetch from one peer. 21,000 customers are about 10 MB.
const peerTimeout = 10 * time.Second

// ErrTruncated reports a peer whose link ended too early or that stated another
// number of objects than arrived.
var ErrTruncated = errors.New("feed: a peer's snapshot was cut short: another peer is asked, or the same one again")

// Dialer opens a connection to a link address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewPeerFetch returns the Fetch of the peer at a link address. self and keys are
// called for each fetch, because keys are replaced without a restart.
func NewPeerFetch(address string, dial Dialer, self func() wire.Hello, keys func() wire.Keys) Fetch {
	return func(ctx context.Context) (plat.Batch, error) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		conn, err := dial(ctx, address)
		if err != nil {
			return plat.Batch{}, eris.Wrapf(err, "feed: peer %s", address)
		}
		own := self()
		peer, err := wire.Handshake(ctx, conn, own, keys())
		if err != nil {
			conn.Close()
			return plat.Batch{}, eris.Wrapf(err, "feed: peer %s", address)
		}
		return fetch(ctx, wire.New(conn, peer, wire.Config{IdleHeartbeat: own.IdleHeartbeat()}))
	}
}

// fetchQueueSize is the number of messages that may be queued between the link and
// collect.
const fetchQueueSize = 256

// fetch requests everything in force at the peer over link, and closes the link.
func fetch(ctx context.Context, link *wire.Link) (plat.Batch, error) {
	received := ring.New[wire.Message](fetchQueueSize)
	ended := make(chan error, 1)
	go func() {
		ended <- link.Run(ctx, func(m wire.Message) { _ = received.Put(ctx, m) })
	}()
	if err := link.Send(new(wire.Fetch)); err != nil {
		link.Close()
		<-ended
		return plat.Batch{}, err
	}
	b, err := collect(ctx, received, link.Done())
	link.Close()
	drain(received, ended)
	return b, err
}

// drain discards the remaining messages until the link has ended, so that the link's
// reader is not blocked.
func drain(received *ring.Ring[wire.Message], ended <-chan error) {
	for {
		select {
		case <-received.Items():
		case <-ended:
			return
		}
	}
}

// collect receives the objects of a fetch until FetchDone.
func collect(ctx context.Context, received *ring.Ring[wire.Message], done <-chan struct{}) (plat.Batch, error) {
	var b plat.Batch
	for {
		var m wire.Message
		select {
		case m = <-received.Items():
		case <-ctx.Done():
			return b, ctx.Err()
		case <-done:
			// Messages that arrived before the end are still in the queue.
			select {
			case m = <-received.Items():
			default:
				return b, ErrTruncated
			}
		}
		switch m := m.(type) {
		case *wire.ObjectUpdate:
			b.Events = append(b.Events, EventOf(m))
		case *wire.FetchDone:
			b.Version = m.Version
			if int(m.Count) != len(b.Events) {
				return b, ErrTruncated
			}
			return b, nil
		}
	}
}

// EventOf returns the change that m carries.
func EventOf(m *wire.ObjectUpdate) plat.Event {
	return plat.Event{Deleted: m.Deleted, Object: plat.Object{Kind: m.ObjectKind, Name: m.Name, Version: m.Version, Data: m.Data}}
}

// UpdateOf returns the message that carries a change.
func UpdateOf(ev plat.Event) *wire.ObjectUpdate {
	o := ev.Object
	return &wire.ObjectUpdate{ObjectKind: o.Kind, Name: o.Name, Version: o.Version, Deleted: ev.Deleted, Data: o.Data}
}

// SendAll sends everything in force to a peer, in answer to its wire.Fetch. It waits
// for room on the link, so the link's handler must not call it directly.
func SendAll(ctx context.Context, s *store.Store, link *wire.Link) error {
	// The version is read first: what is accepted meanwhile is newer than it.
	complete := s.CompleteVersion()
	all := s.All()
	if ev, ok := rosterEvent(s); ok {
		all = append(all, ev)
	}
	for _, ev := range all {
		if err := link.SendWait(ctx, UpdateOf(ev)); err != nil {
			return err
		}
	}
	return link.SendWait(ctx, &wire.FetchDone{Version: complete, Count: uint32(len(all))})
}

// fallBackToPeers reads from the peers when the platform has not provided a
// configuration within PeerDelay.
func (f *Feed) fallBackToPeers(ctx context.Context) {
	t := time.NewTimer(f.cfg.PeerDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.ready:
	case <-t.C:
		f.loadFromPeers(ctx)
	}
}

// loadFromPeers reads from all peers and keeps the newest version of each object. It
// does nothing once a peer has returned a configuration.
func (f *Feed) loadFromPeers(ctx context.Context) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.peersLoaded || len(f.cfg.Peers) == 0 {
		return
	}
	type answer struct {
		batch plat.Batch
		err   error
	}
	answers := make(chan answer, len(f.cfg.Peers))
	for _, fetch := range f.cfg.Peers {
		go func() {
			b, err := fetch(ctx)
			answers <- answer{b, err}
		}()
	}
	changed, found := 0, false
	var errs []error
	for range f.cfg.Peers {
		a := <-answers
		if a.err != nil {
			errs = append(errs, a.err)
			continue
		}
		extractRoster(f.cfg.Store, &a.batch)
		n, rejected := f.cfg.Store.AcceptList(plat.AnyKind, a.batch)
		f.reportBatch(n, rejected)
		changed += n
		found = found || len(a.batch.Events) > 0
	}
	if !found {
		f.note(Note{Kind: NoteNoPeers, Err: errors.Join(append(errs, ErrNoPeers)...)})
		return
	}
	f.peersLoaded = true
	f.note(Note{Kind: NoteFromPeers, Changed: changed})
	f.markReady()
}
