package place

const (
	// minPrefixBytes is the length of the shortest prefix that is hashed.
	minPrefixBytes = 256
	// bytesPerToken is the assumed length of a token of ordinary text.
	bytesPerToken = 4
)

// MaxPrefixHashes is the maximum number of hashes that Fingerprint returns.
const MaxPrefixHashes = 8

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Fingerprint returns hashes of prefixes of a prompt: of its first 256 bytes,
// 512, 1024 and so on, shortest first. It returns at most MaxPrefixHashes, and
// none for a prompt of less than 256 bytes.
func Fingerprint(prompt []byte) []uint64 {
	var out []uint64
	h, next := uint64(fnvOffset), minPrefixBytes
	for i, c := range prompt {
		h = (h ^ uint64(c)) * fnvPrime
		if i+1 < next {
			continue
		}
		out = append(out, h)
		next *= 2
		if len(out) == MaxPrefixHashes {
			break
		}
	}
	return out
}
