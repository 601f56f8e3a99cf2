package owner

import (
	"fmt"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
)

// The simulation checks the rule on cancelled jobs with its own bounds. Any VM acknowledges a
// cancellation once it is in the store; the owner hears of it by a notification, which may
// be lost, or by its next read.

const (
	// simCancelTime and simContactTime are cancel_ms and ContactMs.
	simCancelTime  = 3 * time.Second
	simContactTime = 3 * time.Second
	// simReadInterval is the period at which the owner reads topic jobs.
	simReadInterval = 250 * time.Millisecond
	// maxSimJobTime is the time after which a job of the cases with cancellations is
	// cancelled at the latest.
	maxSimJobTime = 25 * time.Second
)

// simCancellations describes the jobs of a case in which all jobs are cancelled, and the
// changes that are no disruption.
type simCancellations struct {
	// promptFraction is the fraction of jobs that are cancelled within 2.5 s of their
	// acceptance.
	promptFraction float64
	trafficTime    time.Duration
	// Faults are injected for faultTime, then none for calmTime, and so on. Without
	// calmTime they are injected all the time.
	faultTime, calmTime time.Duration
	// shortRunFraction is the fraction of runs of the length that is usual without
	// runTime; the others take runTime.
	shortRunFraction float64
	// refusedStartFraction is the fraction of start requests that are refused as busy.
	refusedStartFraction float64
	// handOverInterval, unlistInterval and drainInterval are the mean times between
	// hand-overs of the ownership by the owner itself, and workers whose entries disappear
	// or say that they are draining; 0 for none.
	handOverInterval time.Duration
	unlistInterval   time.Duration
	drainInterval    time.Duration
	// lingeringMemberFraction is the fraction of members of a gang that do not end with the
	// others.
	lingeringMemberFraction float64
	// strayInterval is the mean time between two runs that no owner knows.
	strayInterval time.Duration
}

// simCalm keeps the ends of the last disruptions.
type simCalm struct {
	// disruptedUntil is the end of the last disruption of any kind, coreDisruptedUntil
	// that of the last one of the store, of the owner's links or of an order.
	disruptedUntil     time.Duration
	coreDisruptedUntil time.Duration
	// isExecutingLate is true while a request is carried out seconds after it was sent.
	isExecutingLate bool
}

func (c *simCalm) disrupt(until time.Duration) { c.disruptedUntil = max(c.disruptedUntil, until) }

func (c *simCalm) disruptCore(until time.Duration) {
	c.disrupt(until)
	c.coreDisruptedUntil = max(c.coreDisruptedUntil, until)
}

// simJobRecord is a record of topic jobs: a submission or a cancellation.
type simJobRecord struct {
	job      cell.JobID
	isCancel bool
}

// simReplica is the owner's copy of topic jobs.
type simReplica struct {
	submitted map[cell.JobID]bool
	cancelled map[cell.JobID]bool
	// position is that of the next record to read.
	position int
}

func newSimReplica() simReplica {
	return simReplica{submitted: map[cell.JobID]bool{}, cancelled: map[cell.JobID]bool{}}
}

// isFaulty reports whether faults are injected now.
func (s *sim) isFaulty() bool {
	c := s.faults.cancellations
	return c == nil || c.calmTime == 0 || s.now%(c.faultTime+c.calmTime) < c.faultTime
}

// refusesStart reports whether a worker refuses the present start request as busy.
func (s *sim) refusesStart() bool {
	c := s.faults.cancellations
	return c != nil && s.rand.Float64() < c.refusedStartFraction
}

// isShortRun reports whether the present run has the length that is usual without runTime.
func (s *sim) isShortRun() bool {
	c := s.faults.cancellations
	return c != nil && s.rand.Float64() < c.shortRunFraction
}

// acknowledge lets some VM append a record to topic jobs, as soon as the store answers, and
// calls done when the caller has the acknowledgement.
func (s *sim) acknowledge(r simJobRecord, done func()) {
	if s.isStoreDown {
		s.after(100*time.Millisecond, func() { s.acknowledge(r, done) })
		return
	}
	s.jobRecords = append(s.jobRecords, r)
	if s.rand.IntN(2) == 0 {
		s.after(s.delay(), func() {
			if o := s.owner; !o.isCut {
				o.receive(r)
			}
		})
	}
	done()
}

// planCancellation cancels a job that was accepted now, in some cases with some probability.
func (s *sim) planCancellation(id cell.JobID) {
	delay := time.Duration(s.rand.IntN(2000)) * time.Millisecond
	if c := s.faults.cancellations; c != nil {
		delay = time.Duration(s.rand.IntN(2500)) * time.Millisecond
		if s.rand.Float64() >= c.promptFraction {
			delay = time.Duration(s.rand.Int64N(int64(maxSimJobTime)))
		}
	} else if s.rand.Float64() >= s.faults.cancelFraction {
		return
	}
	s.after(delay, func() {
		s.acknowledge(simJobRecord{job: id, isCancel: true}, func() { s.cancelledAt[id] = s.now })
	})
}

