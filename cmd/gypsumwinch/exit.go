package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// Exit codes. docs/cli.md describes them.
const (
	exitOK subcommands.ExitStatus = 0
	// exitFailed means an error that no other code describes.
	exitFailed subcommands.ExitStatus = 1
	// exitUsage means an error in the command line, or a file that cannot be read.
	exitUsage subcommands.ExitStatus = 2
	// exitRefused means that the request was certainly not carried out, or that
	// the file of the request is invalid.
	exitRefused subcommands.ExitStatus = 3
	// exitNotFound means that the named object does not exist.
	exitNotFound subcommands.ExitStatus = 4
	// exitUnknown means that the request may have taken effect or may still do so.
	exitUnknown subcommands.ExitStatus = 5
	// exitNotConnected means that no entry VM could be reached, so that nothing
	// was sent.
	exitNotConnected subcommands.ExitStatus = 6
)

// codedError is an error with the exit code that the tool returns for it.
type codedError struct {
	code subcommands.ExitStatus
	err  error
}

// Error returns the text of the error.
func (e *codedError) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *codedError) Unwrap() error {
	return e.err
}

// codedErrorf formats an error and attaches an exit code.
func codedErrorf(code subcommands.ExitStatus, format string, args ...any) error {
	return &codedError{code: code, err: fmt.Errorf(format, args...)}
}

// reportError prints an error on standard error and returns its exit code, or
// exitOK for nil. Every Execute method returns its result. An error that the flag
// package has already printed is not printed again.
func reportError(err error) subcommands.ExitStatus {
	if err == nil {
		return exitOK
	}
	var usage usageError
	if errors.As(err, &usage) && usage.isPrinted {
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "gypsumwinch:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error. An explicit code takes precedence
// over the one that follows from the HTTP status of an entry VM's answer.
// reportError and publish call it.
func exitCode(err error) subcommands.ExitStatus {
	var usage usageError
	var coded *codedError
	var apiErr *operatorapi.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, operatorapi.ErrNotConnected):
		return exitNotConnected
	case errors.As(err, &apiErr) && apiErr.Code == http.StatusNotFound:
		return exitNotFound
	case errors.As(err, &apiErr) && apiErr.Code >= 400 && apiErr.Code < 500:
		return exitRefused
	default:
		return exitFailed
	}
}

// mutationError returns the error of a request that changes state, with its exit
// code: unless the request was not sent or an entry VM rejected it (with a status
// below 500, or with 503), its outcome is unknown. An error answer that no entry VM
// wrote (Foreign), such as a proxy's, proves nothing. The commands that publish,
// submit and cancel call it.
func mutationError(err error) error {
	if err == nil {
		return nil
	}
	var apiErr *operatorapi.Error
	switch {
	case errors.Is(err, operatorapi.ErrNotConnected):
		return err
	case errors.As(err, &apiErr) && !apiErr.IsUnrecognized && apiErr.Code < 500:
		return err
	case errors.As(err, &apiErr) && !apiErr.IsUnrecognized && apiErr.Code == http.StatusServiceUnavailable:
		return &codedError{code: exitRefused, err: err}
	}
	return &codedError{code: exitUnknown, err: fmt.Errorf("the outcome is unknown: %w", err)}
}
