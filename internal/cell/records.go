package cell

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Prefixes of the keys of records in topics jobs and progress.
const (
	keyJob      = "j/"
	keyCancel   = "c/"
	keyProgress = "s/"
)

// OpenRun is a run that was recorded before its start was sent and whose end is
// not recorded.
type OpenRun struct {
	Index  int    `json:"x"`
	Run    int    `json:"r"`
	Worker string `json:"w"`
	// Born is the start of the worker's life in Unix milliseconds.
	Born int64 `json:"b,omitempty"`
}

// StepProgress is what is recorded of one step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s"`
	// DoneTasks has one character per task: '1' if the task is done.
	DoneTasks string `json:"d,omitempty"`
	// FailedRuns counts the failed runs of a task; of a gang, under index 0.
	FailedRuns map[int]int `json:"f,omitempty"`
	// LastRun is the highest number of a run of a task of the step.
	LastRun  int       `json:"l,omitempty"`
	OpenRuns []OpenRun `json:"o,omitempty"`
}

// Progress is what the owner records of a job.
type Progress struct {
	State State `json:"-"`
	// Steps lists only steps of which something is recorded.
	Steps []StepProgress `json:"p,omitempty"`
	// FinishedAt is the Unix time in seconds of a final state.
	FinishedAt int64 `json:"t,omitempty"`
}

// JobKey is the key of a job's submission.
func JobKey(id JobID) string { return keyJob + string(id) }

// CancelKey is the key of a job's cancelling.
func CancelKey(id JobID) string { return keyCancel + string(id) }

// ProgressKey is the key of a job's progress.
func ProgressKey(id JobID) string { return keyProgress + string(id) }

// EncodeJob encodes a job as submitted.
func EncodeJob(j *Job) ([]byte, error) {
	return json.Marshal(j)
}

// DecodeJob decodes a job as submitted.
func DecodeJob(id JobID, value []byte) (*Job, error) {
	j := &Job{ID: id}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, eris.Wrapf(err, "decode job %s", id)
	}
	return j, nil
}

// EncodeProgress encodes progress: one byte for the state, then JSON. Entry VMs
// that only answer callers read the first byte alone.
func EncodeProgress(p *Progress) ([]byte, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, eris.Wrap(err, "encode progress")
	}
	return append([]byte{byte(p.State)}, body...), nil
}

// DecodeProgress decodes progress.
func DecodeProgress(value []byte) (*Progress, error) {
	if len(value) == 0 {
		return nil, eris.New("progress record is empty")
	}
	p := &Progress{State: State(value[0])}
	if err := json.Unmarshal(value[1:], p); err != nil {
		return nil, eris.Wrap(err, "decode progress")
	}
	return p, nil
}

// Record is one record of topic jobs or progress.
type Record struct {
	Job JobID
	// Kind is one of RecordJob, RecordCancel and RecordProgress.
	Kind RecordKind
	// Value is empty for a record that drops the key.
	Value []byte
}

// RecordKind is the kind of a record.
type RecordKind byte

// Kinds of records.
const (
	RecordJob RecordKind = iota
	RecordCancel
	RecordProgress
)

// ParseRecord tells which record a key names.
func ParseRecord(key string, value []byte) (Record, error) {
	prefixes := map[string]RecordKind{keyJob: RecordJob, keyCancel: RecordCancel, keyProgress: RecordProgress}
	if len(key) < 3 {
		return Record{}, fmt.Errorf("key %q is too short", key)
	}
	kind, ok := prefixes[key[:2]]
	if !ok {
		return Record{}, fmt.Errorf("key %q has no known prefix", key)
	}
	return Record{Job: JobID(strings.Clone(key[2:])), Kind: kind, Value: value}, nil
}

// DecodeQueueName returns the queue's name of an encoded job without decoding the
// rest, or "" if the job cannot be decoded.
func DecodeQueueName(value []byte) string {
	var head struct {
		Queue struct {
			Name string `json:"n"`
		} `json:"q"`
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return ""
	}
	return head.Queue.Name
}

func (p *StepProgress) ensureFailed() {
	if p.FailedRuns == nil {
		p.FailedRuns = map[int]int{}
	}
}

// SetFailedRuns sets the number of failed runs of a task.
func (p *StepProgress) SetFailedRuns(index, count int) {
	p.ensureFailed()
	p.FailedRuns[index] = count
}
