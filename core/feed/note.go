package feed

// NoteKind is the kind of a Note.
type NoteKind uint8

// What can happen to a feed.
const (
	// NoteChanged: objects changed.
	NoteChanged NoteKind = 1 + iota
	// NoteRejected: an object was refused, Err tells why.
	NoteRejected
	// NoteAway: the platform does not answer, Err tells why.
	NoteAway
	// NoteBack: the platform answers again.
	NoteBack
	// NoteFromPeers: the configuration was taken from peers.
	NoteFromPeers
	// NoteNoPeers: no peer had a configuration either.
	NoteNoPeers
)

// Note is one thing that happened to a feed.
type Note struct {
	Kind NoteKind
	// Changed is how many objects changed.
	Changed int
	// Version is the configuration version in force after it.
	Version int64
	Err     error
}

func (f *Feed) note(n Note) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	n.Version = f.cfg.Store.Version()
	f.cfg.Note(n)
}

// report notes what a batch did.
func (f *Feed) report(changed int, refused []error) {
	if changed > 0 {
		f.note(Note{Kind: NoteChanged, Changed: changed})
	}
	for _, err := range refused {
		f.note(Note{Kind: NoteRejected, Err: err})
	}
}
