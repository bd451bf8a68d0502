package answer

import (
	"bytes"
	"hash/crc32"
	"testing"

	"pgregory.net/rapid"

	"lycheepond/core/wire"
)

func endOf(parts [][]byte) *wire.End {
	e := &wire.End{Chunks: uint32(len(parts)), Complete: true}
	for _, p := range parts {
		e.Bytes += uint64(len(p))
		e.CRC = crc32.Update(e.CRC, castagnoli, p)
	}
	return e
}

// Pieces arrive twice, late and in any order because a link broke and was restored.
// The assembled answer must be whole and unchanged.
func TestPiecesInAnyOrderAreAssembled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOf(rapid.Byte()), 1, 20).Draw(t, "parts")
		order := rapid.Permutation(seqs(len(parts))).Draw(t, "order")
		copies := rapid.SliceOfN(rapid.IntRange(0, len(parts)-1), 0, 10).Draw(t, "copies")
		var a Answer
		var got bytes.Buffer
		emit := func(b []byte) { got.Write(b) }
		endAt := rapid.IntRange(0, len(order)).Draw(t, "end at")
		var v Verdict
		for i, n := range append(order, copies...) {
			if i == endAt {
				v = a.Finish(endOf(parts))
			}
			v = a.Push(uint32(n), parts[n], emit)
		}
		if v != Complete {
			v = a.Finish(endOf(parts))
		}
		if v != Complete || !bytes.Equal(got.Bytes(), bytes.Join(parts, nil)) {
			t.Fatalf("verdict %d, %d of %d bytes", v, got.Len(), len(bytes.Join(parts, nil)))
		}
	})
}

// seqs returns the numbers from 0 to n-1.
func seqs(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// The endpoint's connection breaks, and the agent sends fewer or other bytes than
// the end says. If that were not detected, a user would take the part for the whole
// answer.
func TestDamageIsDetected(t *testing.T) {
	parts := [][]byte{[]byte("one"), []byte("two")}
	discard := func([]byte) {}
	t.Run("missing", func(t *testing.T) {
		var a Answer
		a.Push(0, parts[0], discard)
		if v := a.Finish(endOf(parts)); v != Gap {
			t.Errorf("verdict %d", v)
		}
	})
	t.Run("other bytes", func(t *testing.T) {
		var a Answer
		a.Push(0, parts[0], discard)
		a.Push(1, []byte("tow"), discard)
		if v := a.Finish(endOf(parts)); v != Broken {
			t.Errorf("verdict %d", v)
		}
	})
	t.Run("too many", func(t *testing.T) {
		var a Answer
		for i := range uint32(3) {
			a.Push(i, parts[0], discard)
		}
		if v := a.Finish(endOf(parts)); v != Broken {
			t.Errorf("verdict %d", v)
		}
	})
	t.Run("not whole", func(t *testing.T) {
		var a Answer
		a.Push(0, parts[0], discard)
		if v := a.Finish(&wire.End{Chunks: 1, Reason: wire.ReasonBroken}); v != Broken {
			t.Errorf("verdict %d", v)
		}
	})
}
