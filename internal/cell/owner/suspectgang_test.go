package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// suspectWorkers makes all workers suspect, as if runs of several jobs had failed on them.
func (f *fixture) suspectWorkers() {
	for _, w := range f.m.sortedWorkers {
		w.health.countFailure(f.now, "a")
		w.health.countFailure(f.now, "b")
	}
}

// renewAll answers a renewal of every worker.
func (f *fixture) renewAll() {
	for _, w := range f.m.sortedWorkers {
		f.apply(RenewResult{Worker: w.info.ID, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
	}
}

// TestIdleGangStartsOnSuspectWorkers guards against a gang that never starts: a suspect worker takes one task at a time
// until one succeeds, so that a gang with more members than there are suitable workers finds no room in an idle cell.
func TestIdleGangStartsOnSuspectWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	f.addWorker("z", 4000)
	f.suspectWorkers()
	f.now += minQuarantine
	f.renewAll()
	f.apply(JobSubmitted{Job: newJob("j", newGang(4))})
	for range 30 {
		f.now += 100 * time.Millisecond
		f.renewAll()
		f.apply(Tick{})
		f.scheduleAndRecord()
	}
	is.Equal(len(actionsOf[SendStart](f)), 4)
}

// TestIdleStepStartsOnQuarantinedWorkers guards against a job that has nothing running for up to 16 s, since the only
// workers that may run it are in quarantine while the rest of the cell is idle.
func TestIdleStepStartsOnQuarantinedWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	for _, id := range []string{"x", "y", "z"} {
		f.addWorker(id, 4000)
	}
	w := f.m.workers["w"]
	for _, id := range []cell.JobID{"a", "b", "c", "d", "e", "f"} {
		w.health.countFailure(f.now, id)
	}
	w.info.Labels = append(w.info.Labels, "k")
	step := newStep(1, 500)
	step.Label = "k"
	f.apply(JobSubmitted{Job: newJob("j", step)})
	for range 30 {
		f.now += 100 * time.Millisecond
		f.renewAll()
		f.apply(Tick{})
		f.scheduleAndRecord()
	}
	is.Equal(len(actionsOf[SendStart](f)), 1)
}
