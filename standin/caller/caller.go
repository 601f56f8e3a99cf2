// Package caller is a caller of entry VMs for tests and traces. It retries as callers
// do, records the answers that it receives and checks those to requests against the
// runs on the backend servers. It doesn't check workers; package check does. Read
// Caller first.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
)

// startWaitHeader carries the time that a request waited to start, in milliseconds.
const startWaitHeader = "X-Wait-Start-Ms"

// Limits of a call: the size of an answer in bytes, and the time until the next send
// after one that got no answer.
const (
	maxAnswerSize           = 128 << 20
	connectionRetryInterval = 100 * time.Millisecond
)

// Caller sends work to entry VMs in turn. It is safe for concurrent use.
type Caller struct {
	http      *http.Client
	entries   []string
	nextEntry atomic.Int64
	// maxSends is the maximum number of sends of one id.
	maxSends int
}

// New returns a caller that sends one id at most maxSends times, to the entry VMs at
// the addresses entries in turn, and ends each send after timeout.
func New(entries []string, maxSends int, timeout time.Duration) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Caller{
		http:    &http.Client{Transport: transport, Timeout: timeout},
		entries: entries, maxSends: maxSends,
	}
}

// Told is the result of all sends of one id, as the caller received it.
type Told struct {
	// Answer is the answer to the last send, nil if it got none.
	Answer *callerapi.Answer
	// Wait is the time that the work waited to start, as in the last answer, or -1 if
	// that didn't contain it or there was no answer.
	Wait time.Duration
	// Total is the time from the first send to the end of the last one.
	Total time.Duration
	Sends int
	// Broken counts sends that ended without an answer.
	Broken int
	// Input is the error if the body could not be encoded or the daemon refused it.
	Input error
}

// Submit sends a body until it gets an answer other than "not run, retry" or a refusal
// of the input, has made the maximum number of sends, or ctx ends. All sends carry the
// same id. It waits between sends as the answer says, or 100 ms after a send without an
// answer.
func (c *Caller) Submit(ctx context.Context, path string, body any) Told {
	start := time.Now()
	t := Told{Wait: -1}
	data, err := json.Marshal(body)
	if err != nil {
		t.Input = eris.Wrap(err, "encode body")
		return t
	}
	for t.Sends < c.maxSends && ctx.Err() == nil {
		t.Sends++
		delay := c.send(ctx, path, data, &t)
		t.Total = time.Since(start)
		if delay <= 0 || t.Sends == c.maxSends {
			return t
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	return t
}

// send makes one send for Submit, updates t and returns the delay before the next send,
// or 0 if there is to be none.
func (c *Caller) send(ctx context.Context, path string, data []byte, t *Told) time.Duration {
	entry := c.entries[int(c.nextEntry.Add(1))%len(c.entries)]
	answer, wait, err := c.post(ctx, entry, path, data)
	var refusal *inputError
	if eris.As(err, &refusal) {
		t.Input = err
		return 0
	}
	if err != nil {
		// An earlier answer has no information about the result of this send.
		t.Answer = nil
		t.Broken++
		return connectionRetryInterval
	}
	t.Answer = answer
	t.Wait = wait
	if answer.Status != structs.StatusNotRun {
		return 0
	}
	return time.Duration(answer.RetryAfterMS) * time.Millisecond
}

// JobStatus returns the status of a job from the next entry VM, without retries. An
// unknown job is an error.
func (c *Caller) JobStatus(ctx context.Context, id string) (*jobstate.JobStatus, error) {
	entry := c.entries[int(c.nextEntry.Add(1))%len(c.entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/jobs/"+id, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "get job status")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return nil, eris.Wrap(err, "read job status")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("job status: %d: %s", resp.StatusCode, body)
	}
	var status jobstate.JobStatus
	return &status, eris.Wrap(json.Unmarshal(body, &status), "decode job status")
}

// inputError is the error of a send whose input was refused: an answer with a 4xx status
// that is not a callerapi.Answer. text is its body.
type inputError struct {
	statusCode int
	text       string
}

// Error implements error. It returns the status code and the body.
func (s *inputError) Error() string {
	return strconv.Itoa(s.statusCode) + ": " + s.text
}

// post sends data to an entry VM and returns the answer and the time that the work
// waited to start, -1 if unknown. A refusal of the input is an *inputError; any other
// error means that the send got no answer. send calls it.
func (c *Caller) post(ctx context.Context, entry, path string, data []byte) (*callerapi.Answer, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	if err != nil {
		return nil, -1, eris.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, -1, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return nil, -1, eris.Wrap(err, "read answer")
	}
	var answer callerapi.Answer
	err = json.Unmarshal(body, &answer)
	if err == nil && answer.Status != "" {
		return &answer, startWait(resp.Header), nil
	}
	if resp.StatusCode/100 == 4 {
		return nil, -1, &inputError{statusCode: resp.StatusCode, text: string(body)}
	}
	return nil, -1, eris.Errorf("status %d without an answer: %s", resp.StatusCode, body)
}

// startWait returns the time in startWaitHeader of an answer, or -1 if it has none. post
// calls it.
func startWait(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get(startWaitHeader), 10, 64)
	if err != nil {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}
