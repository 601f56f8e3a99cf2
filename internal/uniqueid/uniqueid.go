// Package uniqueid creates identifiers that no other process creates.
package uniqueid

import (
	"crypto/rand"

	"github.com/oklog/ulid/v2"
)

// New returns a ULID: 48 bits of the time of day in milliseconds and 80 random bits, as 26
// characters.
//
// Its random bits come from the operating system. Those of ulid.Make come from a generator
// that each process seeds with its time of day, so that two processes that start at the
// same nanosecond create the same identifiers.
func New() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}
