package fakes

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultTokens = 16
	// vocabularySize is the number of distinct tokens, which are numbers of up to three digits in
	// base 36.
	vocabularySize = 36 * 36 * 36
)

var tokensPattern = regexp.MustCompile(`tokens=(\d+)`)

// TokenCount returns the number of output tokens that a prompt requests by "tokens=N", or
// defaultTokens.
func TokenCount(prompt string) int {
	mat := tokensPattern.FindStringSubmatch(prompt)
	if mat == nil {
		return defaultTokens
	}
	num, err := strconv.Atoi(mat[1])
	if err != nil {
		return defaultTokens
	}
	return num
}

// Token returns the output token with an index. It depends only on the prompt and the index, so
// that every engine produces the same answer.
func Token(prompt string, idx int) string {
	sum := xxhash.Sum64String(strconv.Itoa(idx) + prompt)
	return strconv.FormatUint(sum%vocabularySize, 36) + " "
}

// ExpectedAnswer returns the complete answer of an Engine to a prompt.
func ExpectedAnswer(prompt string) string {
	var bld strings.Builder
	for idx := range TokenCount(prompt) {
		bld.WriteString(Token(prompt, idx))
	}
	return bld.String()
}
