package daemon

import (
	"context"
	"net/http"
	"sort"
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// queryLoop runs f on the control loop and returns its result. The Backend
// methods of this file call it on the HTTP goroutine of an operator's request.
func queryLoop[T any](ctx context.Context, d *Daemon, f func(c *control) T) (T, error) {
	var out T
	err := d.runOnLoop(ctx, func(c *control) { out = f(c) })
	return out, err
}

// Config returns the configuration in force. It implements operatorapi.Backend.
// It runs on the HTTP goroutine of an operator's request.
func (d *Daemon) Config(ctx context.Context) (operatorapi.Config, error) {
	return queryLoop(ctx, d, func(c *control) operatorapi.Config {
		return operatorapi.ConfigOf(c.config)
	})
}

// ConfigHistory returns the publications that match a query. It implements
// operatorapi.Backend. It runs on the HTTP goroutine of an operator's request.
func (d *Daemon) ConfigHistory(ctx context.Context, query operatorapi.HistoryQuery) (operatorapi.History, error) {
	return queryLoop(ctx, d, func(c *control) operatorapi.History {
		return operatorapi.HistoryOf(c.config, query, c.logReachable(records.StreamConfig))
	})
}

// Audit returns the newest audit entries, at most limit. It implements
// operatorapi.Backend. It runs on the HTTP goroutine of an operator's request.
func (d *Daemon) Audit(ctx context.Context, limit int) (operatorapi.Audit, error) {
	return queryLoop(ctx, d, func(c *control) operatorapi.Audit {
		return operatorapi.AuditOf(c.auditTrail.Newest(limit))
	})
}

// Classes returns the classes and whether they meet their targets. It
// implements operatorapi.Backend.
func (d *Daemon) Classes(ctx context.Context) (operatorapi.Classes, error) {
	return queryLoop(ctx, d, (*control).classes)
}

// Workers returns the workers of this data centre. Only its owner knows their
// leases. It implements operatorapi.Backend.
func (d *Daemon) Workers(ctx context.Context) (operatorapi.Workers, error) {
	return queryLoop(ctx, d, (*control).workerList)
}

// VMs returns the last VM list that was read. It implements
// operatorapi.Backend.
func (d *Daemon) VMs(ctx context.Context) (operatorapi.VMs, error) {
	return queryLoop(ctx, d, (*control).vmList)
}

// Status returns the state of this VM. It implements operatorapi.Backend.
func (d *Daemon) Status(ctx context.Context) (operatorapi.Status, error) {
	return queryLoop(ctx, d, (*control).status)
}

// ExplainJob returns why the tasks of a job wait, or a not-found error if no
// reachable data centre knows the job. It implements operatorapi.Backend. It
// runs on the HTTP goroutine of an operator's request.
func (d *Daemon) ExplainJob(ctx context.Context, id string) (operatorapi.Explanation, error) {
	status, err := d.JobStatus(ctx, id)
	if err != nil {
		return operatorapi.Explanation{}, err
	}
	if status == nil {
		return operatorapi.Explanation{}, &operatorapi.Error{
			Code:      http.StatusNotFound,
			ErrorBody: operatorapi.ErrorBody{Message: "no such job", Field: "id", Value: id},
		}
	}
	return explanationOf(status), nil
}

// explanationOf converts the status of a job to the response to an operator. It
// lists only the running and the failed tasks. ExplainJob calls it.
func explanationOf(status *jobstate.JobStatus) operatorapi.Explanation {
	out := operatorapi.Explanation{Job: status.ID, DataCentre: status.DataCentre, State: jobState(status)}
	group := operatorapi.GroupExplanation{
		Name:    "all",
		Pending: status.Counts[jobstate.Pending],
		Running: status.Counts[jobstate.Running],
		Done:    status.Counts[jobstate.Succeeded],
		Reasons: []string{},
	}
	if status.Explanation != "" {
		group.Reasons = append(group.Reasons, status.Explanation)
	}
	group.CanNeverRun = status.Unsatisfiable
	out.Groups = []operatorapi.GroupExplanation{group}
	for _, t := range status.Tasks {
		if t.State == jobstate.Running || t.State == jobstate.Failed {
			out.Tasks = append(out.Tasks, operatorapi.TaskState{
				Index: t.Index, Attempt: t.Attempt, Worker: t.Worker, State: string(t.State),
			})
		}
	}
	return out
}

// jobState returns the state of a job as an operator sees it. explanationOf
// calls it.
func jobState(status *jobstate.JobStatus) string {
	switch {
	case status.MovedTo != "":
		return "moved to " + status.MovedTo
	case status.Cancelled:
		return "cancelled"
	case status.Finished && status.Counts[jobstate.Failed] > 0:
		return "failed"
	case status.Finished:
		return "succeeded"
	case status.Counts[jobstate.Running] > 0:
		return "running"
	}
	return "pending"
}

// Handover returns a summary for a person who takes over the cluster. It
// implements operatorapi.Backend.
func (d *Daemon) Handover(ctx context.Context) (operatorapi.Handover, error) {
	return queryLoop(ctx, d, (*control).handover)
}

// classes returns the classes of the configuration in force with their queues
// and recent waits. It runs on the control loop when an operator requests the
// classes or a handover.
func (c *control) classes() operatorapi.Classes {
	current := c.config.Current()
	out := operatorapi.Classes{Version: current.Version, Classes: []operatorapi.Class{}}
	if current.Config == nil {
		return out
	}
	stats := map[string]dispatch.ClassStats{}
	for _, s := range c.dispatcher.Stats(c.now()).Classes {
		stats[s.Class] = s
	}
	jobs := c.jobQueues()
	for _, class := range current.Config.Classes {
		out.Classes = append(out.Classes, c.classState(class, stats[class.Name], jobs[class.Name]))
	}
	return out
}

// classState returns the state of one class and whether its recent waits meet
// its targets. classes calls it for each class.
func (c *control) classState(class structs.Class, stats dispatch.ClassStats, jobs operatorapi.Queue) operatorapi.Class {
	w := c.d.metrics.summarize(class.Name)
	out := operatorapi.Class{
		Class:          class,
		State:          operatorapi.TargetMet,
		Waiting:        stats.QueueLength + jobs.Waiting,
		Running:        stats.Running + jobs.Running,
		WaitP50:        w.p50,
		WaitP99:        w.p99,
		LearnedRunTime: stats.RunTimeP50,
	}
	switch {
	case w.count == 0:
		out.State = operatorapi.TargetNoData
	case w.p99 > class.StartTarget:
		out.State = operatorapi.TargetMissed
		out.Reason = "the p99 wait to start of the last minutes exceeds the start target"
	case class.FinishTarget > 0 && w.finishP99 > class.FinishTarget:
		out.State = operatorapi.TargetMissed
		out.Reason = "the p99 time to finish of the last minutes exceeds the finish target"
	}
	return out
}

// jobQueues counts the tasks of this data centre's open jobs by class. It runs
// on the control loop when an operator requests the classes, the status or a
// handover.
func (c *control) jobQueues() map[string]operatorapi.Queue {
	queues := map[string]operatorapi.Queue{}
	for _, id := range c.jobs.OpenJobs() {
		status, _ := c.jobs.Status(id)
		q := queues[status.Class]
		q.Class = status.Class
		q.Waiting += status.Counts[jobstate.Pending]
		q.Running += status.Counts[jobstate.Running]
		queues[status.Class] = q
	}
	return queues
}

// workerList returns the workers of this data centre, sorted by id. It runs on
// the control loop when an operator requests the workers.
func (c *control) workerList() operatorapi.Workers {
	out := operatorapi.Workers{Workers: []operatorapi.Worker{}}
	for id, w := range c.workers {
		worker := operatorapi.Worker{
			ID: id, DataCentre: w.vm.DataCentre, Rack: w.vm.Rack, Addr: w.vm.Addr,
			Capacity: w.vm.Capacity, Free: w.vm.Capacity.Sub(c.workerUsed(w)),
			Tasks: len(c.jobs.RunningOn(id)), State: string(w.vm.State),
		}
		switch {
		case c.scheduler == nil:
			worker.Reason = "this VM does not own the data centre; ask the owner for leases"
		case !w.isUp:
			worker.State = "unreachable"
			worker.Reason = "no lease; its tasks start elsewhere after the lease expires"
		default:
			worker.LeaseLeft = w.leaseExpiresAt - c.now()
		}
		out.Workers = append(out.Workers, worker)
	}
	sort.Slice(out.Workers, func(i, j int) bool { return out.Workers[i].ID < out.Workers[j].ID })
	return out
}

// vmList returns the last VM list with the results of this VM's probes. It runs
// on the control loop when an operator requests the VMs.
func (c *control) vmList() operatorapi.VMs {
	out := operatorapi.VMs{ListAge: time.Since(c.vmsReadAt), VMs: []operatorapi.VM{}}
	for _, vm := range c.vms {
		entry := operatorapi.VM{VM: vm}
		if p := c.probes[vm.ID]; p != nil {
			entry.Probe = probeState(p)
		}
		out.VMs = append(out.VMs, entry)
	}
	return out
}

// probeState returns the result of the last probes of a backend server as an
// operator sees it. vmList calls it.
func probeState(p *serverProbe) string {
	switch {
	case p.isLeaving:
		return "leaving"
	case p.failures > 0:
		return "failing"
	}
	return "ok"
}

// status returns the state of this VM: the owner that it knows, the log, its
// slots and its queues. It runs on the control loop when an operator requests
// the status or a handover.
func (c *control) status() operatorapi.Status {
	s := c.streams[records.StreamOwners]
	out := operatorapi.Status{
		VM: c.d.settings.VM, Instance: c.d.instance, DataCentre: c.d.settings.DataCentre,
		ConfigVersion: c.config.Current().Version,
		LogReachable:  s.isReachable, LogSince: s.changedAt,
		IsIsolated: c.isIsolated(), Draining: c.d.draining.Load(),
		SlotsHeld: map[string]int{}, Queues: []operatorapi.Queue{},
	}
	authority := c.ownershipMachine.Authority(c.now())
	if owner, ok := c.owners[out.DataCentre]; ok {
		out.Owner = operatorapi.Owner{
			VM: owner.vm, Instance: owner.instance, Term: owner.term,
			Self: owner.instance == c.d.instance, Limited: authority.Limited,
		}
	}
	for _, sync := range c.slotSyncs {
		granted, until := sync.holder.Lease()
		if c.now() >= until {
			continue
		}
		for _, h := range granted {
			out.SlotsHeld[h.Server] = h.Slots
		}
	}
	jobs := c.jobQueues()
	for _, class := range c.dispatcher.Stats(c.now()).Classes {
		out.Queues = append(out.Queues, operatorapi.Queue{Class: class.Class, Waiting: class.QueueLength, Running: class.Running})
	}
	for _, q := range jobs {
		out.Queues = append(out.Queues, q)
	}
	return out
}

// isolationTimeout is the time without a heartbeat of another data centre after
// which this data centre counts as isolated.
const isolationTimeout = 12 * remoteHeartbeatInterval

// isIsolated reports whether there are other data centres and none has sent a
// heartbeat recently. updateIsolation calls it on slow ticks, and status and
// failures for operators.
func (c *control) isIsolated() bool {
	others := false
	for _, vm := range c.entryVMs {
		if vm.DataCentre == c.d.settings.DataCentre {
			continue
		}
		others = true
		if seen, ok := c.peerLastSeen[vm.Addr]; ok && c.now()-seen < isolationTimeout {
			return false
		}
	}
	return others
}

// updateIsolation sets or clears the time since when this data centre is
// isolated. It runs on the control loop at each slow tick.
func (c *control) updateIsolation() {
	switch {
	case !c.isIsolated():
		c.isolatedSince = time.Time{}
	case c.isolatedSince.IsZero():
		c.isolatedSince = time.Now()
	}
}

// maxHandoverChanges is the number of configuration changes in a handover.
const maxHandoverChanges = 10

// handover returns the status, the classes, the last configuration changes and
// the current failures. It runs on the control loop when an operator requests a
// handover.
func (c *control) handover() operatorapi.Handover {
	out := operatorapi.Handover{
		Time: time.Now().UTC(), Status: c.status(), Classes: c.classes().Classes,
		Changes:  operatorapi.AuditOf(c.auditTrail.Newest(maxHandoverChanges)).Entries,
		Failures: c.failures(),
	}
	for _, w := range c.workers {
		out.WorkersAll++
		if w.isUp {
			out.WorkersUp++
		}
	}
	return out
}

// failures lists the current failures and how the system responds to each.
// handover calls it.
func (c *control) failures() []operatorapi.Failure {
	failures := []operatorapi.Failure{}
	add := func(what string, since time.Time, action string) {
		failures = append(failures, operatorapi.Failure{What: what, Since: since, Action: action})
	}
	if s := c.streams[records.StreamOwners]; !s.isReachable {
		add("the log is unreachable", s.changedAt, "jobs and non-idempotent requests are refused as not run; idempotent requests continue; reads are retried")
	}
	if c.isIsolated() {
		add("no heartbeat from any other data centre", c.isolatedSince, "this data centre serves from its own servers and workers")
	}
	if age := time.Since(c.vmsReadAt); age > isolationTimeout {
		add("the VM list is unreachable", c.vmsReadAt, "the last list stays in use; probes and answers show which servers are available")
	}
	for id, p := range c.probes {
		if p.failures >= maxProbeFailures {
			add("backend server "+id+" does not answer probes", time.Now().Add(-time.Duration(p.failures)*probeInterval), "it gets no new work until it answers")
		}
	}
	for id, w := range c.workers {
		if c.scheduler != nil && !w.isUp {
			add("worker "+id+" holds no lease", time.Now().Add(w.leaseExpiresAt-c.now()), "its tasks start elsewhere after its lease expires")
		}
	}
	return failures
}
