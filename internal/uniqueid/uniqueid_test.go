package uniqueid

import (
	"bytes"
	"crypto/rand"
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

// TestRandomBitsComeFromTheOperatingSystem guards against a generator that is seeded with the time of day:
// two processes that started at the same moment had one identity, and both owned one term (issue 28).
func TestRandomBitsComeFromTheOperatingSystem(t *testing.T) {
	is := is.New(t)
	system := rand.Reader
	defer func() { rand.Reader = system }()
	bits := []byte("ten bytes.")
	rand.Reader = bytes.NewReader(bits)
	id, err := ulid.ParseStrict(New())
	is.NoErr(err)
	is.Equal(id.Entropy(), bits)
}
