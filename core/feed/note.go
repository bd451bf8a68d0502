package feed

// NoteKind is the kind of a Note.
type NoteKind uint8

// The kinds of notes.
const (
	// NoteChanged: objects changed; Changed is set.
	NoteChanged NoteKind = 1 + iota
	// NoteRejected: an object was rejected; Err is set.
	NoteRejected
	// NoteUnavailable: the platform does not answer; Err is set.
	NoteUnavailable
	// NoteAvailable: the platform answers again.
	NoteAvailable
	// NoteFromPeers: the configuration was read from peers; Changed is set.
	NoteFromPeers
	// NoteNoPeers: no peer had a configuration either; Err is set.
	NoteNoPeers
)

// Note reports an event of a feed.
type Note struct {
	Kind NoteKind
	// Changed is the number of objects that changed.
	Changed int
	// Version is the configuration version in force after the event.
	Version int64
	Err     error
}

// note passes n to Config.OnNote.
func (f *Feed) note(n Note) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	f.noteLocked(n)
}

// noteLocked is note for callers that hold noteMu.
func (f *Feed) noteLocked(n Note) {
	n.Version = f.cfg.Store.Version()
	f.cfg.OnNote(n)
}

// reportBatch reports the result of applying a batch.
func (f *Feed) reportBatch(changed int, rejected []error) {
	if changed > 0 {
		f.note(Note{Kind: NoteChanged, Changed: changed})
	}
	for _, err := range rejected {
		f.note(Note{Kind: NoteRejected, Err: err})
	}
}
