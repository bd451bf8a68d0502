// Package spread spreads the bits of hashes. FNV leaves the hashes of names that differ in
// their last letter with nearly the same high bits.
package spread

// Bits spreads the bits of a hash by the first steps of MurmurHash3's finalizer.
func Bits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
