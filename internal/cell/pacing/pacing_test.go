package pacing_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/pacing"
)

// plant is a worker with serving tasks and best-effort tasks. A pace applies 0.1 s after its order, and the load that the
// worker lists is the mean of the last half second.
type plant struct {
	base   func(at time.Duration) float64
	effect float64
	tasks  int
}

// run paces the tasks of the plant for a time; every fifth list is lost. It returns the work done by each task, in time at full
// pace, and for how long the load was over its target on end while it was under it without the tasks and these worked.
func (p plant) run(d time.Duration) (work, longestOver time.Duration) {
	const step, list = 10 * time.Millisecond, 300 * time.Millisecond
	pacer := pacing.New(0, pacing.Full)
	ordered, inForce, takesEffectAt := pacing.Full, pacing.Full, time.Duration(0)
	var loads []float64
	over, lists := time.Duration(0), 0
	for at := time.Duration(0); at < d; at += step {
		if at >= takesEffectAt {
			inForce = ordered
		}
		base := p.base(at)
		load := base + p.effect*float64(p.tasks*inForce)/pacing.Full
		loads = append(loads, load)
		work += step * time.Duration(inForce) / pacing.Full
		if over += step; load <= 1 || base > 1 || inForce == 0 {
			over = 0
		}
		longestOver = max(longestOver, over)
		if at%list != 0 {
			continue
		}
		if lists++; lists%5 == 0 {
			continue
		}
		mean, n := 0.0, min(len(loads), 50)
		for _, l := range loads[len(loads)-n:] {
			mean += l / float64(n)
		}
		speed := float64(p.tasks*inForce) / pacing.Full
		if pace := pacer.Next(at, pacing.Sample{Load: mean, Tasks: p.tasks, Speed: speed}); pace != ordered {
			ordered, takesEffectAt = pace, at+100*time.Millisecond
		}
	}
	return work, longestOver
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// exceededLimit is how long a target may be exceeded because of best-effort tasks; the platform judges it.
const exceededLimit = 4 * time.Second

// TestTargetIsNotExceededForLong guards the tail targets of serving tasks against best-effort tasks of very different effects,
// beside loads of every height, steady and changing within seconds.
func TestTargetIsNotExceededForLong(t *testing.T) {
	for seed := range uint64(1500) {
		random := rand.New(rand.NewPCG(seed, 1))
		load, swing, phase, period := 1.3*random.Float64(), 0.6*random.Float64(), random.Float64(), 2+20*random.Float64()
		base := func(at time.Duration) float64 {
			return max(0.01, load+swing*math.Sin(2*math.Pi*(phase+at.Seconds()/period)))
		}
		p := plant{base, 0.005 * math.Pow(400, random.Float64()), 1 + random.IntN(30)}
		if _, over := p.run(time.Minute); over >= exceededLimit {
			t.Fatalf("seed %d, effect %g, %d tasks, load %g, swing %g, period %g: over for %v", seed, p.effect, p.tasks, load, swing, period, over)
		}
	}
}

// TestWorkEndsBesideHighLoad guards against best-effort tasks that are slowed down for a load that they do not cause. The
// target is not exceeded by them at full pace, or is exceeded with and without them.
func TestWorkEndsBesideHighLoad(t *testing.T) {
	is := is.New(t)
	workOf := func(d time.Duration, effect float64, base func(time.Duration) float64) time.Duration {
		work, _ := plant{base, effect, 6}.run(d)
		return work
	}
	is.Equal(workOf(12*time.Second, 0.02, steady(0.85)), 12*time.Second)
	is.True(workOf(time.Minute, 0.2, steady(0.92)) >= 2*time.Second) // a pace of 6 % keeps the target
	is.True(workOf(time.Minute, 0.02, steady(1.5)) >= 3*time.Second)
	is.True(workOf(time.Minute, 0.02, steady(1.01)) >= 3*time.Second) // by less than the error of a tail
	surge := func(at time.Duration) float64 { return 1.2 - 0.7*min(1, math.Floor(at.Seconds()/10)) }
	is.True(workOf(40*time.Second, 0.02, surge) >= 20*time.Second) // raised again once there is headroom
}

// TestPauseIsJudgedOnceItApplies guards the tail targets against a lost request to pause: a target that is still exceeded while
// the tasks work is no sign that they do not cause it.
func TestPauseIsJudgedOnceItApplies(t *testing.T) {
	is := is.New(t)
	const list = 300 * time.Millisecond
	pacer, at, pace := pacing.New(0, pacing.Full), time.Duration(0), pacing.Full
	next := func(speed float64) int {
		at += list
		return pacer.Next(at, pacing.Sample{Load: 1.2, Tasks: 1, Speed: speed})
	}
	for pace != pacing.Paused {
		pace = next(float64(pace) / pacing.Full)
	}
	for end := at + 2*time.Second; at < end; {
		is.Equal(next(0.1), pacing.Paused)
	}
	is.Equal(next(0), pacing.Paused) // the tail is that of the last half second
	for range 3 {
		pace = next(0)
	}
	is.Equal(pace, pacing.Floor)
}
