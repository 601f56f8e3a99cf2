package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// The exit codes. docs/cli.md describes them.
const (
	exitOK subcommands.ExitStatus = 0
	// exitError is an error that no other code describes.
	exitError subcommands.ExitStatus = 1
	// exitUsage is an error in the command line or in a file it names.
	exitUsage subcommands.ExitStatus = 2
	// exitRefused means that the request was certainly not carried out.
	exitRefused subcommands.ExitStatus = 3
	// exitNotFound means that the named thing does not exist.
	exitNotFound subcommands.ExitStatus = 4
	// exitUnknown means that the request may have taken effect or may still.
	exitUnknown subcommands.ExitStatus = 5
	// exitNotConnected means that no entry VM could be reached, so that nothing
	// was sent.
	exitNotConnected subcommands.ExitStatus = 6
)

// exitErr is an error with its exit code.
type exitErr struct {
	code subcommands.ExitStatus
	err  error
}

// Error returns the text of the error.
func (e *exitErr) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitErr) Unwrap() error {
	return e.err
}

func exitWith(code subcommands.ExitStatus, format string, args ...any) error {
	return &exitErr{code: code, err: fmt.Errorf(format, args...)}
}

// finish prints an error and returns its exit code.
func finish(err error) subcommands.ExitStatus {
	if err == nil {
		return exitOK
	}
	var usage usageError
	if errors.As(err, &usage) && usage.shown {
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "gypsumwinch:", err)
	return exitCode(err)
}

func exitCode(err error) subcommands.ExitStatus {
	var usage usageError
	var coded *exitErr
	var answer *operatorapi.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, operatorapi.ErrNotConnected):
		return exitNotConnected
	case errors.As(err, &answer) && answer.Code == http.StatusNotFound:
		return exitNotFound
	case errors.As(err, &answer) && answer.Code >= 400 && answer.Code < 500:
		return exitRefused
	default:
		return exitError
	}
}

// mutationError marks an error after a request that changes something: unless
// the request was not sent or an entry VM rejected it, its outcome is unknown.
func mutationError(err error) error {
	if err == nil {
		return nil
	}
	var answer *operatorapi.Error
	switch {
	case errors.Is(err, operatorapi.ErrNotConnected):
		return err
	case errors.As(err, &answer) && !answer.IsUnrecognized && answer.Code < 500:
		return err
	case errors.As(err, &answer) && !answer.IsUnrecognized && answer.Code == http.StatusServiceUnavailable:
		return &exitErr{code: exitRefused, err: err}
	}
	return &exitErr{code: exitUnknown, err: fmt.Errorf("the outcome is unknown: %w", err)}
}
