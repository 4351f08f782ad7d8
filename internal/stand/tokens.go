package stand

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultTokens = 16
	tokenSpace    = 36 * 36 * 36
)

var tokensPattern = regexp.MustCompile(`tokens=(\d+)`)

// TokenCount returns how many tokens a prompt asks for by "tokens=N".
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

// Token returns the token of an answer by its index; it depends on the prompt alone.
func Token(prompt string, idx int) string {
	sum := xxhash.Sum64String(strconv.Itoa(idx) + prompt)
	return strconv.FormatUint(sum%tokenSpace, 36) + " "
}

// Expected returns the whole answer that an engine gives to a prompt.
func Expected(prompt string) string {
	var bld strings.Builder
	for idx := range TokenCount(prompt) {
		bld.WriteString(Token(prompt, idx))
	}
	return bld.String()
}
