package uniqueid

import (
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
)

// TestIdentifiersDiffer guards against identifiers whose random part is constant or derived
// from the time of day.
func TestIdentifiersDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[[10]byte]bool{}
	for range 1000 {
		id, err := ulid.ParseStrict(New())
		is.NoErr(err)
		random := [10]byte(id.Entropy())
		is.True(!seen[random])
		seen[random] = true
	}
}
