package simeng

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// DigestPrefix is the prefix of the last token of every answer. The digest of the
// prompt follows.
const DigestPrefix = "digest:"

// digestDigits is the length of a digest in hexadecimal digits.
const digestDigits = 16

// Digest returns the digest of a prompt, the first 16 hexadecimal digits of its
// SHA-256. It is part of the answer, so that a caller can check that the answer
// belongs to its request.
func Digest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:digestDigits]
}

// tokenText returns the text of token i of the answer.
func (s *sequence) tokenText(i int) string {
	if i == s.answerTokens-1 {
		return DigestPrefix + s.digest
	}
	return "t" + strconv.Itoa(i) + " "
}

// AnswerText returns the complete text of the answer to prompt, which has the given
// number of tokens.
func AnswerText(prompt string, tokens int) string {
	s := sequence{answerTokens: tokens, digest: Digest(prompt)}
	return string(s.appendText(nil, tokens))
}

// appendText appends the first n tokens of the answer to dst.
func (s *sequence) appendText(dst []byte, n int) []byte {
	for i := range n {
		dst = append(dst, s.tokenText(i)...)
	}
	return dst
}
