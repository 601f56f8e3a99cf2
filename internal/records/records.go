// Package records defines the records that the system stores on the platform's log:
// one union type for all streams, encoded as JSON. It does not decide what a record
// means for the state of a stream; packages configstate, ownership, requestlog and
// jobstate do. Read Record first.
package records

import (
	"encoding/json"
	"fmt"
	"time"

	"gypsumwinch/internal/structs"
)

// Names of the streams on the log. Each data centre also has a stream for its jobs,
// whose name JobsStream returns.
const (
	StreamConfig   = "config"
	StreamAudit    = "audit"
	StreamOwners   = "owners"
	StreamRequests = "requests"
)

// JobsStream returns the name of the jobs stream of a data centre.
func JobsStream(dataCentre string) string {
	return "jobs-" + dataCentre
}

// Record is one record of a stream. Exactly one field is set; none in a record of a
// newer version whose type is unknown here.
type Record struct {
	ConfigPublish  *ConfigPublish  `json:"config_publish,omitempty"`
	ConfigRewrite  *ConfigRewrite  `json:"config_rewrite,omitempty"`
	Audit          *Audit          `json:"audit,omitempty"`
	Claim          *Claim          `json:"claim,omitempty"`
	Heartbeat      *Heartbeat      `json:"heartbeat,omitempty"`
	Release        *Release        `json:"release,omitempty"`
	RequestStart   *RequestStart   `json:"request_start,omitempty"`
	RequestOutcome *RequestOutcome `json:"request_outcome,omitempty"`
	JobAssignment  *JobAssignment  `json:"job_home,omitempty"`
	JobAccepted    *JobAccepted    `json:"job_accepted,omitempty"`
	JobCancelled   *JobCancelled   `json:"job_cancelled,omitempty"`
	JobMoved       *JobMoved       `json:"job_moved,omitempty"`
	TaskStart      *TaskStart      `json:"task_start,omitempty"`
	TaskEnd        *TaskEnd        `json:"task_end,omitempty"`
	JobSnapshot    *JobSnapshot    `json:"job_snapshot,omitempty"`
}

// Encode returns r as JSON.
func Encode(r Record) (json.RawMessage, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode log record: %w", err)
	}
	return data, nil
}

// Decode parses one record. Unknown fields are ignored, so that a VM with an older
// version can read a stream to which a newer one writes. A record of an unknown type
// has no field set.
func Decode(data json.RawMessage) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode log record: %w", err)
	}
	return r, nil
}

// ConfigPublish publishes a new configuration. It is accepted if Base is the version
// in force at its offset; the offset becomes the new version.
type ConfigPublish struct {
	// ID identifies the publication, so that copies of it count only once.
	ID   string    `json:"id"`
	Base int64     `json:"base"`
	YAML string    `json:"yaml"`
	Who  string    `json:"who"`
	Why  string    `json:"why"`
	When time.Time `json:"when"`
	// LastReadOffset is the offset of the last record that the publishing VM had read
	// before. Every copy of the publication has a higher offset.
	LastReadOffset int64 `json:"through"`
}

// NoVersion is the base of the first configuration.
const NoVersion int64 = -1

// BaseReset is the base of a publication that replaces any version, for the case that
// no VM can derive the version in force from the log. It is accepted if no other
// version came into force after LastReadOffset.
const BaseReset int64 = -2

// ConfigRewrite repeats the configuration in force before the log deletes the record
// that published it.
type ConfigRewrite struct {
	Version int64 `json:"version"`
	// LastReadOffset is the offset of the last record that the writer had read; Version
	// was in force after it. A publication may be stored between that record and the
	// rewrite, so a reader needs every record after LastReadOffset to use the rewrite.
	LastReadOffset int64         `json:"through"`
	Publish        ConfigPublish `json:"publish"`
}

