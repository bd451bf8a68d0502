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

// Timing and queue sizes of links. A peer counts as dead after three missed
// heartbeats.
const (
	// DefaultHeartbeat is the default heartbeat period: the longest time for which a
	// healthy peer sends nothing.
	DefaultHeartbeat = time.Second
	// MissedHeartbeats is the number of missed heartbeats after which a peer counts
	// as dead.
	MissedHeartbeats = 3
	// queueSize is the capacity of each of a link's two queues, in messages. At
	// 31,000 tokens a second over 115 links it holds several seconds of output.
	queueSize = 1024
)

// ErrSilent reports a peer that missed its heartbeats.
var ErrSilent = errors.New("wire: peer missed its heartbeats: it is stopped, paused or cut off; the link is closed and dialled again")

// ErrClosed reports a send on a link that has ended.
var ErrClosed = errors.New("wire: link closed: offer the request to another agent")

// Counts holds a link's traffic in bytes of frames, without TCP and IP headers.
type Counts struct {
	// ControlIn and ControlOut count everything but callers' requests and answers.
	ControlIn, ControlOut uint64
	// DataIn and DataOut count callers' requests and answers.
	DataIn, DataOut uint64
}

// Link is one connection to another lycheepond process. Its methods are safe for
// concurrent use; Run is called once.
type Link struct {
	conn net.Conn
	// timedConn is conn with its deadlines managed; all frames pass through it.
	timedConn *deadlineConn
	peer      Hello
	// sendQueue holds the messages of Send and bulkQueue those of SendWait. They are
	// separate because the producers of answers fill their queue whenever the peer
	// reads more slowly than they write. In one shared queue a claim or a return
	// would then find no room and end the link, just when the load is highest.
	sendQueue, bulkQueue *ring.Ring[Message]
	// done is closed by Run when the link has ended.
	done chan struct{}
	// cancel ends the link; the cause of the first call is kept.
	cancel context.CancelCauseFunc
	ctx    context.Context
	// sendCtx ends when no more messages are accepted: through stopSends or with ctx.
	sendCtx   context.Context
	stopSends context.CancelFunc
	// finish is closed once, through finishOnce, when the link is to end after
	// writing its queued messages.
	finish     chan struct{}
	finishOnce sync.Once
	// newHeartbeat returns the heartbeat to send on an idle link.
	newHeartbeat func() Message
	heartbeat    time.Duration
	liveness     *liveness
	// lastOut is the time of the last write in nanoseconds since start.
	lastOut atomic.Int64
	start   time.Time
	// queuedMessages and writtenMessages count messages. They are equal when the
	// kernel has accepted every message that was sent.
	queuedMessages, writtenMessages atomic.Uint64

	controlIn, controlOut, dataIn, dataOut atomic.Uint64
}

// Config configures a link.
type Config struct {
	// Heartbeat is the longest time without a message while requests are on the link;
	// zero means DefaultHeartbeat.
	Heartbeat time.Duration
	// IdleHeartbeat is the longest time without a message on a link that carries no
	// requests and has no changed state to report. A value below Heartbeat means
	// Heartbeat. The peer's Hello may ask for a shorter time.
	IdleHeartbeat time.Duration
	// NewHeartbeat returns the heartbeat to send; nil sends an empty Heartbeat.
	NewHeartbeat func() Message
}

