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

// peerTimeout bounds a fetch from one peer. 21,000 customers are some 10 MB.
const peerTimeout = 10 * time.Second

// ErrShort reports a peer that said it sent more objects than arrived.
var ErrShort = errors.New("feed: a peer's snapshot was cut short: another peer is asked, or the same one again")

// Dialer opens a connection to a link address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial returns the Fetch of the peer at a link address. self and keys are asked
// for at each fetch, because keys are replaced without a restart.
func Dial(address string, dial Dialer, self func() wire.Hello, keys func() wire.Keys) Fetch {
	return func(ctx context.Context) (plat.Batch, error) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		conn, err := dial(ctx, address)
		if err != nil {
			return plat.Batch{}, eris.Wrapf(err, "feed: peer %s", address)
		}
		own := self()
		peer, err := wire.Open(ctx, conn, own, keys())
		if err != nil {
			conn.Close()
			return plat.Batch{}, eris.Wrapf(err, "feed: peer %s", address)
		}
		return fetch(ctx, wire.New(conn, peer, wire.Config{Idle: own.Idle()}))
	}
}

// fetchRing is how many messages may wait between the link and the collector.
const fetchRing = 256

func fetch(ctx context.Context, link *wire.Link) (plat.Batch, error) {
	got := ring.New[wire.Message](fetchRing)
	ended := make(chan error, 1)
	go func() {
		ended <- link.Run(ctx, func(m wire.Message) { _ = got.Put(ctx, m) })
	}()
	if err := link.Send(new(wire.Fetch)); err != nil {
		link.Close()
		<-ended
		return plat.Batch{}, err
	}
	b, err := collect(ctx, got, link.Done())
	link.Close()
	drain(got, ended)
	return b, err
}

// drain reads what is left, so that the link's reader is not held up, until
// the link has ended.
func drain(got *ring.Ring[wire.Message], ended <-chan error) {
	for {
		select {
		case <-got.Items():
		case <-ended:
			return
		}
	}
}

func collect(ctx context.Context, got *ring.Ring[wire.Message], done <-chan struct{}) (plat.Batch, error) {
	var b plat.Batch
	for {
		var m wire.Message
		select {
		case m = <-got.Items():
		case <-ctx.Done():
			return b, ctx.Err()
		case <-done:
			// What came before the end is still in the ring.
			select {
			case m = <-got.Items():
			default:
				return b, ErrShort
			}
		}
		switch m := m.(type) {
		case *wire.News:
			b.Events = append(b.Events, Event(m))
		case *wire.FetchDone:
			b.Version = m.Version
			if int(m.Count) != len(b.Events) {
				return b, ErrShort
			}
			return b, nil
		}
	}
}

// Event returns the change that a News carries.
func Event(m *wire.News) plat.Event {
	return plat.Event{Gone: m.Gone, Object: plat.Object{Kind: m.Object, Name: m.Name, Version: m.Version, Data: m.Data}}
}

// News returns the message that carries a change.
func News(ev plat.Event) *wire.News {
	o := ev.Object
	return &wire.News{Object: o.Kind, Name: o.Name, Version: o.Version, Gone: ev.Gone, Data: o.Data}
}

// Answer sends a peer everything in force, in answer to its wire.Fetch. It
// waits for room on the link, so the link's handler must not call it itself.
func Answer(ctx context.Context, s *store.Store, link *wire.Link) error {
	// Complete is read first: what is accepted meanwhile is newer than it.
	complete := s.CompleteVersion()
	all := s.All()
	if ev, ok := rosterEvent(s); ok {
		all = append(all, ev)
	}
	for _, ev := range all {
		if err := link.SendWait(ctx, News(ev)); err != nil {
			return err
		}
	}
	return link.SendWait(ctx, &wire.FetchDone{Version: complete, Count: uint32(len(all))})
}

// impatient asks the peers when the platform has not answered for a while.
func (f *Feed) impatient(ctx context.Context) {
	t := time.NewTimer(f.cfg.Patience)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.ready:
	case <-t.C:
		f.fromPeers(ctx)
	}
}

// fromPeers takes the newest of each object that any peer has in force, until
// one has answered.
func (f *Feed) fromPeers(ctx context.Context) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.asked || len(f.cfg.Peers) == 0 {
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
		takeRoster(f.cfg.Store, &a.batch)
		n, refused := f.cfg.Store.AcceptList(plat.AnyKind, a.batch)
		f.report(n, refused)
		changed += n
		found = found || len(a.batch.Events) > 0
	}
	if !found {
		f.note(Note{Kind: NoteNoPeers, Err: errors.Join(append(errs, ErrNoPeers)...)})
		return
	}
	f.asked = true
	f.note(Note{Kind: NoteFromPeers, Changed: changed})
	f.haveConfig()
}
