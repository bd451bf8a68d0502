package direct

const (
	// endlessFactor is the multiple of the longest whole answer of its route from which on an
	// answer that is not complete seems to have no end.
	endlessFactor = 4
	// minEndlessBytes is the least length of such an answer.
	minEndlessBytes = 64 << 10
	// lengthDecay is the share by which a shorter answer reduces the longest length of its route.
	lengthDecay = 1.0 / 256
)

// bodyLengths holds the lengths of the longest whole answers by route, in bytes. A length decays
// while shorter answers follow.
type bodyLengths map[string]float64

// observe records a whole answer of n bytes. Attempts of other entries have no route.
func (l bodyLengths) observe(route string, n int64) {
	if route == "" {
		return
	}
	longest := l[route]
	l[route] = max(float64(n), longest-(longest-float64(n))*lengthDecay)
}

// isBeyond reports whether an answer of n bytes is much longer than the whole answers of its
// route. While none is known, the length that can be buffered takes their place.
func (l bodyLengths) isBeyond(route string, n int64) bool {
	longest, ok := l[route]
	if !ok {
		return n > maxBufferedBytes
	}
	return float64(n) > max(endlessFactor*longest, minEndlessBytes)
}

// seemsEndless reports whether so much of an answer has arrived that it probably has no end. A
// sound answer may be that long, so it is still forwarded to its end.
func (a *attempt) seemsEndless() bool {
	if a.received <= minEndlessBytes {
		return false
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.d.bodyLengths.isBeyond(a.route, a.received)
}
