package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestCriticalPathFollowsDependencies guards the objective of jobs with parallel
// steps: only the critical path counts.
func TestCriticalPathFollowsDependencies(t *testing.T) {
	is := is.New(t)
	steps := []cell.Step{{}, {}, {DependsOn: []uint16{0}}, {DependsOn: []uint16{1, 2}}}
	costs := []time.Duration{1, 10, 4, 2}
	is.Equal(criticalPath(steps, func(i int) time.Duration { return costs[i] }), time.Duration(12))
	is.Equal(criticalPath(nil, nil), time.Duration(0))
}

// TestHopelessJobDoesNotDelayOthers guards against capacity that goes to a job
// which finishes too late in any case, while another job becomes late waiting
// for it.
func TestHopelessJobDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	old := newJob("old", newStep(1, 1000))
	f.now = 1500 * time.Millisecond // of an objective of 2 s, for work of 1 s
	f.apply(JobSubmitted{Job: old})
	fresh := newJob("fresh", newStep(1, 1000))
	fresh.AcceptedAt = f.time().Wall
	f.apply(JobSubmitted{Job: fresh})
	f.answerRenewal()
	f.scheduleAndRecord()
	starts := actionsOf[SendStart](f)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Start.Task.Job, cell.JobID("fresh"))
}
