package jsonindex

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/malformed"
)

const sample = `{
  "a": 1,
  "list": [
    {"b": "x"},
    {"b": [2,
      3]}
  ],
  "a": {"c": true}
}`

// TestLines guards against errors that name a wrong line: of the first of two equal keys,
// where the decoder uses the last, or of no line for a missing value.
func TestLines(t *testing.T) {
	is := is.New(t)
	x := New([]byte(sample))
	is.Equal(x.Line(nil), 1)
	is.Equal(x.Line(Path{"a"}), 8)
	is.Equal(x.Line(Path{"A", "c"}), 8)
	is.Equal(x.Line(Path{"list", "1", "b", "1"}), 6)
	is.Equal(x.Line(Path{"list", "1", "missing"}), 5)
	is.Equal(x.Line(Path{"missing"}), 1)
	v, ok := x.Find(Path{"list", "1"})
	is.True(ok)
	is.Equal(v.Text(100), `{"b":[2,3]}`)
	is.Equal(v.Text(4), `{"b"...`)
	is.Equal(v.Path.String(), "list[1]")
	offset := strings.Index(sample, `"x"`) + 2
	v, ok = x.At(int64(offset))
	is.True(ok)
	is.Equal(v.Path.String(), "list[0].b")
}

// TestMalformedDocuments guards against a panic, or against a line beyond the document, on
// documents that break off, are nested deeply or have other faults.
func TestMalformedDocuments(t *testing.T) {
	check := func(data []byte) {
		x := New(data)
		lines := strings.Count(string(data), "\n") + 1
		for _, v := range x.Values() {
			if line := x.Line(v.Path); line < 1 || line > lines {
				t.Fatalf("document %q: line %d of %v", data, line, v.Path)
			}
			_ = v.Text(10)
		}
		_, _ = x.At(int64(len(data)))
	}
	check(nil)
	check([]byte(strings.Repeat("[", 100_000)))
	check([]byte(strings.Repeat(`{"a":`, 1000)))
	for variant := range malformed.Variants(1, 3000, []byte(sample)) {
		check(variant)
	}
}
