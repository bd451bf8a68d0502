package kept

import "bytes"

const (
	// fieldMemory is how many bytes of memory a field of a head takes besides its text. A head of
	// short fields takes many times its size.
	fieldMemory = 128
	// freeHeadMemory is what a head may take however much the others take. It is more than most
	// requests need.
	freeHeadMemory = 8 << 10
)

// meterHead counts the bytes of a head that have been read towards the memory of all heads. It
// returns false if they take too much.
func (c *conn) meterHead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseReading {
		return true
	}
	n := int64(len(p) + fieldMemory*bytes.Count(p, []byte{'\n'}))
	c.headMemory += n
	total := c.set.headMemory.Add(n)
	return c.set.cfg.HeadMemory == 0 || c.headMemory <= freeHeadMemory || total <= c.set.cfg.HeadMemory
}

// releaseHead subtracts the head of the last request from the memory of all heads. The caller holds
// mu.
func (c *conn) releaseHead() {
	c.set.headMemory.Add(-c.headMemory)
	c.headMemory = 0
}
