package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestStartDoesNotProlongTheLease guards against runs of a lost worker that wait longer since a task was started there after its end.
func TestStartDoesNotProlongTheLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	end := f.m.workers["w"].leaseEnd
	f.now += idlePollTimeout - 100*time.Millisecond // the renewal waits at the worker
	is.Equal(startOneTask(f).LeaseEnd, end)
	f.now = end - time.Second
	f.apply(HeartbeatStored{SentAt: f.now})
	is.True(f.m.startLease(f.m.workers["w"]) > end) // a run needs a lease that lasts
}

// TestAdviceIsQueriedBeforeALeaseEnds guards against a gang that has nothing running for 7 s after the loss of a worker, since advice follows the lease.
func TestAdviceIsQueriedBeforeALeaseEnds(t *testing.T) {
	is := is.New(t)
	f := newGangFixture(t, 4)
	f.apply(FormerOwnersFenced{RenewalsEnd: f.now})
	f.apply(JobSubmitted{Job: newJob("j", newGang(2)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "gone", Born: 1}, {Index: 1, Run: 1, Worker: "w000", Born: 1}}}}}})
	bound := f.m.leaseBound(f.m.workers["gone"])
	queriedAt := time.Duration(0)
	for ; f.now < bound+100*time.Millisecond; f.now += 5 * time.Millisecond {
		for _, w := range f.m.sortedWorkers {
			if w.info.ID == "gone" {
				continue
			}
			f.m.Apply(f.time(), RenewResult{Worker: w.info.ID, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		}
		f.apply(Tick{})
		f.scheduleAndRecord()
		for _, q := range actionsOf[QueryAdvice](f) {
			queriedAt = f.now
			answer := cell.AdviceAnswer{}
			for _, w := range q.Workers {
				answer.Eligible = append(answer.Eligible, cell.Ticket{Worker: w, Ticket: "t"})
			}
			f.now += q.AnswerTime
			f.apply(AdviceResult{Step: q.Step, AskedWorkers: q.Workers, Answer: answer})
		}
		if len(actionsOf[SendStart](f)) > 0 {
			break
		}
		f.clearActions()
	}
	is.True(queriedAt > 0 && queriedAt < bound)
	is.True(queriedAt > bound-gangAdvice.AnswerTime(queryWorkers)-prefetchMargin-50*time.Millisecond) // tickets last 1.5 s
	is.Equal(len(actionsOf[SendStart](f)), 2)
	is.True(f.now < bound+50*time.Millisecond)
}
