// Package fixedseed sets a fixed seed for the property tests (package rapid) of
// a test binary, so that the result of a test run changes only with the code.
// A package uses it by a blank import in a test file; it exports nothing and is
// not for production code. With -rapid.seed=0, rapid draws a random seed, for a
// longer search.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed replaces the default of the flag -rapid.seed.
const seed = "20261204"

// init sets the flag before the test binary parses its command line, so that a
// -rapid.seed given there takes precedence.
func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
