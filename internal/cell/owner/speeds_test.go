package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/expect"
)

// learnSlowWorkers makes the owner learn from finished runs that some workers take twice
// as long as the others.
func (f *fixture) learnSlowWorkers(slow ...string) {
	for range 30 {
		for _, w := range f.m.sortedWorkers {
			s := expect.Sample{Work: expect.Work{Queue: "q", Estimate: time.Second}, RunTime: time.Second,
				Workers: []expect.Incarnation{{Worker: w.info.ID, Born: 1}}}
			if slices.Contains(slow, w.info.ID) {
				s.RunTime *= 2
			}
			f.m.learning.model.ObserveDone(f.now, s)
		}
	}
	f.now += speedRefreshInterval
	f.renewAll()
}

// startsOf places the waiting steps and returns the workers of the starts, sorted.
func (f *fixture) startsOf(jobs ...*cell.Job) []string {
	for _, j := range jobs {
		j.AcceptedAt = f.time().Wall
		f.apply(JobSubmitted{Job: j})
	}
	f.clearActions()
	f.scheduleAndRecord()
	var out []string
	for _, s := range actionsOf[SendStart](f) {
		out = append(out, s.Start.Worker)
	}
	slices.Sort(out)
	return out
}

// TestPlacementFollowsKnownSpeeds guards against a gang with one slow member, which takes twice
// as long as the others need; against work with little time left on slow workers, and work with
// much time on fast ones; and against a step that waits for fast workers while slow ones are
// free.
func TestPlacementFollowsKnownSpeeds(t *testing.T) {
	gang, single, wide := newStep(4, 2000), newStep(1, 2000), newStep(6, 2000)
	gang.Gang = true
	smallGang := newStep(2, 2000)
	smallGang.Gang = true
	wideGang := wide
	wideGang.Gang = true
	for _, c := range []struct {
		name   string
		step   cell.Step
		factor float64
		want   []string
	}{
		{"gang", gang, 2, []string{"x", "x", "y", "y"}},
		{"gang with slack", gang, 5, []string{"x", "x", "y", "y"}}, // a slow worker holds two of four
		{"small gang with slack", smallGang, 5, []string{"a", "a"}},
		{"single", single, 2, []string{"x"}},
		{"single with slack", single, 5, []string{"a"}},
		{"wide", wide, 2, []string{"a", "a", "x", "x", "y", "y"}},
		{"wide gang", wideGang, 2, []string{"a", "a", "x", "x", "y", "y"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newLearningFixture(t, true, "a", "x", "y")
			f.m.config.Queues[0].CriticalPathFactor = c.factor
			f.learnSlowWorkers("a")
			is.Equal(f.startsOf(newJob("j", c.step)), c.want)
			is.Equal(f.m.learning.slowWorkers, 1)
		})
	}
}

// TestGangAsksAboutFastWorkers guards against tickets for slow workers while the others have
// room for a gang.
func TestGangAsksAboutFastWorkers(t *testing.T) {
	is := is.New(t)
	f := newLearningFixture(t, true, "a", "b", "x", "y", "z")
	f.learnSlowWorkers("a", "b")
	f.m.config.Queues[0].Advice = &slowAdvice
	f.m.statsFor("q").eligibleFraction = 1
	step := newStep(6, 1500)
	step.Gang = true
	f.startsOf(newJob("j", step))
	queries := actionsOf[QueryAdvice](f)
	is.Equal(len(queries), 1)
	asked := slices.Clone(queries[0].Workers[:3])
	slices.Sort(asked)
	is.Equal(asked, []string{"x", "y", "z"})
}

// TestEqualSpeedsPlaceAsBefore guards deployments whose workers have one speed and whose
// estimates are right: each task must start where it does without learned run times.
func TestEqualSpeedsPlaceAsBefore(t *testing.T) {
	is := is.New(t)
	play := func(isLearning bool) (starts []string) {
		f := newLearningFixture(t, isLearning, "u", "v", "x", "y", "z")
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range 200 {
			step := newStep(1+rng.IntN(4), int64(500+rng.IntN(1500)))
			step.Gang = rng.IntN(3) == 0
			starts = append(starts, fmt.Sprint(f.runJob(newJob(simJobID(i), step, newStep(2, 700)), time.Second)))
		}
		return starts
	}
	is.Equal(play(true), play(false))
}