// receive applies a record of topic jobs as package node does: a repetition is ignored, and
// a cancellation that precedes its submission is kept for it.
func (o *simOwner) receive(r simJobRecord) {
	if o.isStopped {
		return
	}
	seen := o.replica.submitted
	if r.isCancel {
		seen = o.replica.cancelled
	}
	if seen[r.job] {
		return
	}
	seen[r.job] = true
	if r.isCancel {
		o.apply(JobCancelled{Job: r.job})
		return
	}
	o.apply(JobSubmitted{Job: o.sim.jobs[r.job].def})
	if o.replica.cancelled[r.job] {
		o.apply(JobCancelled{Job: r.job})
	}
}

// readAllJobs reads topic jobs to its end, for a takeover, and returns the jobs.
func (o *simOwner) readAllJobs() []cell.JobID {
	var ids []cell.JobID
	for _, r := range o.sim.jobRecords {
		if r.isCancel {
			o.replica.cancelled[r.job] = true
			continue
		}
		o.replica.submitted[r.job] = true
		ids = append(ids, r.job)
	}
	o.replica.position = len(o.sim.jobRecords)
	return ids
}

// pollJobs reads topic jobs until the term ends.
func (o *simOwner) pollJobs() {
	if o.isStopped {
		return
	}
	if !o.sim.isStoreDown && !o.isCut {
		records := o.sim.jobRecords[o.replica.position:]
		o.replica.position += len(records)
		o.sim.after(4*time.Millisecond, func() {
			for _, r := range records {
				o.receive(r)
			}
		})
	}
	o.sim.after(simReadInterval, o.pollJobs)
}

// injectCalmChanges schedules the changes that are no disruption until the time end.
func (s *sim) injectCalmChanges(end time.Duration) {
	c := s.faults.cancellations
	s.repeatAlways(c.handOverInterval, end, func() {
		if s.owner.isStopped || s.owner.isCut {
			return
		}
		s.owner.isStopped = true
		s.after(50*time.Millisecond+time.Duration(s.rand.IntN(350))*time.Millisecond, s.takeOverIfStopped)
	})
	s.repeatAlways(c.unlistInterval, end, func() {
		w := s.randomWorker()
		if !w.isUp || w.isUnlisted {
			return
		}
		w.isUnlisted = true
		s.owner.apply(WorkersListed{Removed: []string{w.info.ID}})
		s.after(time.Second+time.Duration(s.rand.IntN(9000))*time.Millisecond, w.list)
	})
	s.repeatAlways(c.strayInterval, end, s.startStray)
	s.repeatAlways(c.drainInterval, end, func() {
		w := s.randomWorker()
		w.info.Draining = true
		w.list()
		s.after(time.Second+time.Duration(s.rand.IntN(9000))*time.Millisecond, func() {
			w.info.Draining = false
			w.list()
		})
	})
}

// maxSimLinger is how long a member of a gang goes on after the others.
const maxSimLinger = 10 * time.Second

// lingers reports whether a member of a gang goes on although another one has ended. It ends
// alone, later.
func (s *sim) lingers(m gangMember) bool {
	c := s.faults.cancellations
	if c == nil || s.rand.Float64() >= c.lingeringMemberFraction {
		return false
	}
	s.after(maxSimLinger, func() {
		if m.worker.runs[m.run.task] == m.run {
			m.worker.endRun(m.run, cell.OutcomeGangIncomplete)
		}
	})
	return true
}

// startStray starts a run that no owner knows, of a task that is not running: a worker carries out an
// order of a VM that has been removed. It takes no capacity. If neither an entry nor a record
// names the worker, it goes on until the lease ends. No play has shown such a run unless it
// was started here.
func (s *sim) startStray() {
	if len(s.jobRecords) == 0 {
		return
	}
	w, j := s.randomWorker(), s.jobs[s.jobRecords[s.rand.IntN(len(s.jobRecords))].job]
	id := cell.TaskID{StepID: cell.StepID{Job: j.def.ID}}
	task := id.String()
	_, isCancelled := s.cancelledAt[j.def.ID]
	if !isCancelled || w.clock() >= w.leaseEnd || !w.isUp || w.closedRuns[task] >= strayRun {
		return
	}
	for _, o := range s.workers {
		if o.runs[task] != nil {
			return
		}
	}
	run := &simRun{task: task, id: id, run: strayRun, state: "running", startedAt: s.now, isLate: true}
	w.runs[task] = run
	s.stats.strays++
	s.scheduleEnd(w, run, s.faults.runTime)
}

// countStraysFromNow makes the bound of the runs that no owner knows begin now, since nobody
// could call the worker before.
func (w *simWorker) countStraysFromNow() {
	for _, r := range w.runs {
		if r.run == strayRun {
			r.startedAt = w.sim.now
		}
	}
}

// strayRun is the number of the runs that startStray starts.
const strayRun = 1000

// list writes the entry of a worker that is up, which the owner reads at once.
func (w *simWorker) list() {
	if w.isUp {
		if w.isUnnamed {
			w.countStraysFromNow()
		}
		w.isUnlisted, w.isUnnamed = false, false
		w.sim.owner.apply(WorkersListed{Workers: []cell.Worker{w.info}})
	}
}

