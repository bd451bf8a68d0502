package place

// firstBlock is the length in bytes of the shortest prefix that is hashed, and
// bytesPerToken what a token of ordinary text takes.
const (
	firstBlock    = 256
	bytesPerToken = 4
)

// MaxPrefix is the largest number of hashes that Fingerprint makes.
const MaxPrefix = 8

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Fingerprint returns hashes of growing prefixes of a prompt: its first 256
// bytes, 512, 1024 and so on, at most MaxPrefix of them, shortest first.
func Fingerprint(prompt []byte) []uint64 {
	var out []uint64
	h, next := uint64(fnvOffset), firstBlock
	for i, c := range prompt {
		h = (h ^ uint64(c)) * fnvPrime
		if i+1 < next {
			continue
		}
		out = append(out, h)
		next *= 2
		if len(out) == MaxPrefix {
			break
		}
	}
	return out
}
