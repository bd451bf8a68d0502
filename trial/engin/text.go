package engin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// DigestPrefix opens the last token of every answer.
const DigestPrefix = "digest:"

const digestDigits = 16

// Digest returns what the last token of the answer to prompt says.
func Digest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:digestDigits]
}

// token returns the text of token i of an answer with want tokens.
func (s *seq) token(i int) string {
	if i == s.want-1 {
		return DigestPrefix + s.digest
	}
	return "t" + strconv.Itoa(i) + " "
}

// Text returns the whole text of the answer to prompt with want tokens.
func Text(prompt string, want int) string {
	s := seq{want: want, digest: Digest(prompt)}
	return string(s.text(nil, want))
}

func (s *seq) text(dst []byte, n int) []byte {
	for i := range n {
		dst = append(dst, s.token(i)...)
	}
	return dst
}
