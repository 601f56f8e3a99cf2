package yamldoc

import (
	"fmt"
	"strings"
)

// Problem is one fault in a document.
type Problem struct {
	// File is the name that was given to NewReader.
	File string
	// Line counts from 1. It is 0 if the fault belongs to no single line.
	Line   int
	Reason string
}

// String returns the problem as "file:line: reason", without the line if that is
// 0.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// Problems is the error that Reader.Err returns for a faulty document. It holds
// every fault found.
type Problems []Problem

// Error returns the problems in their order, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
