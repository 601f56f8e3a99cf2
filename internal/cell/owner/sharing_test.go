package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// maxExceededTime is how long a target may be exceeded because of best-effort tasks; the platform judges it.
const maxExceededTime = 4 * time.Second

// newSharingFixture starts a serving task with a target of 100 ms and a best-effort task on one worker.
func newSharingFixture(t *testing.T) *fixture {
	f := newFixture(t, 1000)
	serving, bestEffort := newStep(1, 400), newStep(1, 900)
	serving.LongRunning, serving.TailTarget = true, 100*time.Millisecond
	bestEffort.BestEffortCPU = true
	f.apply(JobSubmitted{Job: newJob("a", serving)})
	f.apply(JobSubmitted{Job: newJob("b", bestEffort)})
	f.scheduleAndRecord()
	starts := actionsOf[SendStart](f)
	if len(starts) != 2 { // the CPU of the best-effort task does not count
		t.Fatalf("%d tasks were started", len(starts))
	}
	for _, s := range starts {
		f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "w", Clock: f.now})
	}
	f.clearActions()
	return f
}

// listTail answers renewals for a time with a tail of the serving task and the progress of the best-effort one, and returns
// the paces that were ordered.
func (f *fixture) listTail(d time.Duration, tail float64, percent int) (paces []int) {
	for end := f.now + d; f.now < end; f.now += mixedPollTimeout {
		f.answerRenewal(cell.ActiveRun{Task: "a.0.0.0", Run: 1, Percent: 100, Metric: tail}, cell.ActiveRun{Task: "b.0.0.0", Run: 1, Percent: percent})
		for _, p := range actionsOf[SendPace](f) {
			f.apply(PaceResult{Pace: p.Pace})
			paces = append(paces, p.Pace.Percent)
		}
		f.actions = slicesWithout[SendPace](f.actions)
	}
	return paces
}

// slicesWithout returns the actions that are not of a type.
func slicesWithout[T Action](actions []Action) (out []Action) {
	for _, a := range actions {
		if _, ok := a.(T); !ok {
			out = append(out, a)
		}
	}
	return out
}

// TestFillingTasksYieldToServingOnes guards the tail targets of serving tasks: best-effort tasks on the same worker are slowed
// down as soon as a target is exceeded, paused in time if it stays exceeded, and sped up again afterwards.
func TestFillingTasksYieldToServingOnes(t *testing.T) {
	is := is.New(t)
	f := newSharingFixture(t)
	is.Equal(len(f.listTail(time.Second, 50, 1)), 0)
	first := f.listTail(mixedPollTimeout, 120, 2)
	is.Equal(len(first), 1)
	is.True(first[0] <= fullPacePercent/2)
	// 0.8 s of the time have passed before the first list, 0.6 s pass until a pause shows.
	is.True(slices.Contains(append(first, f.listTail(maxExceededTime-1400*time.Millisecond, 120, 3)...), 0))
	paces := f.listTail(30*time.Second, 30, 4)
	is.Equal(paces[len(paces)-1], fullPacePercent)
}

// TestTailBelowItsTargetSlowsNothingDown guards against best-effort tasks that never end beside serving tasks whose own load
// brings their tails near the target.
func TestTailBelowItsTargetSlowsNothingDown(t *testing.T) {
	is := is.New(t)
	f := newSharingFixture(t)
	for i := range 20 {
		is.Equal(len(f.listTail(time.Second, []float64{85, 97}[i%2], i)), 0)
	}
}

// TestPacedRunIsNotStuck guards against a run that is stopped, and counted as a failure of its worker, because its owner has
// paused it, and against a run that is never stopped again.
func TestPacedRunIsNotStuck(t *testing.T) {
	is := is.New(t)
	f := newSharingFixture(t)
	f.listTail(6*time.Second, 120, 7)
	is.Equal(len(actionsOf[SendStop](f)), 0)
	is.Equal(f.m.workers["w"].health.failedJobs, 0)
	f.listTail(30*time.Second, 30, 7)
	is.Equal(len(actionsOf[SendStop](f)), 1) // at full pace it makes no progress either
}

// TestNewOwnerRaisesUnknownPaces guards against an owner that takes over paused runs and lets them work at full pace beside a
// target that has just been exceeded, or stops them as stuck.
func TestNewOwnerRaisesUnknownPaces(t *testing.T) {
	is := is.New(t)
	f := newSharingFixture(t)
	f.m.workers["w"].runList[1].pacePercent = -1 // as of a run that was recovered
	paces := f.listTail(20*time.Second, 50, 7)
	is.True(paces[0] <= fullPacePercent/2)
	is.Equal(paces[len(paces)-1], fullPacePercent)
	is.True(slices.IsSorted(paces))
}
