// Package answer puts the pieces of one answer together, in order, and tells a
// whole answer from a broken one.
package answer

import (
	"hash/crc32"

	"lycheepond/core/wire"
)

// Verdict tells how an answer stands.
type Verdict uint8

// The verdicts on an answer.
const (
	// Open: more pieces are to come.
	Open Verdict = iota
	// Gap: pieces are missing; ask for the answer again from Next on.
	Gap
	// Whole: every piece arrived and the sums agree.
	Whole
	// Broken: the answer is truncated or damaged and stays so.
	Broken
)

// maxHeld is how many pieces that came too early are kept. Links are ordered,
// so only frames that overtook each other across a broken link wait here.
const maxHeld = 256

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Answer is the state of one answer. It is owned by one goroutine.
type Answer struct {
	// next is the number of the first piece that has not been passed on.
	next  uint32
	bytes uint64
	// crc covers exactly the pieces before next.
	crc uint32
	// held are pieces after next; nil until the first one.
	held map[uint32][]byte
	end  *wire.End
}

// Next returns the number of the first missing piece.
func (a *Answer) Next() uint32 { return a.next }

// Bytes returns how many bytes were passed on.
func (a *Answer) Bytes() uint64 { return a.bytes }

// Push takes a piece and passes on what is in order now. Pieces that were
// passed on before are dropped.
func (a *Answer) Push(seq uint32, data []byte, pass func([]byte)) Verdict {
	switch {
	case seq < a.next:
		return a.verdict()
	case seq > a.next:
		return a.hold(seq, data)
	}
	a.take(data, pass)
	for len(a.held) > 0 {
		data, ok := a.held[a.next]
		if !ok {
			break
		}
		delete(a.held, a.next)
		a.take(data, pass)
	}
	return a.verdict()
}

func (a *Answer) take(data []byte, pass func([]byte)) {
	a.next++
	a.bytes += uint64(len(data))
	a.crc = crc32.Update(a.crc, castagnoli, data)
	pass(data)
}

func (a *Answer) hold(seq uint32, data []byte) Verdict {
	if len(a.held) >= maxHeld {
		return Gap
	}
	if a.held == nil {
		a.held = make(map[uint32][]byte)
	}
	a.held[seq] = data
	return a.verdict()
}

// Finish takes the end of the answer. Pieces may still be missing then.
func (a *Answer) Finish(e *wire.End) Verdict {
	if a.end == nil || !a.end.Complete {
		a.end = e
	}
	return a.verdict()
}

// Resume forgets an end that came before its pieces; the agent is asked for
// the rest and will end the answer again.
func (a *Answer) Resume() {
	a.end = nil
	clear(a.held)
}

// End returns the end of the answer, nil while it has not arrived.
func (a *Answer) End() *wire.End { return a.end }

func (a *Answer) verdict() Verdict {
	e := a.end
	switch {
	case e == nil:
		return Open
	case !e.Complete:
		return Broken
	case a.next < e.Chunks:
		return Gap
	case a.next > e.Chunks, a.bytes != e.Bytes, a.crc != e.CRC:
		return Broken
	}
	return Whole
}
