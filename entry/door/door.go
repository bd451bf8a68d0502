// Package door is the entry's HTTP server for plain requests, which it hands to
// package direct: it reads them, writes answers so that a broken one is seen to
// be broken, and stops without cutting anybody off.
package door

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/entry/direct"
	"lycheepond/entry/heads"
	"lycheepond/entry/kept"
)

const (
	// headerTime is how long a caller may take to send the headers: slower than
	// any that means to be served.
	headerTime = 10 * time.Second
	// maxHeader bounds the headers; operators set lower bounds that callers keep.
	maxHeader = 64 << 10
	// defaultIdle is how long a connection may be idle while the operator does
	// not say.
	defaultIdle = 75 * time.Second
	// noConfigRetry is when to come back to an entry without configuration: after
	// a start it takes some ten milliseconds to read it, longer only while the
	// platform and all peers are away.
	noConfigRetry = 150 * time.Millisecond
	// leavingRetry is when to come back to another entry than one that stops: at
	// once, but for a caller that would not wait at all between two tries.
	leavingRetry = 10 * time.Millisecond
	// notice is how long a balancer that asks each second may take to miss two
	// answers, with a margin.
	notice = 2600 * time.Millisecond
	// lastCall is how much of the grace is kept for closing.
	lastCall = 700 * time.Millisecond
	// lastWords is the part of lastCall in which callers are told what became of
	// requests that are not over: a lost packet is sent again in it.
	lastWords = 400 * time.Millisecond
)

// Refusal is the answer to a request that is not accepted.
type Refusal struct {
	Status int
	// Retry is when to come back; zero if that would not help.
	Retry  time.Duration
	Reason string
}

// Config is what a Door depends on.
type Config struct {
	Listen, Ready string
	// ReadyPath is what the balancer asks for.
	ReadyPath string
	Grace     time.Duration
	// Memory is how many bytes the bodies of all requests may take at once.
	Memory int64
	// ID returns the ID that the caller gave a request.
	ID func(r *http.Request) string
	// Accept reads the head of a request into a job without a body.
	Accept func(r *http.Request, t *route.Table) (*direct.Job, *Refusal)
	// Table returns the configuration in force.
	Table func() *route.Table
	// Informed reports whether configuration and instance list are known.
	Informed func() bool
	Serve    func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result
	// Running returns how many jobs have no final answer yet.
	Running func() int
	Metrics *meter.Set
	Log     *zap.Logger
}

// Door serves callers.
type Door struct {
	cfg Config
	// conns are the callers' connections.
	conns   *kept.Set
	leaving atomic.Bool

	// bodies is how many bytes of bodies are held or about to be read.
	bodies atomic.Int64
}

// New returns a door that does nothing until Run.
func New(cfg Config) *Door {
	d := &Door{cfg: cfg}
	d.conns = kept.New(kept.Config{Bound: d.bound, Metrics: cfg.Metrics, Log: cfg.Log})
	return d
}

// Run serves until ctx ends, and then stops within the grace: the balancer is
// told at once, running requests are served to their end.
func (d *Door) Run(ctx context.Context) error {
	front, err := d.conns.Listen(d.cfg.Listen)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", d.cfg.Ready)
	if err != nil {
		front.Close()
		return err
	}
	return d.serveOn(ctx, front, ready)
}

// serveOn serves callers on front and the balancer on ready.
func (d *Door) serveOn(ctx context.Context, front, ready net.Listener) error {
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeader}
	d.conns.Attach(server)
	asked := &http.Server{
		Handler: http.HandlerFunc(d.ready), ReadHeaderTimeout: headerTime, IdleTimeout: defaultIdle, ErrorLog: logs.Server(d.cfg.Log),
	}
	defer server.Close()
	ended := make(chan error, 2)
	go func() { ended <- server.Serve(front) }()
	go func() { ended <- asked.Serve(ready) }()
	defer asked.Close()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case err := <-ended:
			// What was read is answered all the same.
			d.stop()
			return err
		case <-tick.C:
			d.conns.Sweep()
		case <-ctx.Done():
			d.stop()
			return nil
		}
	}
}

// stop ends the server. For a moment it goes on accepting, since the balancer
// still sends connections here; each answer tells its caller to use another.
func (d *Door) stop() {
	began := time.Now()
	d.leaving.Store(true)
	logs.Info(d.cfg.Log, logs.EventLeaving, zap.Int("running", d.cfg.Running()))
	end := began.Add(d.cfg.Grace - lastCall)
	time.Sleep(min(notice, d.cfg.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// The server's own Shutdown may close a connection of which it has read a
	// part of a request, and return while that request runs.
	if err := d.conns.Drain(ctx); err != nil {
		logs.Warn(d.cfg.Log, logs.EventStopped, zap.Int("interrupted", d.cfg.Running()))
		d.interrupt()
		return
	}
	logs.Info(d.cfg.Log, logs.EventStopped)
}

// interrupt ends what outlived the grace. What became of a request whose answer has
// not begun is told on its open connection: a closed one tells its caller nothing.
func (d *Door) interrupt() {
	d.conns.Cancel(direct.ErrEnding)
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if d.conns.Drain(ctx) != nil {
		d.conns.Close(kept.GraceOver)
	}
}

// Leaving reports whether a planned stop has begun.
func (d *Door) Leaving() bool { return d.leaving.Load() }

// bound returns how long a connection may be idle. It changes with the operator's
// configuration, which a server's fixed IdleTimeout cannot follow.
func (d *Door) bound() time.Duration {
	if limit := d.cfg.Table().Config().Limits.IdleTime; limit > 0 {
		return limit
	}
	return defaultIdle
}

// ready answers the balancer. An entry without configuration or instance list
// would refuse all that it got.
func (d *Door) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.cfg.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.Leaving() || !d.cfg.Informed() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *Door) serve(w http.ResponseWriter, r *http.Request) {
	if !d.conns.Admit(r) {
		panic(http.ErrAbortHandler)
	}
	accepted := time.Now()
	a := d.answerTo(w, r, accepted)
	defer func() {
		if v := recover(); v != nil {
			a.panicked(v)
		}
	}()
	t := d.cfg.Table()
	if d.conns.ArrivedDuringStop(r) {
		a.refuse(&Refusal{Status: http.StatusServiceUnavailable, Retry: leavingRetry, Reason: "leaving"})
		return
	}
	if !d.cfg.Informed() {
		// Nothing is known of routes and keys, so neither may be called unknown.
		a.refuse(&Refusal{Status: http.StatusServiceUnavailable, Retry: noConfigRetry, Reason: "no configuration yet"})
		return
	}
	if limit := t.Config().Limits.HeaderBytes; limit > 0 && heads.Size(r.Header) > limit {
		a.refuse(&Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "headers too large"})
		return
	}
	j, no := d.cfg.Accept(r, t)
	if no != nil {
		a.refuse(no)
		return
	}
	j.AcceptedAt = accepted
	if j.Deadline.IsZero() {
		j.Deadline = accepted.Add(j.Route.Timeout)
	}
	m := &meteredBody{ReadCloser: r.Body, held: &d.bodies, limit: d.cfg.Memory}
	r.Body = m
	defer m.release()
	no = read(w, r, t, j)
	a.read = true
	if no != nil {
		a.refuse(no)
		return
	}
	a.serve(j)
}
