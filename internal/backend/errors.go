// Package backend is the HTTP client of the backend servers. It limits the
// connections to each server to the number of slots held there, checks that an
// answer is complete and belongs to the request, and classifies failures by whether
// the request may have run. It does not choose servers, acquire slots or retry.
// Read Client first, then Kind.
package backend

import (
	"errors"
	"fmt"

	"gypsumwinch/internal/structs"
)

// Kind classifies the failure of an attempt.
type Kind string

// Kinds of failure.
const (
	// KindNotSent means that no byte of the request was written.
	KindNotSent Kind = "not_sent"
	// KindRefused means that the server refused the request and did not start it.
	KindRefused Kind = "refused"
	// KindLeaving means that the server refused the request and did not start it,
	// because the server is leaving.
	KindLeaving Kind = "leaving"
	// KindFailed means that the request ran and the server reported a failure, or
	// that its answer exceeds Options.AnswerLimit.
	KindFailed Kind = "failed"
	// KindLost means that the request may have run, but no valid answer arrived.
	KindLost Kind = "lost"
)

// NotRun reports whether it is certain that the request was not run.
func (k Kind) NotRun() bool {
	return k == KindNotSent || k == KindRefused || k == KindLeaving
}

// Failure is the cause of an error returned by Client.Run.
type Failure struct {
	Kind  Kind
	Cause error
}

// Error implements error. The text is the kind and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %v", f.Kind, f.Cause)
}

// Unwrap returns Cause, for errors.Is and errors.As.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// KindOf returns the kind of an error returned by Client.Run. It returns KindLost for
// an error without a Failure, since the request may have run.
func KindOf(err error) Kind {
	var f *Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return KindLost
}

// newRunError returns the error of Client.Run for an attempt on the server at addr.
func newRunError(addr string, kind Kind, cause error) error {
	return &structs.Error{Step: "run request", Peer: addr, Cause: &Failure{Kind: kind, Cause: cause}}
}
