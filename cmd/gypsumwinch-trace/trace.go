package main

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/callerapi"
)

// Event is one line of a trace file. Exactly one of Request and Job is set.
type Event struct {
	// AtMS is the time of sending since the start of the trace.
	AtMS    int64         `json:"at_ms"`
	Request *RequestEvent `json:"request,omitempty"`
	Job     *JobEvent     `json:"job,omitempty"`
}

// at returns the time of sending since the start of the trace.
func (e *Event) at() time.Duration {
	return time.Duration(e.AtMS) * time.Millisecond
}

// RequestEvent is a request to send. The sender generates its id, so that a trace
// can be sent repeatedly.
type RequestEvent struct {
	Class         string `json:"class"`
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
	// Payload is sent byte for byte.
	Payload json.RawMessage `json:"payload"`
}

// JobEvent is a job to submit. The sender generates its id.
type JobEvent struct {
	Team   string                `json:"team"`
	Class  string                `json:"class"`
	Groups []callerapi.GroupBody `json:"groups"`
}

// tasks returns the number of tasks in all groups of the job.
func (j *JobEvent) tasks() int {
	n := 0
	for _, g := range j.Groups {
		n += g.Count
	}
	return n
}

// readTrace reads a trace file with one JSON event per line of at most 4 MiB. An
// error in a line names the file and the line number.
func readTrace(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read trace")
	}
	defer file.Close()
	var events []Event
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, eris.Wrapf(err, "%s:%d", path, len(events)+1)
		}
		if (e.Request == nil) == (e.Job == nil) {
			return nil, eris.Errorf("%s:%d: exactly one of request and job must be set", path, len(events)+1)
		}
		events = append(events, e)
	}
	return events, eris.Wrap(lines.Err(), "read trace")
}

// writeTrace writes a trace file with one JSON event per line, and replaces an
// existing file. After an error the file may be incomplete.
func writeTrace(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "write trace")
	}
	out := bufio.NewWriter(file)
	encoder := json.NewEncoder(out)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			file.Close()
			return eris.Wrap(err, "write trace")
		}
	}
	if err := out.Flush(); err != nil {
		file.Close()
		return eris.Wrap(err, "write trace")
	}
	return eris.Wrap(file.Close(), "write trace")
}
