package cell

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Prefixes of the keys of records in topics jobs and progress.
const (
	jobKeyPrefix      = "j/"
	cancelKeyPrefix   = "c/"
	progressKeyPrefix = "s/"
)

// OpenRun is a run that may be active: it was recorded before its start request was
// sent, and its end is not recorded yet.
type OpenRun struct {
	Index  int    `json:"x"`
	Run    int    `json:"r"`
	Worker string `json:"w"`
	// Born identifies the worker's incarnation: the time at which its process started,
	// in Unix milliseconds.
	Born int64 `json:"b,omitempty"`
	// Addr is the address of the worker. The list of workers may not name it when a new owner
	// has to stop the run or to renew its lease. Previous builds leave it empty.
	Addr string `json:"a,omitempty"`
}

// StepProgress is the recorded progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s"`
	// DoneTasks has one character per task: '1' if the task is done.
	DoneTasks string `json:"d,omitempty"`
	// FailedRuns is the number of failed runs by task index. A gang has one count,
	// under index 0.
	FailedRuns map[int]int `json:"f,omitempty"`
	// LastFailedRun is the number of a gang's last run that failed. Further members that
	// fail in this run do not count again.
	LastFailedRun int `json:"g,omitempty"`
	// LastRun is the highest run number that a task of the step has had.
	LastRun  int       `json:"l,omitempty"`
	OpenRuns []OpenRun `json:"o,omitempty"`
	// Checkpoints has the checkpoints of unfinished tasks without an open run, by task
	// index; those of open runs are listed by their workers. A gang has one, under
	// index 0.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// Progress is what the owner records about a job, beside the job itself.
type Progress struct {
	State State `json:"-"`
	// Steps has only the steps about which there is something to record.
	Steps []StepProgress `json:"p,omitempty"`
	// DoneOccurrences has one character per occurrence of a repeated job, up to the last one that
	// is done: '1' if all its steps are done, in which case Steps has only those of them that
	// have open runs. Records of previous builds list the steps of all occurrences instead,
	// unless the record would be too long.
	DoneOccurrences string `json:"n,omitempty"`
	// FinishedAt is when the job reached a final state, in Unix seconds; 0 before.
	FinishedAt int64 `json:"t,omitempty"`
}

// JobKey returns the key of a job's submission in TopicJobs.
func JobKey(id JobID) string { return jobKeyPrefix + string(id) }

// CancelKey returns the key of a job's cancellation in TopicJobs.
func CancelKey(id JobID) string { return cancelKeyPrefix + string(id) }

// ProgressKey returns the key of a job's progress in TopicProgress.
func ProgressKey(id JobID) string { return progressKeyPrefix + string(id) }

// MaxRecordBytes is the longest record that the store accepts: the key, its length in one
// byte, and the value. An append with a longer one is refused as a whole, however often it
// is repeated.
const MaxRecordBytes = 256 << 10

// EncodeJob returns the value of a job's submission, without its id. The entry VM that
// accepts the job stores it under JobKey.
// It returns ErrTooLarge for a job whose record the store would not accept: the texts and
// dependencies of a job have no limits of their own.
func EncodeJob(j *Job) ([]byte, error) {
	value, err := json.Marshal(j)
	if err == nil && 1+len(JobKey(j.ID))+len(value) > MaxRecordBytes {
		return nil, ErrTooLarge
	}
	return value, err
}

// DecodeJob decodes the value of a job's submission. The id comes from the key. Only
// the owner needs the decoded job: it calls DecodeJob for each unfinished job when its
// term begins, and for each new submission.
func DecodeJob(id JobID, value []byte) (*Job, error) {
	j := &Job{ID: id}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, eris.Wrapf(err, "decode job %s", id)
	}
	if err := j.Validate(); err != nil {
		return nil, err
	}
	return j, nil
}

// EncodeProgress returns the value of a progress record: one byte for the state, then
// JSON. The owner calls it for each job that has changed since it last took a batch of
// progress records to store. Entry VMs that only answer callers read just the first
// byte.
func EncodeProgress(p *Progress) ([]byte, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, eris.Wrap(err, "encode progress")
	}
	return append([]byte{byte(p.State)}, body...), nil
}

// EncodeLongProgress is EncodeProgress for a record that would be too long for the store:
// the JSON is compressed. Previous builds cannot decode it. The owner calls it.
func EncodeLongProgress(p *Progress) ([]byte, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, eris.Wrap(err, "encode progress")
	}
	var out bytes.Buffer
	out.WriteByte(byte(p.State))
	w := gzip.NewWriter(&out)
	if _, err := w.Write(body); err != nil {
		return nil, eris.Wrap(err, "compress progress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress progress")
	}
	return out.Bytes(), nil
}

