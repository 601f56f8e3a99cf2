package node

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// packedRecord is a record as the replica keeps it: compressed if it is long. Every VM keeps the
// submissions of all unfinished jobs, and those of jobs with many steps repeat themselves.
type packedRecord []byte

const (
	// minPackedBytes is the length from which a record is compressed. Ordinary submissions have
	// some hundred bytes.
	minPackedBytes = 8 << 10
	// gzipStart is the first byte of compressed data. Records are JSON.
	gzipStart = 0x1f
)

// gzipWriters are reused, since each has tables of hundreds of KB.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // the level is valid
	return w
}}

// packRecord returns a copy of a record.
func packRecord(value []byte) packedRecord {
	if len(value) < minPackedBytes {
		return bytes.Clone(value)
	}
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, err := w.Write(value)
	if err == nil {
		err = w.Close()
	}
	if err != nil || out.Len() >= len(value) {
		return bytes.Clone(value)
	}
	return bytes.Clone(out.Bytes())
}

// unpack returns the record.
func (p packedRecord) unpack() ([]byte, error) {
	if len(p) == 0 || p[0] != gzipStart {
		return p, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, eris.Wrap(err, "decompress record")
	}
	value, err := io.ReadAll(r)
	return value, eris.Wrap(err, "decompress record")
}
