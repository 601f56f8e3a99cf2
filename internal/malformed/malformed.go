// Package malformed produces malformed variants of valid messages, for tests that guard
// decoders and handlers against them. A seed yields the same variants each time.
package malformed

import (
	"bytes"
	"iter"
	"math/rand/v2"
	"regexp"
	"strings"
)

// value matches one value in a JSON text: a string, a number, a word or an empty list
// or object.
var value = regexp.MustCompile(`"(?:[^"\\]|\\.)*"|-?\d+(?:\.\d+)?(?:[eE][+-]?\d+)?|true|false|null|\[\]|\{\}`)

// key matches a member of a JSON object without its value.
var key = regexp.MustCompile(`"(?:[^"\\]|\\.)*"\s*:`)

// replacements are values that decoders and arithmetic handle badly.
var replacements = []string{
	"null", "-1", "0", "1", "1e308", "-1e308", "9223372036854775807", "-9223372036854775808", "18446744073709551616",
	"0.5", "NaN", `""`, `"x"`, `"\u0000"`, `"\ud800"`, "[]", "{}", "[[]]", "[null]", `[-1,1e300,""]`, "true",
	strings.Repeat("[", 200) + strings.Repeat("]", 200), `"` + strings.Repeat("a", 5000) + `"`,
}

// Variants returns n malformed variants of the valid messages.
func Variants(seed uint64, n int, valid ...[]byte) iter.Seq[[]byte] {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	return func(yield func([]byte) bool) {
		for range n {
			message := bytes.Clone(valid[rng.IntN(len(valid))])
			for range 1 + rng.IntN(3) {
				message = mutate(rng, message)
			}
			if !yield(message) {
				return
			}
		}
	}
}

// mutate changes a message in one place.
func mutate(rng *rand.Rand, message []byte) []byte {
	if len(message) == 0 {
		return []byte(replacements[rng.IntN(len(replacements))])
	}
	switch rng.IntN(6) {
	case 0:
		return message[:rng.IntN(len(message))]
	case 1:
		message[rng.IntN(len(message))] = byte(rng.IntN(256))
		return message
	case 2:
		return duplicateMember(rng, message)
	default:
		return replaceMatch(rng, message, value, replacements[rng.IntN(len(replacements))])
	}
}

// replaceMatch replaces a random match of a pattern.
func replaceMatch(rng *rand.Rand, message []byte, pattern *regexp.Regexp, text string) []byte {
	matches := pattern.FindAllIndex(message, -1)
	if len(matches) == 0 {
		return message
	}
	m := matches[rng.IntN(len(matches))]
	return append(append(bytes.Clone(message[:m[0]]), text...), message[m[1]:]...)
}

// duplicateMember puts a second member with the same key and another value before one.
func duplicateMember(rng *rand.Rand, message []byte) []byte {
	matches := key.FindAllIndex(message, -1)
	if len(matches) == 0 {
		return message
	}
	m := matches[rng.IntN(len(matches))]
	member := string(message[m[0]:m[1]]) + replacements[rng.IntN(len(replacements))] + ","
	return append(append(bytes.Clone(message[:m[0]]), member...), message[m[0]:]...)
}
