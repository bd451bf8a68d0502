package memory

import "testing"

// Guards against endless answers that leave no memory to answers that begin.
func TestEndlessAnswersLeaveMemory(t *testing.T) {
	const limit, step = 1 << 20, 1 << 10
	b := New(limit)
	held := make([]int64, 50)
	for grew := true; grew; {
		grew = false
		for i := range held {
			if b.Grow(held[i], step, 1) {
				held[i] += step
				grew = true
			}
		}
	}
	free := limit - b.Held()
	if free < limit/int64(len(held)+1)-step {
		t.Errorf("%d bytes of %d are free", free, int64(limit))
	}
	if !b.Grow(0, free/4, 0.5) || b.Grow(0, free, 0.5) {
		t.Error("an answer with half of a share does not get a part of what is free, or gets all of it")
	}
	for _, n := range held {
		b.Release(n)
	}
	if b.Release(free / 4); b.Held() != 0 || !b.Fits(limit/2, 0.5) || b.Fits(limit/2+1, 0.5) || b.Fits(limit+1, 2) {
		t.Errorf("%d bytes are held at the end", b.Held())
	}
}
