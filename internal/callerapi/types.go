// Package callerapi is the HTTP/JSON interface for callers, which send requests and
// submit, query and cancel jobs. It checks their input and converts it for the
// daemon. Every answer about work reports whether it was completed, was not run, or
// has an unknown outcome.
//
// It runs no work and stores nothing; that is done by the Service that it is given.
// Package operatorapi is the interface for operators.
//
// Read type Service first.
package callerapi

import (
	"context"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
)

// Service carries out the requests of callers. The daemon implements it. Its methods
// are called from many goroutines at once.
type Service interface {
	// Do runs a request and returns once its outcome is decided, or with status
	// unknown when ctx ends. wait is the time from its arrival to its start.
	Do(ctx context.Context, req structs.Request) (outcome structs.Outcome, wait time.Duration)
	// SubmitJob accepts a job. The status is completed once the acceptance is on
	// the log.
	SubmitJob(ctx context.Context, job structs.Job) structs.Outcome
	// JobStatus returns the status of a job, or nil if it is not known.
	JobStatus(ctx context.Context, id string) (*jobstate.JobStatus, error)
	// CancelJob cancels a job on behalf of who. The status is completed once the
	// cancellation is on the log.
	CancelJob(ctx context.Context, id, who string) structs.Outcome
	// Class returns a class of the configuration in force. hasConfig is false while
	// the VM has no configuration.
	Class(name string) (class structs.Class, found, hasConfig bool)
	// Team reports whether a team is in the configuration in force.
	Team(name string) bool
}

// Limits are the bounds on the input of callers that the settings of the VM give.
type Limits struct {
	// MaxPayloadBytes bounds the payload of a request and of a task group.
	MaxPayloadBytes int
	// MaxTasks bounds the number of tasks of a job, over all its groups.
	MaxTasks int
}

// RequestBody is the body of POST /v1/requests. The request is non-idempotent if
// the body or the class marks it as such.
type RequestBody struct {
	ID            string `json:"id"`
	Class         string `json:"class"`
	NonIdempotent bool   `json:"non_idempotent"`
	Payload       []byte `json:"payload"`
}

// Answer is the body of the answers to POST /v1/requests, POST /v1/jobs and
// DELETE /v1/jobs/:id, unless the input was faulty.
type Answer struct {
	ID     string         `json:"id"`
	Status structs.Status `json:"status"`
	Reason string         `json:"reason,omitempty"`
	// RetryAfterMS is set with status not_run if a retry may succeed.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Body         []byte `json:"body,omitempty"`
}

// JobBody is the body of POST /v1/jobs.
type JobBody struct {
	ID     string      `json:"id"`
	Team   string      `json:"team"`
	Class  string      `json:"class"`
	Groups []GroupBody `json:"groups"`
}

// GroupBody is a group of identical tasks of a job.
type GroupBody struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	// CPU is in cores.
	CPU float64 `json:"cpu"`
	// Memory has a unit, such as "512MiB" or "2GiB".
	Memory       string `json:"memory"`
	Accelerators int64  `json:"accelerators"`
	Gang         bool   `json:"gang"`
	Service      bool   `json:"service"`
	// RunTime is a duration with a unit, such as "90s". It is empty if unknown.
	RunTime string `json:"run_time"`
	Payload []byte `json:"payload"`
}

// ErrorBody is the body of the answer to faulty input: the fault, the field and its
// value, and what would be accepted.
type ErrorBody struct {
	Error string `json:"error"`
	Field string `json:"field"`
	Value string `json:"value"`
	Bound string `json:"bound"`
}

// waitHeader is the response header with the time from the arrival of a request to
// its start, in milliseconds.
const waitHeader = "X-Wait-Start-Ms"
