package daemon

import (
	"context"
	"encoding/json"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/peer/peerpb"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// jobRecordTimeout bounds the wait for a job record to be read back after its
// append was confirmed.
const jobRecordTimeout = 10 * time.Second

func acceptKey(job string) string { return "accept " + job }
func cancelKey(job string) string { return "cancel " + job }

// SubmitJob accepts a job and returns when its acceptance is on the log, is
// refused or stays unknown. It implements callerapi.Service. It runs on the
// HTTP goroutine of a caller's submission.
func (d *Daemon) SubmitJob(ctx context.Context, job structs.Job) structs.Outcome {
	reply := make(chan structs.Outcome, 1)
	return d.awaitJobOutcome(ctx, acceptKey(job.ID), reply, jobSubmitted{job: job, reply: reply})
}

// CancelJob cancels a job in its assigned data centre. It implements
// callerapi.Service. It runs on the HTTP goroutine of a caller's cancellation.
func (d *Daemon) CancelJob(ctx context.Context, id, who string) structs.Outcome {
	cancelled := jobCancelRequested{id: id, who: who, dataCentre: d.settings.DataCentre}
	if status, err := d.JobStatus(ctx, id); err == nil && status != nil {
		cancelled.dataCentre = status.DataCentre
	}
	reply := make(chan structs.Outcome, 1)
	cancelled.reply = reply
	return d.awaitJobOutcome(ctx, cancelKey(id), reply, cancelled)
}

// awaitJobOutcome posts an event and waits for its outcome, which is unknown
// after a timeout. SubmitJob and CancelJob call it on the caller's HTTP
// goroutine.
func (d *Daemon) awaitJobOutcome(ctx context.Context, key string, reply chan structs.Outcome, ev event) structs.Outcome {
	ctx, cancel := context.WithTimeout(ctx, jobRecordTimeout+appendRetryTimeout)
	defer cancel()
	d.post(ctx, ev)
	select {
	case out := <-reply:
		return out
	case <-ctx.Done():
		d.post(context.WithoutCancel(ctx), jobWaitEnded{key: key, reply: reply})
		return structs.Outcome{Status: structs.StatusUnknown, Reason: "the record was not read back from the log in time"}
	}
}

// jobSubmitted is the event of a caller's job submission.
type jobSubmitted struct {
	job   structs.Job
	reply chan<- structs.Outcome
}

// apply refuses the job, or accepts it if its data centre is assigned already,
// or else appends an assignment record; the job is then accepted when that
// record is read. It runs on the control loop for each submission of a caller.
func (ev jobSubmitted) apply(c *control) {
	if out := c.refuseJob(ev.job.ID); out != nil {
		ev.reply <- *out
		return
	}
	key := acceptKey(ev.job.ID)
	c.jobWaiters[key] = append(c.jobWaiters[key], ev.reply)
	assigned, known := c.assignments.get(ev.job.ID)
	if known {
		c.acceptJob(ev.job, assigned)
		return
	}
	c.awaitingAssignment[ev.job.ID] = ev.job
	record := records.Record{JobAssignment: &records.JobAssignment{Job: ev.job.ID, DataCentre: c.chooseDataCentre(&ev.job)}}
	c.d.writers[records.StreamRequests].append(record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, assignmentNotLogged{job: ev.job.ID})
		}
	})
}

// refuseJob returns the outcome of a submission that is refused, or nil.
// jobSubmitted.apply calls it before anything is appended.
func (c *control) refuseJob(id string) *structs.Outcome {
	switch {
	case !c.logReachable(records.StreamRequests):
		return notRunOutcome("the log is unreachable", logDownRetryAfter)
	case !c.requestLog.Ready() || !c.jobs.Complete():
		return notRunOutcome("this VM has not read the log of submitted jobs yet", busyRetryAfter)
	}
	if _, known := c.assignments.get(id); known || !isTooOld(id, time.Now()) {
		return nil
	}
	return &structs.Outcome{Status: structs.StatusUnknown, Reason: "the id is older than what is remembered"}
}

// assignmentNotLogged is the event that the append of a job's assignment record
// has failed. The record may be on the log nevertheless, unless it was rejected
// before the append; the job has not been accepted.
type assignmentNotLogged struct{ job string }

