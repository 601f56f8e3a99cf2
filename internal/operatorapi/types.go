// Package operatorapi is the HTTP/JSON interface for operators: its types, the
// handlers of the daemon and the client of the command-line tool. Operators publish
// configurations and query the state of the cluster.
//
// It does not decide publications, which is done in package configstate, and does
// not gather the state that it returns; that is done by the Backend. Package
// callerapi is the interface for callers, who submit requests and jobs.
//
// Read type Backend first, then Client.
package operatorapi

import (
	"fmt"
	"time"

	"gypsumwinch/internal/structs"
)

// Config is the answer to GET /v1/config: the configuration in force on the VM that
// answers, and its publication.
type Config struct {
	// Version is -1 if no configuration is in force.
	Version int64     `json:"version"`
	YAML    string    `json:"yaml"`
	Who     string    `json:"who"`
	Why     string    `json:"why"`
	When    time.Time `json:"when"`
	// LogVersionKnown is false while this VM cannot determine from the log which
	// version is in force, so that it cannot decide publications.
	LogVersionKnown bool `json:"log_version_known"`
}

// Change is one publication in the history of configurations.
type Change struct {
	ID string `json:"id"`
	// Offset is the offset of the publication on the log.
	Offset int64 `json:"offset"`
	// Status is accepted, refused or undecided.
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
	// Base is the version that the publication was to replace.
	Base int64 `json:"base"`
	// Version is the version in force after the publication.
	Version int64     `json:"version"`
	Who     string    `json:"who"`
	Why     string    `json:"why"`
	When    time.Time `json:"when"`
	YAML    string    `json:"yaml,omitempty"`
}

// History is the answer to GET /v1/config/history.
type History struct {
	// ReadThrough is the offset of the last record that this VM has read. A
	// publication that is not listed is not on the log up to this offset.
	ReadThrough int64 `json:"read_through"`
	// LogReachable is false while the list may lack recent changes.
	LogReachable bool     `json:"log_reachable"`
	Changes      []Change `json:"changes"`
}

// HistoryQuery selects changes from the history.
type HistoryQuery struct {
	// ID, if not empty, selects only the change with this id.
	ID string
	// Limit bounds the number of changes if ID is empty. The newest are returned.
	Limit int
}

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	// ID is a ULID. A repeated publication with the same id takes effect once.
	ID string `json:"id"`
	// Base is the version to be replaced. The publication is refused if another one
	// is in force.
	Base int64  `json:"base"`
	YAML string `json:"yaml"`
	Who  string `json:"who"`
	Why  string `json:"why"`
	// Reset replaces the configuration although no VM knows which version is in
	// force. Base is ignored then.
	Reset bool `json:"reset,omitempty"`
}

// PublishStatus is the result of a publication.
type PublishStatus string

// The statuses of a publication.
const (
	PublishAccepted PublishStatus = "accepted"
	// PublishRefused means that the publication has no effect and never will have.
	PublishRefused PublishStatus = "refused"
	// PublishUnknown means that the publication may have taken effect or may still do
	// so. The operator has to look up its id in the history.
	PublishUnknown PublishStatus = "unknown"
)

// PublishResponse is the answer to POST /v1/config.
type PublishResponse struct {
	ID     string        `json:"id"`
	Status PublishStatus `json:"status"`
	// Version is the new version if the publication was accepted, otherwise the
	// version in force.
	Version int64  `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

// AuditEntry is one entry of the audit trail. Its fields are those of records.Audit,
// from which AuditOf converts it.
type AuditEntry struct {
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Why      string    `json:"why"`
	What     string    `json:"what"`
	Accepted bool      `json:"accepted"`
	Reason   string    `json:"reason,omitempty"`
	Version  int64     `json:"version"`
	Before   string    `json:"before,omitempty"`
	After    string    `json:"after,omitempty"`
}

// Audit is the answer to GET /v1/audit, newest entry first.
type Audit struct {
	Entries []AuditEntry `json:"entries"`
}

// Target is the state of the targets of a class: met, missed or without data.
type Target string

// The states of the targets of a class.
const (
	TargetMet    Target = "met"
	TargetMissed Target = "missed"
	// TargetNoData means that nothing of the class has run recently.
	TargetNoData Target = "no_data"
)

// Class is the state of one class as known to this VM and to the owner of its data
// centre. Durations are in nanoseconds.
type Class struct {
	structs.Class
	State Target `json:"state"`
	// Reason names the missed target, if there is one.
	Reason  string        `json:"reason,omitempty"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	WaitP50 time.Duration `json:"wait_p50"`
	WaitP99 time.Duration `json:"wait_p99"`
	// LearnedRunTime is the median of the observed run times, 0 if nothing ran.
	LearnedRunTime time.Duration `json:"learned_run_time"`
}

// Classes is the answer to GET /v1/classes. Version is the version of the
// configuration that defines the classes.
type Classes struct {
	Version int64   `json:"version"`
	Classes []Class `json:"classes"`
}

