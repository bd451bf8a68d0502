// Package feed keeps a store at the state of the platform: a watch of all
// objects and one of the instance list, and the peers when the platform is
// away at the start.
package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/store"
)

// Config says what to feed and from where.
type Config struct {
	Platform *plat.Client
	Store    *store.Store
	// Peers fetch everything that a peer has in force, one function a peer;
	// none has no peers. See Dial.
	Peers []Fetch
	// Random returns a number in [0,1) that spreads retries.
	Random func() float64
	// Wait is how long a watch waits; zero means DefaultWait.
	Wait time.Duration
	// Every is the shortest time from one watch to the next; zero means
	// DefaultEvery.
	Every time.Duration
	// Patience is how long a start waits for the platform before it asks the
	// peers too; zero means DefaultPatience.
	Patience time.Duration
	// Note hears what happens, one call at a time; nil hears nothing.
	Note func(Note)
}

// Fetch returns what a peer has in force. The batch's version is the one up to
// which the peer knows every object.
type Fetch func(ctx context.Context) (plat.Batch, error)

// DefaultWait is how long a watch waits at the platform. An entry makes two
// watches, so 420 entries make 28 calls a second while nothing changes.
const DefaultWait = 30 * time.Second

// DefaultEvery bounds the calls while something changes all the time: 420
// entries then make at most 840 watches a second. A change after a quiet half
// second is still heard at once.
const DefaultEvery = 500 * time.Millisecond

// DefaultPatience is how long a start waits for the platform alone. A platform
// that is slow or swallows packets would otherwise keep a new process from its
// work for as long as its calls take to fail.
const DefaultPatience = time.Second

// ErrNoPeers reports that no peer had a configuration.
var ErrNoPeers = errors.New("feed: platform is away and no peer has a configuration: check platform.address and peers")

// Feed keeps one store fed.
type Feed struct {
	cfg Config
	// noteMu keeps calls of Note one at a time.
	noteMu sync.Mutex
	last   atomic.Pointer[Contact]
	away   atomic.Bool
	// ready is closed by readyOnce once the store has a configuration.
	ready     chan struct{}
	readyOnce sync.Once
	// peersMu lets one goroutine ask the peers at a time; asked is set once
	// one has answered.
	peersMu sync.Mutex
	asked   bool
	// sleep waits until a time has passed or ctx ends.
	sleep func(ctx context.Context, d time.Duration)
}

// Contact is one call that the platform answered.
type Contact struct {
	// Asked is when the call was made. What the answer shows may be as old.
	Asked time.Time
	// Answered is when the answer was complete.
	Answered time.Time
}

// New returns a feed that does nothing until Run.
func New(cfg Config) *Feed {
	if cfg.Wait <= 0 {
		cfg.Wait = DefaultWait
	}
	if cfg.Every <= 0 {
		cfg.Every = DefaultEvery
	}
	if cfg.Patience <= 0 {
		cfg.Patience = DefaultPatience
	}
	if cfg.Random == nil {
		cfg.Random = func() float64 { return 0.5 }
	}
	if cfg.Note == nil {
		cfg.Note = func(Note) {}
	}
	return &Feed{cfg: cfg, ready: make(chan struct{}), sleep: sleep}
}

// Ready returns a channel that is closed once the store has a configuration,
// from the platform or from peers.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// Last returns the last contact with the platform; it is zero before the first.
func (f *Feed) Last() Contact {
	if c := f.last.Load(); c != nil {
		return *c
	}
	return Contact{}
}

// Away reports whether the last call to the platform failed.
func (f *Feed) Away() bool { return f.away.Load() }

// Run feeds the store until ctx ends and returns when all that it began has ended.
func (f *Feed) Run(ctx context.Context) error {
	done := make(chan struct{}, 3)
	go func() {
		f.impatient(ctx)
		done <- struct{}{}
	}()
	go func() {
		f.objects(ctx)
		done <- struct{}{}
	}()
	go func() {
		f.instances(ctx)
		done <- struct{}{}
	}()
	<-done
	<-done
	<-done
	return context.Cause(ctx)
}

// answered notes a whole answer.
func (f *Feed) answered(asked time.Time) {
	f.last.Store(&Contact{Asked: asked, Answered: time.Now()})
	if f.away.CompareAndSwap(true, false) {
		f.note(Note{Kind: NoteBack})
	}
}

// failed notes a call without an answer, once for each outage.
func (f *Feed) failed(err error) {
	if f.away.CompareAndSwap(false, true) {
		f.note(Note{Kind: NoteAway, Err: err})
	}
}

func (f *Feed) haveConfig() { f.readyOnce.Do(func() { close(f.ready) }) }