// apply refuses the job as not run, unless its assignment record was read in
// the meantime. It runs on the control loop when the append of the record has
// failed. A failed append does not mean that nothing was appended: the response
// of the log may be lost. The refusal is correct all the same, because an
// assignment alone does not run a job, and a record that is read later no
// longer finds the job in awaitingAssignment, unless the caller has submitted
// it again.
func (ev assignmentNotLogged) apply(c *control) {
	if _, isWaiting := c.awaitingAssignment[ev.job]; !isWaiting {
		return
	}
	delete(c.awaitingAssignment, ev.job)
	c.answerJobWaiters(acceptKey(ev.job), *notRunOutcome("the log is unreachable", logDownRetryAfter))
}

// applyAssignmentRecord applies an assignment record and accepts the job if its
// submission waited for the record. The control loop calls it for each
// assignment record that it reads from stream "requests", also for those of
// other VMs.
func (c *control) applyAssignmentRecord(e logEntry) {
	assigned := c.assignments.apply(e.storedAt, e.record.JobAssignment)
	job, isWaiting := c.awaitingAssignment[e.record.JobAssignment.Job]
	if !isWaiting {
		return
	}
	delete(c.awaitingAssignment, job.ID)
	if assigned == "" {
		c.answerJobWaiters(acceptKey(job.ID), *notRunOutcome("the submission took too long", busyRetryAfter))
		return
	}
	c.acceptJob(job, assigned)
}

// acceptJob appends the acceptance record of a job to the jobs stream of its
// assigned data centre. The control loop calls it for a submission once the
// data centre of the job is known.
func (c *control) acceptJob(job structs.Job, assigned string) {
	job.DataCentre = assigned
	c.appendJobRecord(assigned, acceptKey(job.ID), records.Record{JobAccepted: &records.JobAccepted{Job: job}})
}

// jobCancelRequested is the event of a caller's cancellation.
type jobCancelRequested struct {
	id         string
	who        string
	dataCentre string
	reply      chan<- structs.Outcome
}

// apply appends a cancellation record to the jobs stream of the job's assigned
// data centre, or refuses the cancellation if the log is unreachable. It runs
// on the control loop for each cancellation of a caller.
func (ev jobCancelRequested) apply(c *control) {
	if !c.logReachable(records.StreamRequests) {
		ev.reply <- *notRunOutcome("the log is unreachable", logDownRetryAfter)
		return
	}
	if assigned, known := c.assignments.get(ev.id); known {
		ev.dataCentre = assigned
	}
	key := cancelKey(ev.id)
	c.jobWaiters[key] = append(c.jobWaiters[key], ev.reply)
	c.appendJobRecord(ev.dataCentre, key, records.Record{JobCancelled: &records.JobCancelled{Job: ev.id, Who: ev.who}})
}

// appendJobRecord appends a record to the jobs stream of a data centre. This VM
// reads only the stream of its own data centre; for another one, the append's
// confirmation is taken as the outcome. The control loop calls it to accept and
// to cancel a job for a caller.
func (c *control) appendJobRecord(dataCentre, key string, record records.Record) {
	remote := dataCentre != c.d.settings.DataCentre
	c.jobsWriter(dataCentre).append(record, func(err error) {
		switch {
		case err != nil:
			c.d.post(c.ctx, jobNotLogged{key: key})
		case remote:
			c.d.post(c.ctx, jobLogged{key: key})
		}
	})
}

// jobsWriter returns the writer of a data centre's jobs stream. It starts the
// writer on first use. appendJobRecord calls it.
func (c *control) jobsWriter(dataCentre string) *streamWriter {
	stream := records.JobsStream(dataCentre)
	if w, ok := c.d.writers[stream]; ok {
		return w
	}
	if w, ok := c.remoteWriters[stream]; ok {
		return w
	}
	w := newStreamWriter(c.d.log, stream, c.logger, func() { c.d.metrics.countMessage("log append") })
	c.remoteWriters[stream] = w
	c.d.spawn(func() { w.run(c.ctx) })
	return w
}

// jobLogged is the event that a job record is on the stream of another data
// centre.
type jobLogged struct{ key string }

func (ev jobLogged) apply(c *control) {
	c.answerJobWaiters(ev.key, structs.Outcome{Status: structs.StatusCompleted})
}

// jobNotLogged is the event that a job record is not known to be on the log.
type jobNotLogged struct{ key string }