// Worker is the state of one worker as known to the owner of its data centre.
type Worker struct {
	ID         string            `json:"id"`
	DataCentre string            `json:"data_centre"`
	Rack       string            `json:"rack"`
	Addr       string            `json:"addr"`
	Capacity   structs.Resources `json:"capacity"`
	Free       structs.Resources `json:"free"`
	Tasks      int               `json:"tasks"`
	// State is live, leaving, set_aside or unreachable.
	State string `json:"state"`
	// Reason explains a state other than live.
	Reason string `json:"reason,omitempty"`
	// LeaseLeft is the time until the owner's lease on the worker expires, in
	// nanoseconds.
	LeaseLeft time.Duration `json:"lease_left"`
}

// Workers is the answer to GET /v1/workers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// VM is one VM of the platform's list, with the result of its probes.
type VM struct {
	structs.VM
	// Probe is ok, failing, leaving or empty if the VM is not probed.
	Probe string `json:"probe,omitempty"`
}

// VMs is the answer to GET /v1/vms.
type VMs struct {
	// ListAge is the time since the list was read, in nanoseconds.
	ListAge time.Duration `json:"list_age"`
	VMs     []VM          `json:"vms"`
}

// Owner is the owner of a data centre as known to this VM.
type Owner struct {
	// VM is empty if no owner is known.
	VM       string `json:"vm"`
	Instance string `json:"instance"`
	Term     int64  `json:"term"`
	// Self is true if this process of this VM is the owner.
	Self bool `json:"self"`
	// Limited is true if the owner withholds tasks that an earlier owner may
	// have started where it cannot reach them.
	Limited bool `json:"limited"`
}

// Queue is the number of waiting and running requests or tasks of one class.
type Queue struct {
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Status is the answer to GET /v1/status: the state of the VM that answers.
type Status struct {
	VM         string `json:"vm"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// ConfigVersion is -1 if this VM has no configuration.
	ConfigVersion int64 `json:"config_version"`
	LogReachable  bool  `json:"log_reachable"`
	// LogSince is the time of the last change of LogReachable.
	LogSince time.Time `json:"log_since"`
	Owner    Owner     `json:"owner"`
	// IsIsolated is true while there are other data centres and this VM has recently
	// received a heartbeat from none of them.
	IsIsolated bool `json:"alone"`
	// Draining is true once the process has received SIGTERM.
	Draining bool `json:"draining"`
	// SlotsHeld is the number of slots that this VM holds, by backend server.
	SlotsHeld map[string]int `json:"slots_held"`
	Queues    []Queue        `json:"queues"`
}

// Explanation is the answer to GET /v1/jobs/{id}/explain: why the tasks of a job
// wait.
type Explanation struct {
	Job        string             `json:"job"`
	DataCentre string             `json:"data_centre"`
	State      string             `json:"state"`
	Groups     []GroupExplanation `json:"groups"`
	Tasks      []TaskState        `json:"tasks,omitempty"`
}

// GroupExplanation has the task counts of a group and why its tasks wait.
type GroupExplanation struct {
	Name    string `json:"name"`
	Pending int    `json:"pending"`
	Running int    `json:"running"`
	Done    int    `json:"done"`
	// Reasons lists why the pending tasks cannot start yet.
	Reasons []string `json:"reasons"`
	// CanNeverRun is true if no worker could ever run a task of the group.
	CanNeverRun bool `json:"never"`
}

// TaskState is the state of one task that is running or has failed.
type TaskState struct {
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	State   string `json:"state"`
}

// Failure is a current failure in the cluster, its start, and how the system responds
// to it.
type Failure struct {
	What   string    `json:"what"`
	Since  time.Time `json:"since"`
	Action string    `json:"action"`
}

// Handover is the answer to GET /v1/handover: a summary for a person who takes over
// the cluster. WorkersUp is the number of workers that can run tasks, WorkersAll of
// all workers in the data centre.
type Handover struct {
	Time       time.Time    `json:"time"`
	Status     Status       `json:"status"`
	Classes    []Class      `json:"classes"`
	Changes    []AuditEntry `json:"changes"`
	Failures   []Failure    `json:"failures"`
	WorkersUp  int          `json:"workers_up"`
	WorkersAll int          `json:"workers_all"`
}

// ErrorBody is the JSON form of an error. Field, Value and Bound, which describes
// what would be accepted, are set if the error is about a value in the request.
type ErrorBody struct {
	Message string `json:"error"`
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Bound   string `json:"bound,omitempty"`
}

// Error is an error with its HTTP status. Backends return it, and the client returns
// it for a response that reports an error.
type Error struct {
	// Code is the HTTP status.
	Code int
	ErrorBody
	// IsUnrecognized is set by the client if the response was not in the form that an
	// entry VM sends, so that another machine may have sent it.
	IsUnrecognized bool
}

// Error returns the message with field, value and bound.
func (e *Error) Error() string {
	text := e.Message
	if e.Field != "" {
		text += fmt.Sprintf("; field %s, value %q", e.Field, e.Value)
	}
	if e.Bound != "" {
		text += ", bound " + e.Bound
	}
	return text
}
