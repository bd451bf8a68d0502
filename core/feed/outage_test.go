package feed

import (
	"errors"
	"testing"
	"time"

	"lycheepond/core/store"
)

// An answer from before the outage is handled after the first failure. It must not end
// the outage.
func TestAnswerFromBeforeTheOutageDoesNotEndIt(t *testing.T) {
	notes := make(chan Note, 10)
	f := New(Config{Store: store.New(), OnNote: func(n Note) { notes <- n }})
	requestedAt := time.Now()
	f.recordFailure(errors.New("unavailable"))
	f.recordAnswer(requestedAt)
	if !f.PlatformUnavailable() || len(notes) != 1 {
		t.Errorf("unavailable %v, %d notes", f.PlatformUnavailable(), len(notes))
	}
	f.recordAnswer(time.Now())
	if f.PlatformUnavailable() || (<-notes).Kind != NoteUnavailable || (<-notes).Kind != NoteAvailable {
		t.Error("an answer to a later call does not end the outage")
	}
}

// Nothing changes after an outage, so no watch is answered. The end of the outage must be
// noticed nevertheless.
func TestEndOfOutageIsNoticedWithoutAChange(t *testing.T) {
	p := newPlatform()
	p.put("first")
	f := run(t, p)
	f.waitForClass("first")
	for calls := f.cfg.Platform.Calls(); calls.Read().Watch == 0 || calls.Read().Instances < 2; {
		time.Sleep(time.Millisecond)
	}
	p.update(func() { p.unavailable = true })
	f.waitForNote(NoteUnavailable)
	p.update(func() { p.unavailable = false })
	f.waitForNote(NoteAvailable)
}