// New returns a link over conn to the peer whose Hello the handshake returned. It
// sends and reads nothing until Run.
func New(conn net.Conn, peer Hello, cfg Config) *Link {
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.NewHeartbeat == nil {
		cfg.NewHeartbeat = func() Message { return new(Heartbeat) }
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	sendCtx, stopSends := context.WithCancel(ctx)
	live := newLiveness(conn, cfg.Heartbeat, min(cfg.IdleHeartbeat, peer.IdleHeartbeat()))
	return &Link{
		conn: conn, timedConn: &deadlineConn{Conn: conn, liveness: live, writeTimeout: cfg.Heartbeat * MissedHeartbeats},
		peer: peer, sendQueue: ring.New[Message](queueSize), bulkQueue: ring.New[Message](queueSize), done: make(chan struct{}),
		finish: make(chan struct{}), ctx: ctx, cancel: cancel, sendCtx: sendCtx, stopSends: stopSends, newHeartbeat: cfg.NewHeartbeat, heartbeat: cfg.Heartbeat, liveness: live, start: time.Now(),
	}
}

// Peer returns the peer's Hello.
func (l *Link) Peer() Hello { return l.peer }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Send queues m without waiting. A full queue means that the peer reads too slowly
// for messages that must not wait: Send then ends the link and returns ring.ErrFull.
// On a link that has ended it returns ErrClosed.
func (l *Link) Send(m Message) error {
	if l.sendCtx.Err() != nil {
		return ErrClosed
	}
	l.queuedMessages.Add(1)
	if err := l.sendQueue.TryPut(m); err != nil {
		l.cancel(err)
		return err
	}
	return nil
}

// SendWait queues m and waits for room until ctx or the link ends. It is for the
// pieces of answers, whose producers can be slowed down. Messages passed to Send
// after m may overtake it; those passed to Send before m arrive before it. SendWait
// returns ErrClosed if the link ends and the error of ctx if ctx ends.
func (l *Link) SendWait(ctx context.Context, m Message) error {
	if l.sendCtx.Err() != nil {
		return ErrClosed
	}
	l.queuedMessages.Add(1)
	if err := l.bulkQueue.TryPut(m); err == nil {
		return nil
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatch := context.AfterFunc(l.sendCtx, cancel)
	defer stopWatch()
	if err := l.bulkQueue.Put(waitCtx, m); err != nil {
		l.queuedMessages.Add(^uint64(0))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return ErrClosed
	}
	return nil
}

// AllWritten reports whether the kernel has accepted every message that was sent.
func (l *Link) AllWritten() bool { return l.queuedMessages.Load() == l.writtenMessages.Load() }

// Close ends the link without writing what is queued. It does not wait for Run to
// return.
func (l *Link) Close() { l.cancel(ErrClosed) }

// Finish makes the link write its queued messages and then close its writing half.
// The link keeps reading until the peer closes the connection after reading
// everything. A peer that does not read would keep the link open, so the owner has to
// limit the time.
func (l *Link) Finish() { l.finishOnce.Do(func() { close(l.finish) }) }

// Counts returns the traffic so far.
func (l *Link) Counts() Counts {
	return Counts{
		ControlIn: l.controlIn.Load(), ControlOut: l.controlOut.Load(),
		DataIn: l.dataIn.Load(), DataOut: l.dataOut.Load(),
	}
}

// Run reads messages and passes each to handle, in order, until the link fails or ctx
// ends. It returns the cause and must be called once. handle runs in the goroutine of
// Run.
func (l *Link) Run(ctx context.Context, handle func(Message)) error {
	defer close(l.done)
	defer l.cancel(ErrClosed)
	stopWatch := context.AfterFunc(ctx, func() { l.cancel(context.Cause(ctx)) })
	defer stopWatch()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		l.handleWriteEnd(l.writeLoop(l.ctx))
	}()
	stopClose := context.AfterFunc(l.ctx, func() { l.conn.Close() })
	defer stopClose()
	l.cancel(l.readLoop(handle))
	l.conn.Close()
	<-writerDone
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return context.Cause(l.ctx)
}

// readLoop reads messages and passes them to handle until an error ends the link.
func (l *Link) readLoop(handle func(Message)) error {
	r := NewReader(l.timedConn)
	if err := l.liveness.start(time.Now()); err != nil {
		return err
	}
	for {
		if err := l.awaitFrame(r); err != nil {
			return err
		}
		m, err := r.Next()
		if err != nil {
			return silentOnTimeout(err)
		}
		if err := l.liveness.recordMessage(m.Kind(), time.Now()); err != nil {
			return err
		}
		l.controlIn.Store(r.controlBytes)
		l.dataIn.Store(r.dataBytes)
		handle(m)
		// The time that handle took does not count as silence of the peer.
		if err := l.liveness.recordReceived(time.Now()); err != nil {
			return err
		}
	}
}

// awaitFrame blocks until a frame has begun to arrive. It returns ErrSilent once the
// peer has been silent for too long.
func (l *Link) awaitFrame(r *Reader) error {
	for {
		err := silentOnTimeout(r.Wait())
		if !errors.Is(err, ErrSilent) || !l.liveness.extendIfAlive(time.Now()) {
			return err
		}
	}
}

// silentOnTimeout replaces a read or write timeout by ErrSilent.
func silentOnTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrSilent
	}
	return err
}
