// Package feed keeps a store up to date with the platform. It watches all objects and
// the instance list, and reads from peers if the platform is unavailable at the
// start.
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

// Config configures a Feed.
type Config struct {
	Platform *plat.Client
	Store    *store.Store
	// Peers fetch everything in force at a peer, one function per peer; it may be
	// empty. See NewPeerFetch.
	Peers []Fetch
	// Random returns a number in [0,1) for the jitter of retries; nil returns 0.5.
	Random func() float64
	// WatchTimeout is how long a watch waits for changes; zero means
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
	// MinInterval is the shortest time between the starts of two watches while
	// something changes; zero means DefaultMinInterval.
	MinInterval time.Duration
	// PeerDelay is how long a start waits for the platform before it reads from the
	// peers too; zero means DefaultPeerDelay.
	PeerDelay time.Duration
	// OnNote is called with each Note, one call at a time; it may be nil.
	OnNote func(Note)
}

// Fetch returns everything in force at a peer. The version of the batch is the one up
// to which the peer knows every object.
type Fetch func(ctx context.Context) (plat.Batch, error)

// DefaultWatchTimeout is how long a watch waits at the platform. An entry has two
// watches, so 420 entries make 28 calls a second while nothing changes.
const DefaultWatchTimeout = 30 * time.Second

// DefaultMinInterval bounds the number of calls while something changes all the time:
// 420 entries then make at most 840 watches a second. A change after half a second
// without one is still received at once.
const DefaultMinInterval = 500 * time.Millisecond

// DefaultPeerDelay is how long a start waits for the platform alone. Otherwise a
// platform that is slow or drops packets would delay a new process until its calls
// fail.
const DefaultPeerDelay = time.Second

// ErrNoPeers reports that no peer had a configuration.
var ErrNoPeers = errors.New("feed: platform is unavailable and no peer has a configuration: check platform.address and peers")

// Feed keeps one store up to date. Its methods are safe for concurrent use; Run is
// called once.
type Feed struct {
	cfg Config
	// noteMu serializes the calls of Config.OnNote. It also guards changes of
	// unavailable, so that the notes report them in order, and failedAt, the time at
	// which a call last failed.
	noteMu      sync.Mutex
	failedAt    time.Time
	lastContact atomic.Pointer[Contact]
	unavailable atomic.Bool
	// ready is closed through readyOnce once the store has a configuration.
	ready     chan struct{}
	readyOnce sync.Once
	// peersMu allows one goroutine at a time to read from the peers. peersLoaded is
	// set once a peer has returned a configuration.
	peersMu     sync.Mutex
	peersLoaded bool
	// sleep waits between calls. Tests replace it.
	sleep func(ctx context.Context, d time.Duration)
}

// Contact is a call that the platform answered.
type Contact struct {
	// RequestedAt is the time of the call. The answer may show the state of that
	// moment.
	RequestedAt time.Time
	// AnsweredAt is the time when the answer was complete.
	AnsweredAt time.Time
}

// New returns a feed that does nothing until Run.
func New(cfg Config) *Feed {
	if cfg.WatchTimeout <= 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	if cfg.MinInterval <= 0 {
		cfg.MinInterval = DefaultMinInterval
	}
	if cfg.PeerDelay <= 0 {
		cfg.PeerDelay = DefaultPeerDelay
	}
	if cfg.Random == nil {
		cfg.Random = func() float64 { return 0.5 }
	}
	if cfg.OnNote == nil {
		cfg.OnNote = func(Note) {}
	}
	return &Feed{cfg: cfg, ready: make(chan struct{}), sleep: sleep}
}

// Ready returns a channel that is closed once the store has a configuration,
// from the platform or from peers.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// LastContact returns the last call that the platform answered, or the zero Contact if
// there was none yet.
func (f *Feed) LastContact() Contact {
	if c := f.lastContact.Load(); c != nil {
		return *c
	}
	return Contact{}
}

// PlatformUnavailable reports whether the last call to the platform failed.
func (f *Feed) PlatformUnavailable() bool { return f.unavailable.Load() }

// Run keeps the store up to date until ctx ends and returns after all its goroutines
// have ended.
func (f *Feed) Run(ctx context.Context) error {
	done := make(chan struct{}, 3)
	go func() {
		f.fallBackToPeers(ctx)
		done <- struct{}{}
	}()
	go func() {
		f.followObjects(ctx)
		done <- struct{}{}
	}()
	go func() {
		f.followInstances(ctx)
		done <- struct{}{}
	}()
	<-done
	<-done
	<-done
	return context.Cause(ctx)
}

// recordAnswer records a complete answer to a call made at requestedAt. The outage is
// over only if the call was made after the last failure: an answer to an earlier call
// may have been sent before the outage.
func (f *Feed) recordAnswer(requestedAt time.Time) {
	f.lastContact.Store(&Contact{RequestedAt: requestedAt, AnsweredAt: time.Now()})
	if !f.unavailable.Load() {
		return
	}
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	if requestedAt.After(f.failedAt) && f.unavailable.CompareAndSwap(true, false) {
		f.noteLocked(Note{Kind: NoteAvailable})
	}
}

// recordFailure records a call without an answer and reports the first one of each
// outage.
func (f *Feed) recordFailure(err error) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	f.failedAt = time.Now()
	if f.unavailable.CompareAndSwap(false, true) {
		f.noteLocked(Note{Kind: NoteUnavailable, Err: err})
	}
}

// markReady records that the store has a configuration.
func (f *Feed) markReady() { f.readyOnce.Do(func() { close(f.ready) }) }
