// Package bitmix distributes the bits of hashes evenly. FNV gives names that differ only in
// their last letter nearly the same high bits.
package bitmix

// Mix distributes the bits of a hash with the first steps of MurmurHash3's finalizer.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
