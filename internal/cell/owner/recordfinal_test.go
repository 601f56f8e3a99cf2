package owner

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// takeRecord returns the only record of the next batch, which is stored.
func (f *fixture) takeRecord() []byte {
	f.t.Helper()
	records, number, err := f.m.TakeBatch()
	if err != nil || len(records) != 1 {
		f.t.Fatalf("%d records, error %v", len(records), err)
	}
	f.apply(BatchStored{Batch: number})
	return records[0].Value
}

// TestRecordOfAFinishedJobKeepsItsOpenRuns guards against runs that a second successor does
// not know: once one run of a cancelled job had ended, the record of the first successor
// named none.
func TestRecordOfAFinishedJobKeepsItsOpenRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(2, 100)), Progress: &cell.Progress{State: cell.StateCancelled, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Index: 0, Run: 1, Worker: "w", Born: 1}, {Index: 1, Run: 1, Worker: "w", Born: 1}}},
	}}})
	f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: "j.0.0.0", Run: 1, Outcome: cell.OutcomeStopped}}
	f.answerRenewal(cell.ActiveRun{Task: "j.0.0.1", Run: 1})
	progress, err := cell.DecodeProgress(f.takeRecord())
	is.NoErr(err)
	is.Equal(len(progress.Steps), 1)
	is.Equal(progress.Steps[0].OpenRuns, []cell.OpenRun{{Index: 1, Run: 1, Worker: "w", Born: 1, Addr: "w:1"}})
}
