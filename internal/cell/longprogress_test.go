package cell

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/matryer/is"
)

// TestLongProgressIsDecoded guards against a job that is lost with a change of the owner, and against open runs that nobody stops, since its record was compressed.
func TestLongProgressIsDecoded(t *testing.T) {
	is := is.New(t)
	p := &Progress{State: StateCancelled, DoneOccurrences: "10", Steps: []StepProgress{{Occurrence: 1, LastRun: 2, OpenRuns: []OpenRun{{Index: 3, Run: 2, Worker: "w", Born: 7}}}}}
	value, err := EncodeLongProgress(p)
	is.NoErr(err)
	is.Equal(State(value[0]), StateCancelled)
	is.True(HasOpenRuns(value))
	got, err := DecodeProgress(value)
	is.NoErr(err)
	is.Equal(got, p)
	p.Steps = nil
	value, err = EncodeLongProgress(p)
	is.NoErr(err)
	is.True(!HasOpenRuns(value))
}

// TestMalformedLongProgressIsRefused guards against an entry VM that ends, or runs out of memory, since a compressed record is not valid.
func TestMalformedLongProgressIsRefused(t *testing.T) {
	is := is.New(t)
	var bomb bytes.Buffer
	bomb.WriteByte(byte(StateRunning))
	w := gzip.NewWriter(&bomb)
	_, err := w.Write(make([]byte, maxProgressBytes+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	for _, value := range [][]byte{{byte(StateRunning), gzipStart}, bomb.Bytes(), bomb.Bytes()[:bomb.Len()/2]} {
		_, err := DecodeProgress(value)
		is.True(err != nil)
		is.True(HasOpenRuns(value))
	}
}
