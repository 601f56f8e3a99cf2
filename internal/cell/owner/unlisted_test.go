package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// takeOverFrom returns the fixture of a new owner that knows the job and its record of the
// former owner, and no entries of workers.
func (f *fixture) takeOverFrom(job *cell.Job, value []byte) *fixture {
	f.t.Helper()
	progress, err := cell.DecodeProgress(value)
	if err != nil {
		f.t.Fatal(err)
	}
	next := &fixture{t: f.t, now: f.now}
	next.m = New(Options{Term: f.m.opts.Term + 1, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, next.time())
	next.apply(ConfigChanged{Config: f.m.config})
	next.apply(JobSubmitted{Job: job, Progress: progress})
	return next
}

// TestRunOnAnUnlistedWorkerIsStoppedAfterATakeover guards against a cancelled job that runs
// on until its lease ends: the worker lives, but its entry is missing, so that the new owner
// had no address to send the stop to.
func TestRunOnAnUnlistedWorkerIsStoppedAfterATakeover(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.apply(WorkersListed{Removed: []string{"w"}})
	f = f.takeOverFrom(f.m.jobs[start.Task.Job].def, f.takeRecord())
	f.apply(Tick{})
	is.Equal(len(actionsOf[Renew](f)), 1)
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Inventory: cell.Inventory{
		Clock: time.Second, Born: 1, ActiveRuns: []cell.ActiveRun{{Task: start.Task.String(), Run: start.Run}},
	}})
	f.apply(JobCancelled{Job: start.Task.Job})
	stops := actionsOf[SendStop](f)
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Stop.Addr, "w:1")
}

// TestUnknownRunOnAnUnlistedWorkerIsStopped guards against a run that goes on until its
// lease ends: a worker whose entry had disappeared was forgotten at once if it had no known
// run, and was not called again.
func TestUnknownRunOnAnUnlistedWorkerIsStopped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(WorkersListed{Removed: []string{"w"}})
	f.apply(Tick{})
	f.answerRenewal(cell.ActiveRun{Task: "j.0.0.0", Run: 1})
	is.Equal(len(actionsOf[SendStop](f)), 1)
}

// TestUnlistedWorkerIsForgotten guards against workers that are called for ever after they
// have left.
func TestUnlistedWorkerIsForgotten(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1000)
		f.apply(WorkersListed{Removed: []string{"w"}})
		for range silentRenewals {
			f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errNoAnswer})
		}
		f.apply(Tick{})
		is.Equal(len(f.m.workers), 0)
	})
	t.Run("lease has expired", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1000)
		f.apply(WorkersListed{Removed: []string{"w"}})
		for end := f.now + simLeaseLimit + time.Second; f.now < end; f.now += 100 * time.Millisecond {
			f.answerRenewal()
			f.apply(Tick{})
		}
		is.Equal(len(f.m.workers), 0)
	})
}
