// Package yamldoc reads a YAML document strictly: unknown keys, repeated keys,
// aliases and missing values are faults. It collects all faults with their lines
// instead of stopping at the first one. JSON is read as well, since it is a subset
// of YAML. The package also parses and formats durations, cores and amounts of
// memory.
//
// It does not know which keys a document may have: packages clusterconfig and
// jobspec, which read configurations and jobs, pass them in. It does not write
// documents.
//
// Read type Reader first.
package yamldoc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"gypsumwinch/internal/fileproblem"
)

// Reader reads the nodes of one document and collects their problems. A faulty
// node is added to the problems; what a method returns for it must not be used
// once Err returns an error. Bool, Cores, Memory and Count accept a nil node, which
// stands for a missing key, and return the zero value for it. In these methods,
// what names the node in messages. A Reader is not safe for concurrent use.
type Reader struct {
	file     string
	problems fileproblem.Problems
}

// NewReader returns a reader for one document. file is the name of the document
// in problems; the file is not opened.
func NewReader(file string) *Reader {
	return &Reader{file: file}
}

// Err returns all problems found, in order of their lines, as an error of type
// fileproblem.Problems. It returns nil if there are none. It is called once the document has
// been read.
func (r *Reader) Err() error {
	return r.problems.Err()
}

// Document parses data and returns the root node. It returns nil if data is
// not valid YAML, is empty or holds more than one document. A panic of the YAML
// library is recovered and added as a problem, because a panic on a published
// configuration would stop every VM.
func (r *Reader) Document(data []byte) (root *yaml.Node) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			r.addAtLine(1, fmt.Sprintf("not valid YAML: %v", panicValue))
			root = nil
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := decoder.Decode(&doc)
	if errors.Is(err, io.EOF) {
		r.addAtLine(1, "the file is empty")
		return nil
	}
	if err != nil {
		r.addSyntaxError(err)
		return nil
	}
	var secondDoc yaml.Node
	if err := decoder.Decode(&secondDoc); err == nil {
		r.addAtLine(secondDoc.Line, "only one YAML document is allowed")
		return nil
	} else if !errors.Is(err, io.EOF) {
		r.addSyntaxError(err)
		return nil
	}
	return doc.Content[0]
}

// Add adds a problem at the line of node, which must not be nil.
func (r *Reader) Add(node *yaml.Node, reason string) {
	r.addAtLine(node.Line, reason)
}

// addAtLine adds a problem at a line, for faults that have no node.
func (r *Reader) addAtLine(line int, reason string) {
	r.problems = append(r.problems, fileproblem.Problem{File: r.file, Line: line, Reason: reason})
}

// syntaxErrorPattern matches the errors of the YAML library that name a line.
var syntaxErrorPattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// addSyntaxError adds an error that the YAML library returned to Document. The
// problem gets the line at the start of the error text, or line 1 if there is none.
func (r *Reader) addSyntaxError(err error) {
	text := err.Error()
	if m := syntaxErrorPattern.FindStringSubmatch(text); m != nil {
		line, _ := strconv.Atoi(m[1])
		r.addAtLine(line, "not valid YAML: "+m[2])
		return
	}
	r.addAtLine(1, "not valid YAML: "+strings.TrimPrefix(text, "yaml: "))
}

// Mapping returns the values of a mapping by key, without those that are faulty.
// A key that is not in allowed, a repeated key, an alias as a value and a null
// value are problems. If node is not a mapping, that is a problem and the result
// is empty. node must not be nil.
func (r *Reader) Mapping(node *yaml.Node, what string, allowed ...string) map[string]*yaml.Node {
	fields := map[string]*yaml.Node{}
	if node.Kind != yaml.MappingNode {
		r.Add(node, what+" must be a mapping with the keys "+strings.Join(allowed, ", "))
		return fields
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		switch {
		case !contains(allowed, key.Value):
			r.Add(key, fmt.Sprintf("unknown key %q in %s; known keys are %s", key.Value, what, strings.Join(allowed, ", ")))
		case fields[key.Value] != nil:
			r.Add(key, fmt.Sprintf("key %q appears twice in %s", key.Value, what))
		case value.Kind == yaml.AliasNode:
			r.Add(value, fmt.Sprintf("%s: aliases are not allowed", key.Value))
		case value.Tag == "!!null":
			r.Add(key, fmt.Sprintf("%s has no value", key.Value))
		default:
			fields[key.Value] = value
		}
	}
	return fields
}

