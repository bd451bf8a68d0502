package direct

import (
	"errors"
	"io"
	"net/http"
	"time"

	"lycheepond/core/trust"
	"lycheepond/entry/hop"
)

const (
	// maxPlain bounds what is held of an answer until it is whole.
	maxPlain = 16 << 20
	// longBuffer is what is read at once of a longer one: a few packets.
	longBuffer = 32 << 10
)

// plain passes an answer on once it is whole, so that a broken one can still be
// made good or told as what it is; a very long one is passed on as it comes.
func (t *task) plain(a *hop.Answer, v *visit) verdict {
	began := time.Now()
	body, err := io.ReadAll(io.LimitReader(a, maxPlain))
	v.basis.Silent, v.basis.Bound = time.Since(began), 0
	if err == nil && !a.Whole() && !promises(a.Status) {
		return t.long(a, v, body)
	}
	if err != nil || !a.Whole() {
		if t.ctx.Err() != nil {
			return verdict{arrived: true, ran: true, res: Result{Why: "time is up"}}
		}
		v.end(trust.Broken)
		return verdict{arrived: true, ran: true, res: Result{Why: broken("answer broke off", err)}}
	}
	v.answered(a)
	if promises(a.Status) {
		// These statuses promise that nothing ran, and the endpoint has not
		// said so.
		return verdict{arrived: true, ran: true, res: Result{Why: "endpoint refused without saying that it did not run"}}
	}
	t.sink.Head(a.Status, a.Header, int64(len(body)))
	if err := errors.Join(t.sink.Write(body), t.sink.Flush()); err != nil {
		return t.untaken(err)
	}
	return done(Complete, "")
}

// long passes the rest of an answer on as it comes: the bound is on what is held,
// and no reason to end an answer that goes on. It can't be made good from here on.
func (t *task) long(a *hop.Answer, v *visit, first []byte) verdict {
	t.begun = true
	t.sink.Head(a.Status, a.Header, a.Length)
	werr := t.sink.Write(first)
	buf := make([]byte, longBuffer)
	for werr == nil {
		began := time.Now()
		n, err := a.Read(buf)
		v.basis.Silent = time.Since(began)
		werr = t.sink.Write(buf[:n])
		if werr != nil || err == nil {
			continue
		}
		if err != io.EOF {
			return t.longBroke(v, err)
		}
		v.answered(a)
		if werr = t.sink.Flush(); werr == nil {
			return done(Complete, "")
		}
	}
	return t.untaken(werr)
}

func (t *task) longBroke(v *visit, err error) verdict {
	got := t.brokeOff(v, err)
	if got.done {
		return got
	}
	return done(Broken, got.res.Why)
}

// answered notes a whole answer.
func (v *visit) answered(a *hop.Answer) {
	if !promises(a.Status) && a.Status != http.StatusGatewayTimeout {
		v.completed()
	}
	if a.Status >= http.StatusInternalServerError {
		v.end(trust.ServerError)
		return
	}
	v.end(trust.Success)
}
