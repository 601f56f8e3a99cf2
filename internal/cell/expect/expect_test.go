package expect

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/structs"
)

var testWork = Work{Queue: "q", Tasks: 1, Shape: ShapeOf(1, structs.Resources{MilliCPU: 1000}, false)}

// observe adds runs of one kind, each on a worker of its own.
func observe(m *Model, runs int, work Work, runTime time.Duration, isRemote bool) {
	for range runs {
		m.ObserveDone(0, Sample{Work: work, RunTime: runTime, Workers: []Incarnation{{fmt.Sprint(m.uses), 1}}, IsRemote: isRemote})
	}
}

// observeStep adds a step of random size with a task on each of some workers, in the order in
// which they end.
func observeStep(m *Model, rng *rand.Rand, now time.Duration, slowness []float64, tasks int, spread float64) {
	size := rng.NormFloat64() * 0.5
	work := testWork
	work.Tasks, work.Estimate = tasks, seconds(math.Exp(size+rng.NormFloat64()*spread))
	s := Sample{Work: work}
	if tasks > 1 {
		s.Siblings = &Siblings{}
	}
	var samples []Sample
	for _, w := range rng.Perm(len(slowness))[:tasks] {
		log := size + slowness[w] + rng.NormFloat64()*0.2
		if rng.Float64() < 0.03 {
			log += math.Log(7)
		}
		s.RunTime, s.Workers = seconds(math.Exp(log)), []Incarnation{{fmt.Sprint(w), 1}}
		samples = append(samples, s)
	}
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.RunTime, b.RunTime) })
	for _, s := range samples {
		m.ObserveDone(now, s)
	}
	if s.Siblings != nil {
		m.CompareSiblings(now, work, s.Siblings)
	}
}

// TestWithoutSamplesTheEstimateCounts guards against a new owner that predicts anything else
// than the caller's estimate before it has seen a run.
func TestWithoutSamplesTheEstimateCounts(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	work := testWork
	is.Equal(m.RunTime(0, work).Mean, time.Duration(0))
	work.Estimate = 3 * time.Second
	is.Equal(m.RunTime(0, work).Mean, 3*time.Second)
	is.Equal(m.WorkerSpeed(0, "w", 1).Factor, 1.0)
}

// TestEstimateCountsByItsError guards against a prediction that is worse than the estimate or
// than the queue's median, whatever the error of the estimates is.
func TestEstimateCountsByItsError(t *testing.T) {
	for _, spread := range []float64{0.2, 0.5, 0.9} {
		t.Run(fmt.Sprint(spread), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			m := NewModel(2)
			for i := range 400 {
				observeStep(m, rng, time.Duration(i)*100*time.Millisecond, make([]float64, 20), 1, spread)
			}
			ofPrediction, ofEstimate, ofMedian := 0.0, 0.0, 0.0
			for range 400 {
				size := rng.NormFloat64() * 0.5
				run, estimate := size+rng.NormFloat64()*0.2, size+rng.NormFloat64()*spread
				work := testWork
				work.Estimate = seconds(math.Exp(estimate))
				ofPrediction += math.Pow(m.RunTime(40*time.Second, work).centre-run, 2)
				ofEstimate += math.Pow(estimate-run, 2)
				ofMedian += run * run
			}
			is.True(ofPrediction < 1.1*min(ofEstimate, ofMedian))
		})
	}
}

// TestLongRunsDoNotMoveTheCentre guards against a centre that a few runs of seven times the
// usual length move, against quantiles without them, and against runs outside the rack of their
// data that count as if they were near it.
func TestLongRunsDoNotMoveTheCentre(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	for range 15 {
		observe(m, 32, testWork, 2*time.Second, true)
		observe(m, 1, testWork, 7*time.Second, false)
	}
	p := m.RunTime(0, testWork)
	is.True(p.Mean > 900*time.Millisecond && p.Mean < 1300*time.Millisecond)
	is.True(p.Quantile(0.5) < 1300*time.Millisecond)
	is.True(p.Quantile(0.99) > 5*time.Second)
}

// TestChangedRunTimesAreFollowed guards against a prediction that stays at old run times.
func TestChangedRunTimesAreFollowed(t *testing.T) {
	m := NewModel(2)
	observe(m, 100, testWork, time.Second, false)
	for range 20 {
		m.ObserveDone(4*halfLife, Sample{Work: testWork, RunTime: 4 * time.Second, Workers: []Incarnation{{fmt.Sprint(m.uses), 1}}})
	}
	is.New(t).True(m.RunTime(4*halfLife, testWork).Mean > 2*time.Second)
}

// TestFinestLevelWithSamplesCounts guards against images of one queue that are predicted alike
// although they take different times, and against a new image without a prediction.
func TestFinestLevelWithSamplesCounts(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	short, long, fresh := testWork, testWork, testWork
	short.Image, long.Image, fresh.Image = "short", "long", "fresh"
	for range 100 {
		observe(m, 1, short, time.Second, false)
		observe(m, 1, long, 8*time.Second, false)
	}
	is.True(m.RunTime(0, short).Mean < 2*time.Second)
	is.True(m.RunTime(0, long).Mean > 5*time.Second)
	is.True(m.RunTime(0, fresh).Mean > 2*time.Second && m.RunTime(0, fresh).Mean < 6*time.Second)
}

