// Package records defines the records that the system keeps on the platform's
// log, one sum type for all streams, encoded as JSON.
package records

import (
	"encoding/json"
	"fmt"
	"time"

	"gypsumwinch/internal/structs"
)

// Names of the streams on the log. The jobs of a data centre are kept in the
// stream that JobsStream names.
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

// Record is one record of a stream. Exactly one field is set.
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

// Encode returns the JSON form of r.
func Encode(r Record) (json.RawMessage, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode log record: %w", err)
	}
	return data, nil
}

// Decode parses one record. Unknown fields are ignored, so that an older VM can
// read a stream to which a newer one writes; such a record has no field set.
func Decode(data json.RawMessage) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode log record: %w", err)
	}
	return r, nil
}

// ConfigPublish asks for a new configuration. It is accepted if Base is the
// version in force at its offset; the offset becomes the new version.
type ConfigPublish struct {
	// ID identifies the publication, so that a repeated append counts once.
	ID   string    `json:"id"`
	Base int64     `json:"base"`
	YAML string    `json:"yaml"`
	Who  string    `json:"who"`
	Why  string    `json:"why"`
	When time.Time `json:"when"`
	// LastReadOffset is the offset of the last record that the publishing VM had read.
	// Every copy of the publication has a higher offset.
	LastReadOffset int64 `json:"through"`
}

// NoVersion is the base of the first configuration.
const NoVersion int64 = -1

// BaseReset is the base of a publication that replaces whatever is in force,
// for the case that no VM can tell from the log what that is. It is accepted if
// no other version came into force after offset Through.
const BaseReset int64 = -2

// ConfigRewrite repeats the configuration in force before the log drops it.
type ConfigRewrite struct {
	Version int64 `json:"version"`
	// LastReadOffset is the offset of the last record that the writer had read.
	// Version was in force after it. A publication may come between it and the
	// rewrite, so a reader needs every record after LastReadOffset to use the rewrite.
	LastReadOffset int64         `json:"through"`
	Publish        ConfigPublish `json:"publish"`
}

// Audit is one entry of the audit trail.
type Audit struct {
	// ID is the id of the change. Entries with the same id are one entry.
	ID   string    `json:"id"`
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	Why  string    `json:"why"`
	// What names the kind of change, such as "config publish".
	What     string `json:"what"`
	Accepted bool   `json:"accepted"`
	// Reason tells why a change was refused.
	Reason string `json:"reason,omitempty"`
	// Version is the version in force after the change.
	Version int64  `json:"version"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// NoTerm is the base of the first claim on a data centre.
const NoTerm int64 = -1

// Claim asks for the ownership of a data centre. It is valid if Base is the
// term in force at its offset; the offset becomes the new term.
type Claim struct {
	DataCentre string `json:"data_centre"`
	VM         string `json:"vm"`
	// Instance identifies one process of the VM.
	Instance string `json:"instance"`
	// Addr is where peers reach the owner, as host:port.
	Addr string `json:"addr"`
	Base int64  `json:"base"`
}

// Heartbeat shows that the owner of a data centre can reach the log.
type Heartbeat struct {
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
	Term       int64  `json:"term"`
	// Majority means that from now on the owner stops by itself when it loses
	// its leases on a majority of the workers. Only then may a VM without the
	// log take over its tasks by such a majority.
	Majority bool `json:"majority,omitempty"`
}

// Release gives up the ownership of a data centre.
type Release struct {
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
	Term       int64  `json:"term"`
}

// RequestStart is written before a non-idempotent request is sent to a backend
// server. The record with the lowest offset for an id holds the right to send.
type RequestStart struct {
	ID       string `json:"id"`
	Class    string `json:"class"`
	Instance string `json:"instance"`
	// Number tells the starts of one instance apart. Copies of a record share it.
	Number int64 `json:"number"`
}

// RequestOutcome is the outcome of a non-idempotent request.
type RequestOutcome struct {
	ID       string         `json:"id"`
	Instance string         `json:"instance"`
	Number   int64          `json:"number"`
	Status   structs.Status `json:"status"`
}

// JobAssignment chooses the home data centre of a job, on stream "requests". The
// record with the lowest offset for a job counts, so that a job that is
// submitted in two data centres is accepted in one.
type JobAssignment struct {
	Job        string `json:"job"`
	DataCentre string `json:"data_centre"`
}

// JobAccepted adds a job to its home data centre.
type JobAccepted struct {
	Job structs.Job `json:"job"`
}

// JobCancelled cancels a job. It wins over starts with a higher offset.
type JobCancelled struct {
	Job string `json:"job"`
	Who string `json:"who"`
}

// JobMoved ends the part of this data centre in a job that has no task started.
type JobMoved struct {
	Job  string `json:"job"`
	To   string `json:"to"`
	Term int64  `json:"term"`
}

// TaskStart is written before the owner sends a start to a worker.
type TaskStart struct {
	Attempt structs.Attempt `json:"attempt"`
	Term    int64           `json:"term"`
}

// TaskResult tells how an attempt ended.
type TaskResult string

// The ways in which an attempt ends.
const (
	// TaskSucceeded means that the task is done.
	TaskSucceeded TaskResult = "succeeded"
	// TaskFailed means that the task ran and failed.
	TaskFailed TaskResult = "failed"
	// TaskStopped means that the task was stopped on request.
	TaskStopped TaskResult = "stopped"
	// TaskLost means that the attempt ended unseen, with its worker's lease.
	TaskLost TaskResult = "lost"
	// TaskNotStarted means that the worker never started the attempt.
	TaskNotStarted TaskResult = "not_started"
)

// TaskEnd records the end of an attempt.
type TaskEnd struct {
	Attempt structs.Attempt `json:"attempt"`
	Result  TaskResult      `json:"result"`
	Term    int64           `json:"term"`
}

// JobSnapshot is a part of the state of a jobs stream, so that older records
// are no longer needed. Parts of one snapshot share ID and Through.
type JobSnapshot struct {
	ID string `json:"id"`
	// LastIncludedOffset is the offset up to which records are included.
	LastIncludedOffset int64 `json:"through"`
	// Part counts from 0 to Parts-1.
	Part  int             `json:"part"`
	Parts int             `json:"parts"`
	State json.RawMessage `json:"state"`
	Term  int64           `json:"term"`
}
