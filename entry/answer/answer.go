// Package answer assembles the pieces of one answer in order and checks whether it
// is complete.
package answer

import (
	"hash/crc32"

	"lycheepond/core/wire"
)

// Verdict is the state of an answer.
type Verdict uint8

// The possible verdicts.
const (
	// Incomplete: more pieces are to come.
	Incomplete Verdict = iota
	// Gap: pieces are missing. The answer must be requested again from Next on.
	Gap
	// Complete: every piece has arrived and the checksums match.
	Complete
	// Broken: the answer is truncated or damaged for good.
	Broken
)

// maxEarlyPieces bounds the early pieces that are kept. Links preserve the order of
// messages, so pieces are early only if the link broke between them.
const maxEarlyPieces = 256

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Answer is the state of one answer. It must be used by one goroutine only.
type Answer struct {
	// next is the number of the first piece that has not been emitted, and bytes is
	// the size of the pieces before it.
	next  uint32
	bytes uint64
	// crc covers exactly the pieces before next.
	crc uint32
	// early holds the pieces after next that have arrived, by number. It is nil
	// until the first one.
	early map[uint32][]byte
	// end is nil until the end of the answer arrives.
	end *wire.End
}

// Next returns the number of the first missing piece.
func (a *Answer) Next() uint32 { return a.next }

// Bytes returns how many bytes have been emitted.
func (a *Answer) Bytes() uint64 { return a.bytes }

// Push adds a piece and emits the pieces that are in order now. Pieces that have
// already been emitted are dropped.
func (a *Answer) Push(seq uint32, data []byte, emit func([]byte)) Verdict {
	switch {
	case seq < a.next:
		return a.verdict()
	case seq > a.next:
		return a.storeEarly(seq, data)
	}
	a.accept(data, emit)
	for len(a.early) > 0 {
		data, ok := a.early[a.next]
		if !ok {
			break
		}
		delete(a.early, a.next)
		a.accept(data, emit)
	}
	return a.verdict()
}

// accept emits the next piece.
func (a *Answer) accept(data []byte, emit func([]byte)) {
	a.next++
	a.bytes += uint64(len(data))
	a.crc = crc32.Update(a.crc, castagnoli, data)
	emit(data)
}

// storeEarly keeps a piece until those before it have arrived. It returns Gap if
// there are too many.
func (a *Answer) storeEarly(seq uint32, data []byte) Verdict {
	if len(a.early) >= maxEarlyPieces {
		return Gap
	}
	if a.early == nil {
		a.early = make(map[uint32][]byte)
	}
	a.early[seq] = data
	return a.verdict()
}

// Finish records the end of the answer. Pieces may still be missing when it is
// called.
func (a *Answer) Finish(e *wire.End) Verdict {
	if a.end == nil || !a.end.Complete {
		a.end = e
	}
	return a.verdict()
}

// Resume discards the end and the early pieces, before the answer is requested from
// Next on. The agent then sends the end again.
func (a *Answer) Resume() {
	a.end = nil
	clear(a.early)
}

// End returns the end of the answer, nil if it has not arrived.
func (a *Answer) End() *wire.End { return a.end }

func (a *Answer) verdict() Verdict {
	e := a.end
	switch {
	case e == nil:
		return Incomplete
	case !e.Complete:
		return Broken
	case a.next < e.Chunks:
		return Gap
	case a.next > e.Chunks, a.bytes != e.Bytes, a.crc != e.CRC:
		return Broken
	}
	return Complete
}