// Audit is one entry of the audit trail.
type Audit struct {
	// ID is the id of the change. Records with the same id are copies of one entry.
	ID   string    `json:"id"`
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	Why  string    `json:"why"`
	// What is the kind of change, such as "config publish".
	What     string `json:"what"`
	Accepted bool   `json:"accepted"`
	// Reason is why the change was refused; empty if it was accepted.
	Reason string `json:"reason,omitempty"`
	// Version is the version in force after the change.
	Version int64  `json:"version"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// NoTerm is the base of the first claim on a data centre.
const NoTerm int64 = -1

// Claim claims the ownership of a data centre. It is valid if Base is the term in
// force at its offset; the offset becomes the new term.
type Claim struct {
	DataCentre string `json:"data_centre"`
	VM         string `json:"vm"`
	// Instance identifies one process of the VM.
	Instance string `json:"instance"`
	// Addr is the host:port at which other entry VMs call the owner.
	Addr string `json:"addr"`
	Base int64  `json:"base"`
}

// Heartbeat shows that the owner of a data centre is running and reaches the log.
type Heartbeat struct {
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
	Term       int64  `json:"term"`
	// Majority means that from this record on the owner stops by itself when it loses
	// its leases on a majority of the workers. Only then may a VM that does not reach
	// the log take over the tasks by holding leases on such a majority.
	Majority bool `json:"majority,omitempty"`
}

// Release gives up the ownership of a data centre.
type Release struct {
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
	Term       int64  `json:"term"`
}

// RequestStart is stored before a non-idempotent request is sent to a backend server.
// Only the writer of the record with the lowest offset for an id may send it.
type RequestStart struct {
	ID       string `json:"id"`
	Class    string `json:"class"`
	Instance string `json:"instance"`
	// Number distinguishes the starts of one instance. Copies of a record have the same
	// number.
	Number int64 `json:"number"`
}

// RequestOutcome is the outcome of a non-idempotent request; Instance and Number are
// those of its RequestStart.
type RequestOutcome struct {
	ID       string         `json:"id"`
	Instance string         `json:"instance"`
	Number   int64          `json:"number"`
	Status   structs.Status `json:"status"`
}

// JobAssignment sets the assigned data centre of a job, on stream "requests". Only the
// record with the lowest offset for a job counts, so that a job that is submitted in
// two data centres is accepted in one of them.
type JobAssignment struct {
	Job        string `json:"job"`
	DataCentre string `json:"data_centre"`
}

// JobAccepted adds a job to the stream of its assigned data centre.
type JobAccepted struct {
	Job structs.Job `json:"job"`
}

// JobCancelled cancels a job. Starts with a higher offset are invalid.
type JobCancelled struct {
	Job string `json:"job"`
	Who string `json:"who"`
}

// JobMoved moves a job of which no task has started to data centre To; the data centre
// of this stream no longer schedules it.
type JobMoved struct {
	Job  string `json:"job"`
	To   string `json:"to"`
	Term int64  `json:"term"`
}

// TaskStart is stored before the owner sends the start request to the worker.
type TaskStart struct {
	Attempt structs.Attempt `json:"attempt"`
	Term    int64           `json:"term"`
}

// TaskResult is how an attempt ended.
type TaskResult string

// Results of attempts.
const (
	// TaskSucceeded means that the task is done.
	TaskSucceeded TaskResult = "succeeded"
	// TaskFailed means that the task ran and failed.
	TaskFailed TaskResult = "failed"
	// TaskStopped means that the task was stopped on request.
	TaskStopped TaskResult = "stopped"
	// TaskLost means that the worker's lease expired before the end of the attempt was
	// reported.
	TaskLost TaskResult = "lost"
	// TaskNotStarted means that the worker never started the attempt.
	TaskNotStarted TaskResult = "not_started"
)

// TaskEnd records the result of an attempt.
type TaskEnd struct {
	Attempt structs.Attempt `json:"attempt"`
	Result  TaskResult      `json:"result"`
	Term    int64           `json:"term"`
}

// JobSnapshot is one part of a snapshot of a jobs stream, which makes older records
// unnecessary. Parts of one snapshot have the same ID and LastIncludedOffset.
type JobSnapshot struct {
	ID string `json:"id"`
	// LastIncludedOffset is the offset of the last record that the snapshot includes.
	LastIncludedOffset int64 `json:"through"`
	// Part is the index of this part, from 0 to Parts-1.
	Part  int             `json:"part"`
	Parts int             `json:"parts"`
	State json.RawMessage `json:"state"`
	Term  int64           `json:"term"`
}
