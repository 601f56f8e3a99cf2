package main

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/uniqueid"
	"gypsumwinch/standin/caller"
)

// pollInterval is the time between two status queries for a job.
const pollInterval = 250 * time.Millisecond

// runJob submits a job under a new id and, if it is accepted, waits until it is
// finished. run calls it for each job event of the trace.
func (s *sender) runJob(ctx context.Context, job *JobEvent) {
	id := uniqueid.New()
	t := s.caller.Submit(ctx, "/v1/jobs", callerapi.JobBody{
		ID: id, Team: job.Team, Class: job.Class, Groups: job.Groups,
	})
	accepted := t.Answer != nil && t.Answer.Status == structs.StatusCompleted
	s.results.addSubmission(id, job, t, accepted)
	if !accepted {
		return
	}
	status, err := s.awaitJob(ctx, id)
	s.results.addFinishedJob(id, job, status, err)
}

// awaitJob polls the status of an accepted job until it is finished. After
// jobTimeout it returns an error and the last status received, which may be nil.
// runJob calls it.
func (s *sender) awaitJob(ctx context.Context, id string) (*jobstate.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.jobTimeout)
	defer cancel()
	var last *jobstate.JobStatus
	for {
		status, err := s.caller.JobStatus(ctx, id)
		if err == nil {
			last = status
		}
		if err == nil && status.Finished {
			return status, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return last, eris.Errorf("job is not finished after %v, last error: %v", s.jobTimeout, err)
		}
	}
}

// addSubmission counts a submission, and records a problem if it got no answer.
// runJob calls it once for each job.
func (r *results) addSubmission(id string, job *JobEvent, t caller.Told, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[job.Class]
	if j == nil {
		j = &jobResults{}
		r.jobs[job.Class] = j
	}
	j.submitted++
	j.tasks += job.tasks()
	if accepted {
		j.accepted++
	}
	if t.Answer == nil {
		r.addProblem("job %s (%s) got no answer in %d sends: %v", id, job.Class, t.Sends, t.Input)
	}
}

// addFinishedJob counts an accepted job that has finished, or records a problem
// if err is set. runJob calls it when awaitJob returns.
func (r *results) addFinishedJob(id string, job *JobEvent, status *jobstate.JobStatus, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		explanation := ""
		if status != nil {
			explanation = status.Explanation
		}
		r.addProblem("job %s (%s): %v %s", id, job.Class, err, explanation)
		return
	}
	j := r.jobs[job.Class]
	j.finished++
	j.succeeded += status.Counts[jobstate.Succeeded]
}