const (
	// gzipStart is the first byte of compressed JSON.
	gzipStart = 0x1f
	// maxProgressBytes bounds the JSON of a record of progress that is decompressed. The
	// longest one has some hundred bytes for each task of a job.
	maxProgressBytes = 8 << 20
)

// progressBody returns the JSON of a value of EncodeProgress or EncodeLongProgress.
func progressBody(value []byte) ([]byte, error) {
	body := value[1:]
	if len(body) == 0 || body[0] != gzipStart {
		return body, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	body, err = io.ReadAll(io.LimitReader(r, maxProgressBytes+1))
	if err == nil && len(body) > maxProgressBytes {
		err = eris.Errorf("more than %d bytes", maxProgressBytes)
	}
	return body, err
}

// openRunsMarker occurs in the JSON of progress that lists open runs.
var openRunsMarker = []byte(`"o":[`)

// HasOpenRuns reports whether the value of a progress record lists open runs. Every entry
// VM calls it for each record that it reads. A record that cannot be decompressed counts as
// one with open runs, so that it is not dropped.
func HasOpenRuns(value []byte) bool {
	body, err := progressBody(value)
	return err != nil || bytes.Contains(body, openRunsMarker)
}

// DecodeProgress decodes a value that EncodeProgress or EncodeLongProgress returned. A new
// owner calls it for each unfinished job.
func DecodeProgress(value []byte) (*Progress, error) {
	if len(value) == 0 {
		return nil, eris.New("progress record is empty")
	}
	body, err := progressBody(value)
	if err != nil {
		return nil, eris.Wrap(err, "decompress progress")
	}
	p := &Progress{State: State(value[0])}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, eris.Wrap(err, "decode progress")
	}
	if err := p.validate(); err != nil {
		return nil, eris.Wrap(err, "decode progress")
	}
	return p, nil
}

// Record is one parsed record of TopicJobs or TopicProgress.
type Record struct {
	Job JobID
	// Kind is one of RecordJob, RecordCancel and RecordProgress.
	Kind RecordKind
	// Value is empty for a record that deletes the key.
	Value []byte
}

// RecordKind is what a record holds.
type RecordKind byte

// Kinds of records.
const (
	RecordJob RecordKind = iota
	RecordCancel
	RecordProgress
)

// ParseRecord returns the job and the kind of the record that a key belongs to, or an
// error if the key has an unknown form. Every entry VM calls it for each record that it
// reads from TopicJobs and TopicProgress, to update its replica of the job states.
func ParseRecord(key string, value []byte) (Record, error) {
	prefixes := map[string]RecordKind{jobKeyPrefix: RecordJob, cancelKeyPrefix: RecordCancel, progressKeyPrefix: RecordProgress}
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
// rest, or "" if the job cannot be decoded. Every entry VM calls it once for each new
// submission, since its replica of the job states counts the jobs of each queue.
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

// DecodeCustomer returns the customer's name of an encoded job without decoding the rest, or "" if
// the job has none or cannot be decoded. The owner compares submissions of one job with it.
func DecodeCustomer(value []byte) string {
	var head struct {
		Customer string `json:"u"`
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return ""
	}
	return head.Customer
}

// ensureFailedRuns creates the map FailedRuns if it is nil. Only SetFailedRuns calls
// it, before it writes to the map.
func (p *StepProgress) ensureFailedRuns() {
	if p.FailedRuns == nil {
		p.FailedRuns = map[int]int{}
	}
}

// SetCheckpoint sets the checkpoint of the task with an index, or of a gang, under index
// 0. A checkpoint of more than maxRecordedCheckpoint bytes is left out. The owner calls it
// when it builds the progress record of a job that has no final state.
func (p *StepProgress) SetCheckpoint(index int, checkpoint string) {
	if checkpoint == "" || len(checkpoint) > maxRecordedCheckpoint {
		return
	}
	if p.Checkpoints == nil {
		p.Checkpoints = map[int]string{}
	}
	p.Checkpoints[index] = checkpoint
}

// maxRecordedCheckpoint keeps the entry of a task within the 60 bytes for which
// MaxTasksPerJob allows; the checkpoints of the workers have 16.
const maxRecordedCheckpoint = 48

// SetFailedRuns sets the number of failed runs of the task with an index, or of a gang,
// under index 0. The owner calls it when it builds the progress record of a job that
// has no final state, for each task or gang with failed runs.
func (p *StepProgress) SetFailedRuns(index, count int) {
	p.ensureFailedRuns()
	p.FailedRuns[index] = count
}
