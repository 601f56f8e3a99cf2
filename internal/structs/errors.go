package structs

import "fmt"

// Error is the failure of a call to another process.
type Error struct {
	// Step is the operation that failed, such as "append to jobs".
	Step string
	// Peer is the address or the name of the called process.
	Peer  string
	Cause error
}

// Error returns Step, Peer and Cause in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns Cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error {
	return e.Cause
}
