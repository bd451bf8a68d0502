package direct

import (
	"time"

	"lycheepond/core/grace"
	"lycheepond/entry/hop"
)

// checkSendable returns an error if the endpoint of an attempt must not get its request any
// more. outputTokens is how many output tokens are still expected.
func (d *Director) checkSendable(a *attempt, j *Job, outputTokens int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.view.leaving.IsLeaving(a.start):
		return errLeaving
	case !d.view.rests.Empty() && d.view.rests.Left(d.sinceStart(time.Now()), a.start.ID()) > 0:
		return errResting
	}
	a.kind, a.expected = kindOf(j), grace.Work{PromptTokens: j.PromptTokens, OutputTokens: outputTokens}
	if !d.maySend(j, outputTokens, a.predictedWait) {
		return errStopping
	}
	if version, ok := d.versionAt(a); a.required.isSet && (!ok || version != a.required.version) {
		return errOtherVersion
	}
	return nil
}

// observeHead records what the head of any answer, also of one that is not forwarded, states
// about the endpoint that sent it.
func (d *Director) observeHead(a *attempt, answer *hop.Answer) {
	m := d.cfg.ReadMeta(answer)
	if m.WrongEndpoint || !m.Leaving && !m.HasRest {
		return
	}
	d.mu.Lock()
	d.observeRest(a, m)
	isNew := m.Leaving && d.view.leaving.Record(a.start)
	if isNew {
		d.applyLeaving(a.start, "")
	}
	d.mu.Unlock()
	if isNew {
		d.cfg.Client.CloseIdle(a.sentAddr)
	}
}
