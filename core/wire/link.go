package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lycheepond/core/ring"
)

// Timing of links. A peer is taken for dead after three missed heartbeats.
const (
	// DefaultHeartbeat is the longest silence of a healthy peer.
	DefaultHeartbeat = time.Second
	// MissedHeartbeats is how many heartbeats may be missed.
	MissedHeartbeats = 3
	// ringSize is how many messages may wait for the writer of one link. At
	// 31,000 tokens a second over 115 links it is several seconds of output.
	ringSize = 1024
)

// ErrSilent reports a peer that missed its heartbeats.
var ErrSilent = errors.New("wire: peer missed its heartbeats: it is stopped, paused or cut off; the link is closed and dialled again")

// ErrClosed reports a send on a link that has ended.
var ErrClosed = errors.New("wire: link closed: offer the request to another agent")

// Counts is a link's traffic in bytes, as framed, without TCP and IP headers.
type Counts struct {
	// ControlIn and ControlOut are everything but callers' requests and answers.
	ControlIn, ControlOut uint64
	// DataIn and DataOut are callers' requests and answers.
	DataIn, DataOut uint64
}

// Link is one connection to another lycheepond process.
type Link struct {
	conn net.Conn
	// steady is conn as frames pass through it.
	steady *steady
	peer   Hello
	// out holds what Send queued and bulk what SendWait queued. They are apart
	// because the producers of answers fill their ring whenever the peer reads
	// more slowly than they write; in one ring a claim or a return would then
	// find no room and end the link, just when there is most to do.
	out, bulk *ring.Ring[Message]
	// done is closed once, by cancel's owner Run, when the link has ended.
	done chan struct{}
	// stop is called with why the link ends; the first call counts.
	stop context.CancelCauseFunc
	ctx  context.Context
	// sends ends, by hush or with ctx, when no message is taken any more.
	sends context.Context
	hush  context.CancelFunc
	// finish is closed, once, when the link is to end after what is queued.
	finish    chan struct{}
	finishing sync.Once
	// beat makes the heartbeat to send on an idle link; it may be nil.
	beat      func() Message
	heartbeat time.Duration
	pace      *pace
	// lastOut is the time of the last write in nanoseconds since start.
	lastOut atomic.Int64
	start   time.Time
	// queued and written count messages; they are equal when all that was
	// sent has been handed to the kernel.
	queued, written atomic.Uint64

	controlIn, controlOut, dataIn, dataOut atomic.Uint64
}

// Config says how a link behaves.
type Config struct {
	// Heartbeat is the longest silence; zero means DefaultHeartbeat.
	Heartbeat time.Duration
	// Idle is the longest silence on a link that carries no requests and has
	// nothing new to say; less than Heartbeat means Heartbeat. The peer's Hello
	// may ask for a shorter one.
	Idle time.Duration
	// Beat makes the heartbeat; nil sends an empty Beat.
	Beat func() Message
}

// New returns a link over conn to a peer whose Hello was checked. It does
// nothing until Run.
func New(conn net.Conn, peer Hello, cfg Config) *Link {
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Beat == nil {
		cfg.Beat = func() Message { return new(Beat) }
	}
	ctx, stop := context.WithCancelCause(context.Background())
	sends, hush := context.WithCancel(ctx)
	p := newPace(conn, cfg.Heartbeat, min(cfg.Idle, peer.Idle()))
	return &Link{
		conn: conn, steady: &steady{Conn: conn, pace: p, patience: cfg.Heartbeat * MissedHeartbeats},
		peer: peer, out: ring.New[Message](ringSize), bulk: ring.New[Message](ringSize), done: make(chan struct{}),
		finish: make(chan struct{}), ctx: ctx, stop: stop, sends: sends, hush: hush, beat: cfg.Beat, heartbeat: cfg.Heartbeat, pace: p, start: time.Now(),
	}
}

// Peer returns the peer's Hello.
func (l *Link) Peer() Hello { return l.peer }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Send queues m without waiting. When the ring is full the peer reads too
// slowly for messages that must not wait: the link is closed.
func (l *Link) Send(m Message) error {
	if l.sends.Err() != nil {
		return ErrClosed
	}
	l.queued.Add(1)
	if err := l.out.Offer(m); err != nil {
		l.stop(err)
		return err
	}
	return nil
}

// SendWait queues m and waits for room until ctx or the link ends. It is for
// the pieces of answers, whose producer may be held back. What Send takes later
// may overtake m; what it took before m arrives before it.
func (l *Link) SendWait(ctx context.Context, m Message) error {
	if l.sends.Err() != nil {
		return ErrClosed
	}
	l.queued.Add(1)
	if err := l.bulk.Offer(m); err == nil {
		return nil
	}
	joined, cancel := context.WithCancel(ctx)
	defer cancel()
	unhook := context.AfterFunc(l.sends, cancel)
	defer unhook()
	if err := l.bulk.Put(joined, m); err != nil {
		l.queued.Add(^uint64(0))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return ErrClosed
	}
	return nil
}

// Idle reports whether all that was sent has been handed to the kernel.
func (l *Link) Idle() bool { return l.queued.Load() == l.written.Load() }

// Close ends the link; Run returns soon after.
func (l *Link) Close() { l.stop(ErrClosed) }

// Finish writes what is queued and then the end of what this process has to say.
// The link reads on until the peer, which has read all of it by then, closes. A peer
// that does not read would keep the link open, so its owner bounds the time.
func (l *Link) Finish() { l.finishing.Do(func() { close(l.finish) }) }

// Counts returns the traffic so far.
func (l *Link) Counts() Counts {
	return Counts{
		ControlIn: l.controlIn.Load(), ControlOut: l.controlOut.Load(),
		DataIn: l.dataIn.Load(), DataOut: l.dataOut.Load(),
	}
}

// Run reads messages and gives each to handle, in order, until the link fails
// or ctx ends. It returns why the link ended and is to be called once.
func (l *Link) Run(ctx context.Context, handle func(Message)) error {
	defer close(l.done)
	defer l.stop(ErrClosed)
	unhook := context.AfterFunc(ctx, func() { l.stop(context.Cause(ctx)) })
	defer unhook()
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.unwritten(l.write(l.ctx))
	}()
	closer := context.AfterFunc(l.ctx, func() { l.conn.Close() })
	defer closer()
	l.stop(l.read(handle))
	l.conn.Close()
	<-written
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return context.Cause(l.ctx)
}

func (l *Link) read(handle func(Message)) error {
	r := NewReader(l.steady)
	for {
		if err := l.pace.listen(time.Now()); err != nil {
			return err
		}
		if err := l.await(r); err != nil {
			return err
		}
		m, err := r.Next()
		if err != nil {
			return silent(err)
		}
		if err := l.pace.pass(m.Kind(), time.Now()); err != nil {
			return err
		}
		l.controlIn.Store(r.control)
		l.dataIn.Store(r.data)
		handle(m)
	}
}

// await returns when a frame has begun to arrive.
func (l *Link) await(r *Reader) error {
	for {
		err := silent(r.Wait())
		if !errors.Is(err, ErrSilent) || !l.pace.patient(time.Now()) {
			return err
		}
	}
}

// silent turns a read that timed out into ErrSilent.
func silent(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrSilent
	}
	return err
}
