// Package record handles an object of the platform that entries write and agents
// follow. It makes conditional writes, which also confirm that the object is in
// force, and sends the object to agents when it has changed.
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

// Config holds the callbacks of a Record. All of them must be set.
type Config struct {
	// Put writes an object to the platform if it has version ifVersion, and Get
	// reads one from there.
	Put func(ctx context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error)
	Get func(ctx context.Context, kind, name string) (plat.Object, error)
	// Raw returns the object in force at this entry, and Accept puts one in force.
	Raw    func(kind, name string) (plat.Object, bool)
	Accept func(plat.Event)
	// Now returns the time on the entry's clock.
	Now func() time.Duration
}

// Record handles one object. FillLeaseReply is safe for concurrent use. All other
// methods must be called by one goroutine.
type Record struct {
	cfg        Config
	kind, name string
	// sentEpochs holds the epoch that was last sent over each link.
	sentEpochs map[*wire.Link]int64

	mu sync.Mutex
	// If isConfirmed is set, epoch was in force at confirmedAt, because a
	// conditional write that began at that time has succeeded. A read confirms
	// nothing, because it may return an older state.
	epoch       int64
	confirmedAt time.Duration
	isConfirmed bool
}

// New returns the record of the object kind/name.
func New(cfg Config, kind, name string) *Record {
	return &Record{cfg: cfg, kind: kind, name: name, sentEpochs: make(map[*wire.Link]int64)}
}

// Read returns the object that is in force at this entry.
func (r *Record) Read() (plat.Object, bool) { return r.cfg.Raw(r.kind, r.name) }

// Write puts data with its epoch in force if the object still has version
// ifVersion. If that fails, it reads the platform's version of the object, so that
// the next write can succeed.
func (r *Record) Write(ctx context.Context, data []byte, epoch, ifVersion int64) error {
	began := r.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := r.cfg.Put(callCtx, r.kind, r.name, data, ifVersion)
	if err != nil {
		r.refresh(ctx, err)
		return err
	}
	r.mu.Lock()
	r.epoch, r.confirmedAt, r.isConfirmed = epoch, began, true
	r.mu.Unlock()
	o.Kind, o.Name, o.Data = r.kind, r.name, data
	r.cfg.Accept(plat.Event{Object: o})
	return nil
}

// refresh puts the platform's version of the object in force after a write failed
// with err. It does nothing if the platform is unavailable.
func (r *Record) refresh(ctx context.Context, err error) {
	var away *plat.UnavailableError
	if errors.As(err, &away) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o, err := r.cfg.Get(callCtx, r.kind, r.name); err == nil {
		r.cfg.Accept(plat.Event{Object: o})
	}
}

// SendToAgents sends the object to every linked agent that has not been sent its
// epoch over the current link. Confirmations keep the epoch and are not sent.
func (r *Record) SendToAgents(peers []*agents.Peer, version, epoch int64, data []byte) {
	sent := make(map[*wire.Link]int64, len(peers))
	var update *wire.ObjectUpdate
	for _, p := range peers {
		l := p.Link()
		if l == nil {
			continue
		}
		if r.sentEpochs[l] != epoch {
			if update == nil {
				update = &wire.ObjectUpdate{ObjectKind: r.kind, Name: r.name, Version: version, Data: data}
			}
			if l.Send(update) != nil {
				continue
			}
		}
		sent[l] = epoch
	}
	r.sentEpochs = sent
}

// FillLeaseReply sets the fields of reply that report to an agent which epoch was
// last confirmed and how long ago, in milliseconds. It leaves them unset if no write
// has succeeded.
func (r *Record) FillLeaseReply(reply *wire.LeaseReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isConfirmed {
		return
	}
	reply.Epoch, reply.Confirmed = r.epoch, true
	reply.AgeMS = uint32((r.cfg.Now() - r.confirmedAt + time.Millisecond - 1) / time.Millisecond)
}