func (ev jobNotLogged) apply(c *control) {
	c.answerJobWaiters(ev.key, structs.Outcome{Status: structs.StatusUnknown, Reason: "the log did not confirm the record"})
}

// jobWaitEnded is the event that a caller has stopped waiting.
type jobWaitEnded struct {
	key   string
	reply chan<- structs.Outcome
}

// apply removes the caller's reply channel. It runs on the control loop after
// awaitJobOutcome has timed out or the caller has disconnected.
func (ev jobWaitEnded) apply(c *control) {
	waiting := c.jobWaiters[ev.key]
	for i, reply := range waiting {
		if reply == ev.reply {
			c.jobWaiters[ev.key] = append(waiting[:i], waiting[i+1:]...)
			break
		}
	}
	if len(c.jobWaiters[ev.key]) == 0 {
		delete(c.jobWaiters, ev.key)
	}
}

// answerJobWaiters sends an outcome to the callers of this VM that wait for the
// record with this key, and removes them. The control loop calls it when the
// record is read back, when the log of another data centre's jobs has confirmed
// it, when its append has failed, and when a submission is refused because of
// its assignment record.
func (c *control) answerJobWaiters(key string, out structs.Outcome) {
	for _, reply := range c.jobWaiters[key] {
		reply <- out
	}
	delete(c.jobWaiters, key)
}

// applyJobRecord applies a record of this data centre's jobs stream. The
// control loop calls it for each record that it reads from that stream, on
// every VM of the data centre; only the owner, which has a scheduler, passes
// the effect on to it.
func (c *control) applyJobRecord(e logEntry) {
	c.recordSnapshotAge(e)
	effect := c.jobs.Apply(e.offset, e.storedAt, e.record)
	c.answerRecordWaiters(e.record, effect)
	if c.scheduler == nil {
		return
	}
	switch effect.Kind {
	case jobstate.JobAccepted:
		c.applySchedulerEvent(scheduler.JobAdded{Job: e.record.JobAccepted.Job, Age: max(time.Since(e.storedAt), 0)})
	case jobstate.JobCancelled:
		c.applySchedulerEvent(scheduler.JobCancelled{Job: effect.Job})
	case jobstate.JobMoved:
		c.applySchedulerEvent(scheduler.JobRemoved{Job: effect.Job})
	case jobstate.TaskStarted:
		c.handleStartRecord(effect.Attempt)
	case jobstate.TaskEnded:
		c.handleEndRecord(effect.Attempt, e.record.TaskEnd.Result)
	case jobstate.Refused, jobstate.Ignored:
		c.handleRefusedRecord(e.record, effect)
	}
}

// answerRecordWaiters sends the outcome of a record to the callers that wait
// for it. The outcome of a buffered record is not known yet, so that they wait on.
// applyJobRecord calls it for each record, also on VMs that do not own
// the data centre.
func (c *control) answerRecordWaiters(record records.Record, effect jobstate.Effect) {
	switch {
	case effect.Kind == jobstate.Buffered:
	case record.JobAccepted != nil:
		c.answerJobWaiters(acceptKey(record.JobAccepted.Job.ID), jobOutcome(effect))
	case record.JobCancelled != nil:
		c.answerJobWaiters(cancelKey(record.JobCancelled.Job), jobOutcome(effect))
	}
}

// jobOutcome returns the outcome of a job record. A record that repeats an
// earlier one is completed as well. answerRecordWaiters calls it for acceptance
// and cancellation records.
func jobOutcome(effect jobstate.Effect) structs.Outcome {
	if effect.Kind == jobstate.Refused {
		return structs.Outcome{Status: structs.StatusNotRun, Reason: effect.Reason}
	}
	return structs.Outcome{Status: structs.StatusCompleted}
}

// localJobStatus returns the status of a job of this data centre, or nil if the
// job is not known. It runs on HTTP goroutines, for JobStatus and for status
// requests of peers.
func (d *Daemon) localJobStatus(ctx context.Context, id string) (*jobstate.JobStatus, error) {
	var found *jobstate.JobStatus
	err := d.runOnLoop(ctx, func(c *control) {
		status, ok := c.jobs.Status(id)
		if !ok {
			return
		}
		if c.scheduler != nil {
			status.Explanation, status.Unsatisfiable = c.scheduler.Explanation(id)
		}
		found = &status
	})
	return found, err
}

