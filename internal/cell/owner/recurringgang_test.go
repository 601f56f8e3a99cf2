package owner

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestOccurrenceOfAGangEndsOnce guards against a repeated job that is completed, and whose runs
// are stopped, while an occurrence has not ended: each member of a gang that was listed as
// done counted as the end of an occurrence.
func TestOccurrenceOfAGangEndsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	job := newJob("j", newGang(2))
	job.Repeat, job.FirstDueAt = 2, f.time().Wall
	f.apply(JobSubmitted{Job: job})
	f.scheduleAndRecord()
	starts := actionsOf[SendStart](f)
	is.Equal(len(starts), 4) // two members of two occurrences
	for _, s := range starts {
		f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "w"})
	}
	f.finishedRuns = []cell.FinishedRun{
		{Number: 1, Task: "j.0.0.0", Run: 1, Outcome: cell.OutcomeDone},
		{Number: 2, Task: "j.0.0.1", Run: 1, Outcome: cell.OutcomeDone},
	}
	f.answerRenewal(cell.ActiveRun{Task: "j.1.0.0", Run: 1}, cell.ActiveRun{Task: "j.1.0.1", Run: 1})
	is.Equal(f.m.jobs["j"].state, cell.StateRunning)
	is.Equal(len(actionsOf[SendStop](f)), 0)
}
