// Package record deals with an object of the platform that entries write and
// agents follow: conditional writes, which also confirm that the object is
// still in force, and the news to agents.
package record

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// callTimeout bounds one call to the platform.
const callTimeout = 3 * time.Second

// Config is what a Record depends on. All functions must be set.
type Config struct {
	Put    func(ctx context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error)
	Get    func(ctx context.Context, kind, name string) (plat.Object, error)
	Raw    func(kind, name string) (plat.Object, bool)
	Accept func(plat.Event)
	Now    func() time.Duration
}

// Record is one object. Ack is safe for concurrent use; the rest belongs to
// one goroutine.
type Record struct {
	cfg        Config
	kind, name string
	// told holds the epoch that was sent over each link.
	told map[*wire.Link]int64

	mu sync.Mutex
	// epoch was in force at confirmed, when fresh is set: a conditional write
	// that began then has succeeded. A read proves nothing, because it may be
	// answered from the past.
	epoch     int64
	confirmed time.Duration
	fresh     bool
}

// New returns the record of kind/name.
func New(cfg Config, kind, name string) *Record {
	return &Record{cfg: cfg, kind: kind, name: name, told: make(map[*wire.Link]int64)}
}

// Read returns the object in force here.
func (r *Record) Read() (plat.Object, bool) { return r.cfg.Raw(r.kind, r.name) }

// Write puts data with its epoch in force if the object is still at ifVersion.
// When it fails, what the platform has is read, so that the next try may go
// better.
func (r *Record) Write(ctx context.Context, data []byte, epoch, ifVersion int64) error {
	began := r.cfg.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := r.cfg.Put(call, r.kind, r.name, data, ifVersion)
	if err != nil {
		r.refresh(ctx, err)
		return err
	}
	r.mu.Lock()
	r.epoch, r.confirmed, r.fresh = epoch, began, true
	r.mu.Unlock()
	o.Kind, o.Name, o.Data = r.kind, r.name, data
	r.cfg.Accept(plat.Event{Object: o})
	return nil
}

func (r *Record) refresh(ctx context.Context, err error) {
	var away *plat.UnavailableError
	if errors.As(err, &away) {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o, err := r.cfg.Get(call, r.kind, r.name); err == nil {
		r.cfg.Accept(plat.Event{Object: o})
	}
}

// Tell sends the object to every agent that has not heard of its epoch.
// Confirmations change nothing for agents and are not sent.
func (r *Record) Tell(peers []*agents.Peer, version, epoch int64, data []byte) {
	seen := make(map[*wire.Link]int64, len(peers))
	var news *wire.ObjectUpdate
	for _, p := range peers {
		l := p.Link()
		if l == nil {
			continue
		}
		if r.told[l] != epoch {
			if news == nil {
				news = &wire.ObjectUpdate{ObjectKind: r.kind, Name: r.name, Version: version, Data: data}
			}
			if l.Send(news) != nil {
				continue
			}
		}
		seen[l] = epoch
	}
	r.told = seen
}

// Ack fills in what an agent asked about the freshness of the record.
func (r *Record) Ack(ack *wire.LeaseReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh {
		return
	}
	ack.Epoch, ack.Confirmed = r.epoch, true
	ack.AgeMS = uint32((r.cfg.Now() - r.confirmed + time.Millisecond - 1) / time.Millisecond)
}
