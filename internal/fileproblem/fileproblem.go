// Package fileproblem has the error type of the packages that read files and report
// all their faults with the lines: yamldoc for files in YAML, and platform for those
// of the users' platform.
package fileproblem

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a document.
type Problem struct {
	// File is the name of the document.
	File string `json:"file"`
	// Line counts from 1. It is 0 if the fault belongs to no single line.
	Line int `json:"line"`
	// Column counts the characters of the line from 1. It is 0 if it is not known.
	Column int    `json:"column,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem as "file:line: reason", without the line if that is
// 0.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// Text returns the problem as "file:line:column: reason", without the column if that is 0.
func (p Problem) Text() string {
	if p.Line == 0 || p.Column == 0 {
		return p.String()
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Reason)
}

// Problems is the error for a faulty document. It holds every fault found.
type Problems []Problem

// Err returns the problems in the order of their lines as an error of type Problems,
// or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p.Sorted()
}

// Sorted sorts the problems by their lines and returns them.
func (p Problems) Sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
	return p
}

// Error returns the problems in their order, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