// contains reports whether list contains s. Mapping uses it for the allowed keys.
func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// List returns the items of a sequence. For any other node it adds a problem and
// returns nil. node must not be nil.
func (r *Reader) List(node *yaml.Node, what string) []*yaml.Node {
	if node.Kind != yaml.SequenceNode {
		r.Add(node, what+" must be a list")
		return nil
	}
	return node.Content
}

// namePattern matches 1 to 63 lower case letters, digits and inner hyphens.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name reads the name of the mapping item from node, the value of its name key.
// names holds the lines of the names that were read before; a name that is in it
// is a problem, any other valid one is added. A nil node is a problem at the line
// of item. If item is not a mapping, Mapping has already added a problem, and Name
// adds none. A faulty name is returned nevertheless, for use in messages.
func (r *Reader) Name(item, node *yaml.Node, what string, names map[string]int) string {
	if item.Kind != yaml.MappingNode {
		return ""
	}
	if node == nil {
		r.Add(item, "a "+what+" has no name")
		return ""
	}
	if node.Kind != yaml.ScalarNode || !namePattern.MatchString(node.Value) {
		r.Add(node, fmt.Sprintf("%s name %q must be 1 to 63 lower case letters, digits and inner hyphens", what, node.Value))
		return node.Value
	}
	if line, ok := names[node.Value]; ok {
		r.Add(node, fmt.Sprintf("%s %q is already defined in line %d", what, node.Value, line))
		return node.Value
	}
	names[node.Value] = node.Line
	return node.Value
}

// Bool reads true or false. It returns false for a nil or faulty node.
func (r *Reader) Bool(node *yaml.Node, what string) bool {
	if node == nil {
		return false
	}
	if node.Tag != "!!bool" {
		r.Add(node, fmt.Sprintf("%s must be true or false, is %q", what, node.Value))
		return false
	}
	return strings.EqualFold(node.Value, "true")
}

// Duration reads a duration with a unit, such as 500ms or 2d. ok is false if the
// node is faulty. The duration may be negative. node must not be nil.
func (r *Reader) Duration(node *yaml.Node, what string) (d time.Duration, ok bool) {
	d, err := parseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		r.Add(node, fmt.Sprintf("%s must be a duration with a unit, such as 500ms, 8s, 15m, 4h or 2d, is %q", what, node.Value))
		return 0, false
	}
	return d, true
}

// maxCores is an upper bound on a number of cores. It is far above the size of any
// cluster and keeps sums of quotas from overflowing.
const maxCores = 1_000_000_000

// Cores reads a number of cores and returns it in thousandths of a core. It returns
// 0 for a nil or faulty node.
func (r *Reader) Cores(node *yaml.Node, what string) int64 {
	if node == nil {
		return 0
	}
	milliCPU, err := parseCores(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		r.Add(node, fmt.Sprintf("%s must be a number of cores from 0 to %d with at most 3 decimals, is %q", what, maxCores, node.Value))
	}
	return milliCPU
}

// Memory reads an amount of memory with the unit MiB, GiB or TiB and returns it in
// mebibytes. It returns 0 for a nil or faulty node.
func (r *Reader) Memory(node *yaml.Node, what string) int64 {
	if node == nil {
		return 0
	}
	mebibytes, err := parseMemory(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		r.Add(node, fmt.Sprintf("%s must be a whole number with the unit MiB, GiB or TiB, is %q", what, node.Value))
	}
	return mebibytes
}

// Count reads a whole number from min to max. It returns 0 for a nil or faulty
// node.
func (r *Reader) Count(node *yaml.Node, what string, min, max int64) int64 {
	if node == nil {
		return 0
	}
	n, err := strconv.ParseInt(node.Value, 10, 64)
	if node.Kind != yaml.ScalarNode || err != nil || n < min || n > max {
		r.Add(node, fmt.Sprintf("%s must be a whole number from %d to %d, is %q", what, min, max, node.Value))
		return 0
	}
	return n
}