// TestSlowWorkersAreFound guards against slow workers that pass for usual ones, and usual ones
// that pass for slow ones, where tasks are of unequal size, estimates are rough and a few runs
// take seven times as long. Each worker has 20 runs; one in four may be slow.
func TestSlowWorkersAreFound(t *testing.T) {
	for _, slow := range []float64{1, 0.55} {
		for _, tasks := range []int{1, 2, 10, 240} {
			t.Run(fmt.Sprint(slow, tasks), func(t *testing.T) {
				is := is.New(t)
				workers := max(48, tasks)
				m, rng, slowness := NewModel(2), rand.New(rand.NewPCG(1, 1)), make([]float64, workers)
				for i := 0; i < workers; i += 4 {
					slowness[i] = -math.Log(slow)
				}
				for i := range 20 * workers / tasks {
					observeStep(m, rng, time.Duration(i*tasks)*50*time.Millisecond, slowness, tasks, 0.4)
				}
				found, mistaken := 0, 0
				for i := range slowness {
					isDistinct := m.WorkerSpeed(time.Minute, fmt.Sprint(i), 1).IsDistinct(DistinctDeviations)
					switch {
					case isDistinct && slowness[i] > 0:
						found++
					case isDistinct:
						mistaken++
					}
				}
				is.True(slow == 1 || found >= 9*workers/48) // of 12 in 48
				is.True(mistaken <= 2*workers/48)
			})
		}
	}
}

// TestRestartKeepsTheSpeedWithDoubt guards against a restarted worker that is as certain to be
// slow as before, since the next process may be of another kind, and against one about which
// everything is forgotten.
func TestRestartKeepsTheSpeedWithDoubt(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	m.observeWorker(0, Incarnation{"w", 1}, math.Log(2), 0.001, 50)
	before, after := m.WorkerSpeed(0, "w", 1), m.WorkerSpeed(0, "w", 2)
	is.True(before.IsDistinct(DistinctDeviations))
	is.Equal(after.Factor, before.Factor)
	is.True(!after.IsDistinct(DistinctDeviations))
	m.observeWorker(0, Incarnation{"w", 2}, 0, 0.01, 10)
	is.True(m.WorkerSpeed(0, "w", 2).Factor > 0.8)
}

// TestRunsOnOneWorkerDoNotCompare guards against a worker whose speed becomes certain from runs
// of a step that were all on this worker.
func TestRunsOnOneWorkerDoNotCompare(t *testing.T) {
	m, siblings := NewModel(2), &Siblings{}
	for range 64 {
		m.ObserveDone(0, Sample{Work: testWork, RunTime: 5 * time.Second, Workers: []Incarnation{{"w", 1}}, Siblings: siblings})
	}
	m.CompareSiblings(0, testWork, siblings)
	is.New(t).True(!m.WorkerSpeed(0, "w", 1).IsDistinct(DistinctDeviations))
}

// TestMemoryIsBounded guards against a model that grows with names that callers choose and with
// workers that come and go; the kinds of work in use must stay.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	for i := range 2 * maxWorkers {
		work := testWork
		work.Image = fmt.Sprint(i)
		m.ObserveDone(0, Sample{Work: work, RunTime: time.Second, Workers: []Incarnation{{fmt.Sprint(i), 1}}})
	}
	is.True(len(m.levels) <= maxLevels && len(m.workers) <= maxWorkers)
	is.True(m.levels[levelKey{queue: "q"}] != nil)
}

// BenchmarkCell measures an observation with a prediction, and the memory in KB, with runs of
// 39,000 kinds in a cell of 1,300 workers, 10 queues and 67 customers.
func BenchmarkCell(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	samples := make([]Sample, 39000)
	for i := range samples {
		samples[i] = Sample{RunTime: seconds(math.Exp(rng.NormFloat64())), Workers: []Incarnation{{fmt.Sprint(i % 1300), 1}},
			Work: Work{Queue: fmt.Sprint(i % 10), Customer: fmt.Sprint(i % 67), Image: fmt.Sprint(rng.IntN(20)), Estimate: time.Second,
				Shape: ShapeOf(1+rng.IntN(100), structs.Resources{MilliCPU: int64(500 + rng.IntN(20000))}, false)}}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := NewModel(2)
	for i := 0; b.Loop(); i++ {
		m.ObserveDone(time.Duration(i)*time.Millisecond, samples[i%len(samples)])
		m.RunTime(time.Duration(i)*time.Millisecond, samples[i%len(samples)].Work)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
	runtime.KeepAlive(samples)
	runtime.KeepAlive(m)
}

// TestWorkWithoutImageCountsOnce guards against work without image and customer whose levels
// have the same key, so that each of its samples counts twice.
func TestWorkWithoutImageCountsOnce(t *testing.T) {
	is := is.New(t)
	with, without := NewModel(2), NewModel(2)
	named := testWork
	named.Image = "i"
	for i := range 5 {
		observe(with, 1, named, time.Duration(i+1)*time.Second, false)
		observe(without, 1, testWork, time.Duration(i+1)*time.Second, false)
	}
	is.Equal(without.RunTime(0, testWork), with.RunTime(0, named))
}