// JobStatus returns the status of a job, or nil if no data centre that can be
// reached knows it. It implements callerapi.Service. It runs on the HTTP
// goroutine of a caller's status request or cancellation, or of an operator's
// request to explain a job.
func (d *Daemon) JobStatus(ctx context.Context, id string) (*jobstate.JobStatus, error) {
	status, err := d.localJobStatus(ctx, id)
	if err != nil {
		return nil, err
	}
	if remote := d.firstJobStatus(ctx, d.statusPeers(ctx, id, status), id); remote != nil {
		return remote, nil
	}
	return status, nil
}

// firstJobStatus queries several VMs concurrently and returns the first status
// found, or nil. JobStatus calls it with the addresses from statusPeers, which
// may be none.
func (d *Daemon) firstJobStatus(ctx context.Context, addrs []string, id string) *jobstate.JobStatus {
	answers := make(chan *jobstate.JobStatus, len(addrs))
	for _, addr := range addrs {
		go func() {
			status, err := d.remoteJobStatus(ctx, addr, id)
			if err != nil {
				status = nil
			}
			answers <- status
		}()
	}
	for range addrs {
		if status := <-answers; status != nil {
			return status
		}
	}
	return nil
}

// statusPeers returns the addresses to query about a job: the owner of this
// data centre for an unfinished job of this one, which the owner can explain;
// otherwise one VM of the assigned data centre or, if that is not known, of
// each other data centre. JobStatus calls it after it has looked up the job on
// this VM.
func (d *Daemon) statusPeers(ctx context.Context, id string, status *jobstate.JobStatus) []string {
	if status != nil {
		v := d.view.Load()
		if status.Finished || v.OwnerInstance == d.instance || v.OwnerAddr == "" {
			return nil
		}
		return []string{v.OwnerAddr}
	}
	var addrs []string
	_ = d.runOnLoop(ctx, func(c *control) {
		assigned, _ := c.assignments.get(id)
		addrs = c.lastSeenPeers(assigned)
	})
	return addrs
}

// lastSeenPeers returns for each other data centre, or for just the given one,
// the address of the VM with the most recent heartbeat. statusPeers calls it on
// the control loop for a job that this VM does not know.
func (c *control) lastSeenPeers(only string) []string {
	chosen := map[string]string{}
	for _, vm := range c.entryVMs {
		if vm.DataCentre == c.d.settings.DataCentre || only != "" && vm.DataCentre != only {
			continue
		}
		old, ok := chosen[vm.DataCentre]
		if !ok || c.peerLastSeen[vm.Addr] > c.peerLastSeen[old] {
			chosen[vm.DataCentre] = vm.Addr
		}
	}
	addrs := make([]string, 0, len(chosen))
	for _, addr := range chosen {
		addrs = append(addrs, addr)
	}
	return addrs
}

// remoteJobStatus requests the status of a job from the entry VM at addr. It
// returns nil if that VM does not know the job. firstJobStatus calls it on one
// goroutine for each peer.
func (d *Daemon) remoteJobStatus(ctx context.Context, addr, id string) (*jobstate.JobStatus, error) {
	out, err := d.peers.JobStatus(ctx, addr, id)
	if err != nil {
		return nil, err
	}
	return decodeJobStatus(out)
}

// decodeJobStatus decodes a peer's response to a status request. It returns nil
// if the peer does not know the job. remoteJobStatus calls it.
func decodeJobStatus(out *peerpb.JobStatusResponse) (*jobstate.JobStatus, error) {
	if !out.Found {
		return nil, nil
	}
	var status jobstate.JobStatus
	if err := json.Unmarshal(out.StatusJson, &status); err != nil {
		return nil, err
	}
	return &status, nil
}

// Class returns a class of the configuration in force, whether it exists, and
// whether there is a configuration. It implements callerapi.Service. It runs on
// the HTTP goroutine of a caller's request or submission.
func (d *Daemon) Class(name string) (structs.Class, bool, bool) {
	config := d.view.Load().Config
	if config == nil {
		return structs.Class{}, false, false
	}
	class, found := config.Class(name)
	return class, found, true
}

// Team reports whether a team is in the configuration in force. It implements
// callerapi.Service. It runs on the HTTP goroutine of a caller's submission.
func (d *Daemon) Team(name string) bool {
	config := d.view.Load().Config
	if config == nil {
		return false
	}
	_, found := config.Team(name)
	return found
}
