package structs

import "time"

// Request is one request of a caller, to be run on a backend server.
type Request struct {
	// ID is chosen by the caller. It is a ULID for non-idempotent requests.
	ID            string `json:"id"`
	Class         string `json:"class"`
	NonIdempotent bool   `json:"non_idempotent"`
	Payload       []byte `json:"payload"`
}

// Status tells what became of a request or a submission.
type Status string

// The statuses of an answer to a caller.
const (
	// StatusCompleted means that the whole answer is present.
	StatusCompleted Status = "completed"
	// StatusNotRun means that the work was certainly not run.
	StatusNotRun Status = "not_run"
	// StatusUnknown means that the work may or may not have run.
	StatusUnknown Status = "unknown"
)

// Outcome is what a caller is told about its request.
type Outcome struct {
	Status Status `json:"status"`
	// Reason is set unless Status is completed.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is set for not_run when a retry may succeed.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Body is the backend server's whole answer.
	Body []byte `json:"body,omitempty"`
}
