//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

// requestTimeout is how long a client waits for a response.
const requestTimeout = 3 * time.Second

// order is what this program reads of an order to a worker.
type order struct {
	Task string
	Run  int
}

// readOrder reads an order and returns its body to be read again.
func readOrder(r *http.Request) (io.ReadCloser, order) {
	data, _ := io.ReadAll(r.Body)
	var o order
	_ = json.Unmarshal(data, &o)
	return io.NopCloser(bytes.NewReader(data)), o
}

// statusWriter keeps the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// phase is a step of a job on the wire.
type phase struct {
	Count        int
	Cpu          int64
	MemMb        int64
	EstimatedMs  int64
	Requirements string `json:",omitempty"`
}

// job is a job of a client. All its steps have the same run time.
type job struct {
	id     string
	spec   string
	phases []phase
	runs   time.Duration
}

// newJob registers a job of one step with the fleet.
func (c *cell) newJob(number int, p phase, runs time.Duration) *job {
	j := &job{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+int64(number)), spec: fmt.Sprintf("text %d", number), phases: []phase{p}, runs: runs}
	c.fleet.AddJob(fleet.Job{ID: j.id, Spec: j.spec, MaxAttempts: 4, Steps: []fleet.Step{{Count: p.Count, MilliCPU: p.Cpu, MemoryMB: p.MemMb, Duration: runs}}})
	return j
}

var client = &http.Client{Timeout: requestTimeout}

// call makes a request of a client to a VM.
func (c *cell) call(vm int, method, path string, body []byte) (status int, answer []byte, err error) {
	req, err := http.NewRequest(method, "http://"+net.JoinHostPort(c.vms[vm].ip, fmt.Sprint(callerPort))+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set(storeserver.DeadlineHeader, fmt.Sprint(requestTimeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// submit hands a job in until it is accepted, at most ten times.
func (c *cell) submit(j *job) error {
	body, err := json.Marshal(map[string]any{"Spec": j.spec, "Phases": j.phases})
	if err != nil {
		return err
	}
	for attempt := range 10 {
		vm := (int(j.id[15]) + attempt) % len(c.vms)
		status, _, err := c.call(vm, http.MethodPost, prefix+j.id, body)
		c.record.line("POST %s at %s: %d %v", j.id, c.vms[vm].name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// awaitCompleted asks for the state of jobs until all are shown as completed, or the time is
// up. It returns those that are not.
func (c *cell) awaitCompleted(jobs []*job, limit time.Duration) []*job {
	deadline := time.Now().Add(limit)
	for {
		var open []*job
		for i, j := range jobs {
			var answer struct{ State string }
			status, data, err := c.call(i%len(c.vms), http.MethodGet, prefix+j.id, nil)
			if err == nil {
				_ = json.Unmarshal(data, &answer)
			}
			if answer.State != "completed" {
				open = append(open, j)
				continue
			}
			c.record.line("GET %s: %d %s", j.id, status, answer.State)
		}
		if len(open) == 0 || time.Now().After(deadline) {
			return open
		}
		jobs = open
		time.Sleep(500 * time.Millisecond)
	}
}

// recordRuns records the runs of all jobs.
func (c *cell) recordRuns(jobs []*job) {
	for _, j := range jobs {
		for _, r := range c.fleet.Runs(j.id) {
			end := -1.0
			if !r.EndedAt.IsZero() {
				end = r.EndedAt.Sub(c.record.begin).Seconds()
			}
			c.record.line("RUN %s %d on %s from %.3f to %.3f", r.Task, r.Number, r.Worker, r.StartedAt.Sub(c.record.begin).Seconds(), end)
		}
	}
}
