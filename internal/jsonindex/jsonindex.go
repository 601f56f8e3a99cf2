// Package jsonindex finds the values of a JSON document and their lines, which
// encoding/json does not report. It is meant for error messages: it reads a document
// as far as it is valid, and decides nothing about its content.
package jsonindex

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxDepth limits the nesting of the values that are indexed. Deeper ones have the
// position of the value that contains them.
const maxDepth = 32

// Path leads to a value: the keys, and the indices of list items, from the root of the
// document.
type Path []string

// String returns the path in the form Routes[2].Advice.DecisionMs.
func (p Path) String() string {
	var b strings.Builder
	for i, step := range p {
		switch _, err := strconv.ParseUint(step, 10, 32); {
		case err == nil:
			b.WriteString("[" + step + "]")
		case i > 0:
			b.WriteString("." + step)
		default:
			b.WriteString(step)
		}
	}
	return b.String()
}

// equalFold reports whether two paths are equal by the rules of encoding/json, which
// ignores the case of keys.
func (p Path) equalFold(other Path) bool {
	if len(p) != len(other) {
		return false
	}
	for i := range p {
		if !strings.EqualFold(p[i], other[i]) {
			return false
		}
	}
	return true
}

// Value is a value of a document.
type Value struct {
	Path Path
	// Raw is the value as the document has it.
	Raw []byte
	// start and end are the offsets of Raw in the document.
	start, end int64
	// isContainer is true for objects and lists.
	isContainer bool
}

// Index has the values of one document.
type Index struct {
	data   []byte
	values []Value
}

// New returns the index of the values of data up to the first fault of its syntax.
func New(data []byte) *Index {
	x := &Index{data: data}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	_ = x.addValue(decoder, nil)
	return x
}

// Values returns the values in the order in which they begin; an object or a list is
// before its items.
func (x *Index) Values() []Value {
	return x.values
}

// addValue reads the next value with all that it contains. New calls it.
func (x *Index) addValue(decoder *json.Decoder, path Path) error {
	start := x.nextStart(decoder.InputOffset())
	position := len(x.values)
	x.values = append(x.values, Value{Path: path, start: start})
	defer func() {
		v := &x.values[position]
		v.end = max(decoder.InputOffset(), start)
		v.Raw = x.data[v.start:v.end]
	}()
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	delim, isContainer := token.(json.Delim)
	if !isContainer {
		return nil
	}
	x.values[position].isContainer = true
	if len(path) >= maxDepth {
		return skipContainer(decoder)
	}
	for i := 0; decoder.More(); i++ {
		step := strconv.Itoa(i)
		if delim == '{' {
			key, err := decoder.Token()
			if err != nil {
				return err
			}
			step, _ = key.(string)
		}
		if err := x.addValue(decoder, append(path[:len(path):len(path)], step)); err != nil {
			return err
		}
	}
	_, err = decoder.Token()
	return err
}

// skipContainer reads the rest of an object or list whose opening bracket has been read.
// addValue calls it for values that are nested too deeply.
func skipContainer(decoder *json.Decoder) error {
	for depth := 1; depth > 0; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// nextStart returns the offset of the first byte from offset on that belongs to a
// value or key, or the length of the document.
func (x *Index) nextStart(offset int64) int64 {
	rest := x.data[min(offset, int64(len(x.data))):]
	return int64(len(x.data) - len(bytes.TrimLeft(rest, " \t\r\n,:")))
}

// Find returns the value at path. Of several with the same keys it returns the last
// one, which encoding/json uses. ok is false if there is none.
func (x *Index) Find(path Path) (v Value, ok bool) {
	for _, candidate := range x.values {
		if candidate.Path.equalFold(path) {
			v, ok = candidate, true
		}
	}
	return v, ok
}

// At returns the innermost value that contains the byte before offset, as
// encoding/json reports the position of a value of a wrong type.
func (x *Index) At(offset int64) (v Value, ok bool) {
	for _, candidate := range x.values {
		if candidate.start < offset && offset <= candidate.end {
			v, ok = candidate, true
		}
	}
	return v, ok
}

// Line returns the line of the value at path, or of the innermost existing value that
// should contain it.
func (x *Index) Line(path Path) int {
	for n := len(path); n >= 0; n-- {
		if v, ok := x.Find(path[:n]); ok {
			return x.LineAt(v.start)
		}
	}
	return 1
}

// Column returns the column of the value at path, or of the innermost existing value that should
// contain it.
func (x *Index) Column(path Path) int {
	for n := len(path); n >= 0; n-- {
		if v, ok := x.Find(path[:n]); ok {
			return x.ColumnAt(v.start)
		}
	}
	return 1
}

// ColumnAt returns the column of the byte at offset, in characters. The first column is 1.
func (x *Index) ColumnAt(offset int64) int {
	offset = max(0, min(offset, int64(len(x.data))))
	lineStart := bytes.LastIndexByte(x.data[:offset], '\n') + 1
	return 1 + utf8.RuneCount(x.data[lineStart:offset])
}

// LineAt returns the line of the byte at offset. The first line is 1.
func (x *Index) LineAt(offset int64) int {
	offset = max(0, min(offset, int64(len(x.data))))
	return 1 + bytes.Count(x.data[:offset], []byte("\n"))
}

// Text returns the value on one line, without spaces, and not longer than limit bytes.
func (v Value) Text(limit int) string {
	var compact bytes.Buffer
	if err := json.Compact(&compact, v.Raw); err != nil {
		compact.Reset()
		_, _ = io.Copy(&compact, bytes.NewReader(bytes.TrimSpace(v.Raw)))
	}
	text := compact.String()
	if len(text) > limit {
		return strings.ToValidUTF8(text[:limit], "") + "..."
	}
	return text
}
