package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestLongestChainFollowsDependencies guards the objective of jobs whose steps run
// side by side: only the longest chain of them counts.
func TestLongestChainFollowsDependencies(t *testing.T) {
	is := is.New(t)
	steps := []cell.Step{{}, {}, {DependsOn: []int{0}}, {DependsOn: []int{1, 2}}}
	costs := []time.Duration{1, 10, 4, 2}
	is.Equal(longestChain(steps, func(i int) time.Duration { return costs[i] }), time.Duration(12))
	is.Equal(longestChain(nil, nil), time.Duration(0))
}

// TestHopelessJobDoesNotDelayOthers guards against room that goes to jobs which
// end too late in any case, while others become late by waiting for them.
func TestHopelessJobDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	old := newJob("old", newStep(1, 1000))
	f.now = 1500 * time.Millisecond // of an objective of 2 s, for work of 1 s
	f.apply(JobSubmitted{Job: old})
	fresh := newJob("fresh", newStep(1, 1000))
	fresh.AcceptedAt = f.time().Wall
	f.apply(JobSubmitted{Job: fresh})
	f.look()
	f.settle()
	starts := taken[SendStart](f)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Start.Task.Job, cell.JobID("fresh"))
}
