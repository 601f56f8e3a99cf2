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

// result is what a plant shows over a time.
type result struct {
	// work is the work done by each task, in time at full pace; longestOver is for how long the load was over its target on
	// end while it was under it without the tasks and these worked.
	work, longestOver time.Duration
}

// run paces the tasks of the plant for a time. Every fifth order and list is lost.
func (p plant) run(d time.Duration) (r result) {
	const step, list = 10 * time.Millisecond, 300 * time.Millisecond
	pacer := pacing.New(0, pacing.Full)
	ordered, inForce, takesEffectAt := pacing.Full, pacing.Full, time.Duration(0)
	var loads []float64
	over := time.Duration(0)
	lists := 0
	for at := time.Duration(0); at < d; at += step {
		if at >= takesEffectAt {
			inForce = ordered
		}
		base := p.base(at)
		load := base + p.effect*float64(p.tasks*inForce)/pacing.Full
		loads = append(loads, load)
		r.work += step * time.Duration(inForce) / pacing.Full
		if over += step; load <= 1 || base > 1 || inForce == 0 {
			over = 0
		}
		r.longestOver = max(r.longestOver, over)
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
	return r
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// exceededLimit is how long a target may be exceeded because of best-effort tasks; the platform judges it.
const exceededLimit = 4 * time.Second

// TestTargetIsNotExceededForLong guards the tail targets of serving tasks against best-effort tasks of very different effects,
// beside loads of every height, steady and changing within seconds.
func TestTargetIsNotExceededForLong(t *testing.T) {
	for _, effect := range []float64{0.005, 0.02, 0.1, 0.5, 2} {
		for _, tasks := range []int{1, 6, 30} {
			for load := 0.0; load < 1.3; load += 0.05 {
				for seed := range uint64(4) {
					random := rand.New(rand.NewPCG(seed, 1))
					phase, period := random.Float64(), 2+20*random.Float64()
					swing := 0.2 * float64(seed)
					base := func(at time.Duration) float64 {
						return max(0.01, load+swing*math.Sin(2*math.Pi*(phase+at.Seconds()/period)))
					}
					r := plant{base, effect, tasks}.run(time.Minute)
					if r.longestOver >= exceededLimit {
						t.Fatalf("effect %g, %d tasks, load %g, swing %g, period %g: over for %v", effect, tasks, load, swing, period, r.longestOver)
					}
				}
			}
		}
	}
}

// TestWorkEndsBesideHighLoad guards against best-effort tasks that are slowed down for a load that they do not cause. The
// target is not exceeded by them at full pace, or is exceeded with and without them.
func TestWorkEndsBesideHighLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(plant{steady(0.85), 0.02, 6}.run(12*time.Second).work, 12*time.Second)
	is.True(plant{steady(0.92), 0.2, 6}.run(time.Minute).work >= 2*time.Second) // a pace of 6 % keeps the target
	is.True(plant{steady(1.5), 0.02, 6}.run(time.Minute).work >= 3*time.Second)
	surge := plant{func(at time.Duration) float64 {
		if at < 10*time.Second {
			return 1.2
		}
		return 0.5
	}, 0.02, 6}.run(40 * time.Second)
	is.True(surge.work >= 20*time.Second) // raised again once there is headroom
}