// checkStartAfterCancellation checks a start of a task whose job may be cancelled. The end of
// the former owner or of a worker does not disrupt the machine that starts the task, nor
// does a cut of a worker.
func (s *sim) checkStartAfterCancellation(task string, req cell.Start) {
	at, ok := s.cancelledAt[req.Task.Job]
	if !ok || s.now-at <= simCancelTime || s.calm.isExecutingLate || s.now-s.calm.coreDisruptedUntil < simContactTime {
		return
	}
	s.t.Fatalf("%v task %s run %d starts %v after its cancellation was acknowledged", s.now, task, req.Run, s.now-at)
}

// checkCancelledRuns checks that no run of a cancelled job goes on. The bound begins with the
// acknowledgement, with the time at which a late start counts, and with the end of the last
// disruption; the rule allows ContactMs more after a disruption.
func (w *simWorker) checkCancelledRuns() {
	s := w.sim
	if !w.isUp {
		return
	}
	for _, r := range w.runs {
		at, ok := s.cancelledAt[r.id.Job]
		if !ok || r.run == strayRun && w.isUnnamed {
			continue
		}
		calmSince := s.calm.disruptedUntil
		if r.run == strayRun && calmSince > 0 {
			// The owner may have given the worker up: it was unlisted and did not answer. The
			// lease ends 6 s after the disruption at the latest.
			calmSince += simContactTime
		}
		bound := max(at, calmSince) + simCancelTime
		if r.isLate {
			bound = max(bound, r.startedAt+simContactTime)
		}
		if s.now > bound+maxSimStopDelay {
			s.t.Fatalf("%v task %s run %d on %s, started at %v, runs on: its cancellation was acknowledged at %v, no disruption since %v",
				s.now, r.task, r.run, w.info.ID, r.startedAt, at, s.calm.disruptedUntil)
		}
	}
}

// TestSimulatedCancellations guards the rule that a cancelled job has no start cancel_ms after
// the acknowledgement and no run StopTimeoutMs later, while calm spans follow each other with
// faults and the owner changes.
func TestSimulatedCancellations(t *testing.T) {
	for _, c := range cancellationCases() {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(*simFirst); seed < uint64(*simFirst+*simSeeds); seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					s := newSim(t, seed, 9, c.faults)
					s.runScenario(90)
					t.Logf("%+v", s.stats)
				})
			}
		})
	}
}

type cancellationCase struct {
	name   string
	faults simFaults
}

func cancellationCases() []cancellationCase {
	base := simCancellations{promptFraction: 0.65, trafficTime: 40 * time.Second, faultTime: 3 * time.Second, calmTime: 8 * time.Second,
		shortRunFraction: 0.5, refusedStartFraction: 0.05, lingeringMemberFraction: 0.2, strayInterval: 700 * time.Millisecond}
	with := func(change func(*simCancellations)) *simCancellations {
		c := base
		change(&c)
		return &c
	}
	const runTime = 30 * time.Second
	return []cancellationCase{
		{"calm", simFaults{runTime: runTime, failedRunFraction: 0.1, cancellations: &base}},
		{"hand-overs", simFaults{runTime: runTime, failedRunFraction: 0.1,
			cancellations: with(func(c *simCancellations) { c.handOverInterval = 1500 * time.Millisecond })}},
		{"unlisted and draining workers", simFaults{runTime: runTime, failedRunFraction: 0.1, lostAnswerFraction: 0.1, delayedRequestFraction: 0.05,
			cancellations: with(func(c *simCancellations) {
				c.handOverInterval, c.unlistInterval, c.drainInterval = 6*time.Second, 700*time.Millisecond, 2*time.Second
			})}},
		{"lost and late orders, restarts", simFaults{runTime: runTime, failedRunFraction: 0.1, lostAnswerFraction: 0.15, delayedRequestFraction: 0.1,
			restartInterval: 300 * time.Millisecond, cancellations: with(func(*simCancellations) {})}},
		{"all", simFaults{runTime: runTime, failedRunFraction: 0.1, lostAnswerFraction: 0.1, delayedRequestFraction: 0.1, crashInterval: 2 * time.Second,
			partitionInterval: 1500 * time.Millisecond, maxPartitionTime: 5 * time.Second, takeoverInterval: 1500 * time.Millisecond,
			outageInterval: 4 * time.Second, restartInterval: time.Second, slowClocks: true,
			cancellations: with(func(c *simCancellations) {
				c.handOverInterval, c.unlistInterval, c.drainInterval = 7*time.Second, 2*time.Second, 5*time.Second
			})}},
		{"silent owners", simFaults{runTime: runTime, silentInterval: 1500 * time.Millisecond, partitionInterval: 1200 * time.Millisecond, maxPartitionTime: 5 * time.Second,
			slowClocks: true, lostAnswerFraction: 0.05, delayedRequestFraction: 0.05,
			cancellations: with(func(c *simCancellations) {
				c.faultTime, c.calmTime, c.unlistInterval = 4*time.Second, 18*time.Second, 3*time.Second
			})}},
	}
}
