package expect

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/structs"
)

var testWork = Work{Queue: "q", Customer: "c", Tasks: 1, Shape: ShapeOf(1, structs.Resources{MilliCPU: 1000}, false)}

// generator draws run times as deployments have them.
type generator struct {
	rng *rand.Rand
	// sizeSpread, estimateSpread and noise are standard deviations of logarithms.
	sizeSpread, estimateSpread, noise float64
	slowness                          []float64
}

// step observes a step with one task on each of some workers.
func (g *generator) step(m *Model, now time.Duration, tasks int) {
	size := g.rng.NormFloat64() * g.sizeSpread
	work := testWork
	work.Tasks = tasks
	work.Estimate = seconds(math.Exp(size + g.rng.NormFloat64()*g.estimateSpread))
	var siblings *Siblings
	if tasks > 1 {
		siblings = &Siblings{}
	}
	for i, w := range g.rng.Perm(len(g.slowness))[:tasks] {
		log := size + g.slowness[w] + g.rng.NormFloat64()*g.noise
		if g.rng.Float64() < 0.03 {
			log += math.Log(7)
		}
		m.ObserveDone(now, Sample{Work: work, RunTime: seconds(math.Exp(log)), Workers: []Incarnation{{fmt.Sprint(w), 1}},
			Siblings: siblings, IsLast: i == tasks-1})
	}
}

// slownesses has a quarter of workers at 0.55 of the usual speed, and the rest at 1.2.
func slownesses(workers int) []float64 {
	out := make([]float64, workers)
	for i := range out {
		out[i] = -math.Log(1.2)
		if i%4 == 0 {
			out[i] = -math.Log(0.55)
		}
	}
	return out
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
	is.True(!m.WorkerSpeed(0, "w", 1).IsDistinct(DistinctDeviations))
}

// TestEstimateCountsByItsError guards against a weight of the caller's estimate that does not
// follow from its measured error: the prediction must be closer to the true size than both the
// estimate and the queue's median are.
func TestEstimateCountsByItsError(t *testing.T) {
	for _, spread := range []float64{0.2, 0.5, 0.9} {
		t.Run(fmt.Sprint(spread), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			m := NewModel(2)
			g := generator{rng: rng, sizeSpread: 0.6, estimateSpread: spread, slowness: make([]float64, 20)}
			for i := range 400 {
				g.step(m, time.Duration(i)*100*time.Millisecond, 1)
			}
			ofPrediction, ofEstimate, ofMedian, weight := 0.0, 0.0, 0.0, 0.0
			for range 400 {
				size, off := rng.NormFloat64()*0.6, rng.NormFloat64()*spread
				work := testWork
				work.Estimate = seconds(math.Exp(size + off))
				p := m.RunTime(40*time.Second, work)
				ofPrediction += math.Pow(p.centre-size, 2)
				ofEstimate += off * off
				ofMedian += size * size
				weight = p.EstimateWeight
			}
			is.True(ofPrediction < 1.1*min(ofEstimate, ofMedian))
			best := 0.36 / (0.36 + spread*spread)
			is.True(math.Abs(weight-best) < 0.2)
		})
	}
}

// TestLongRunsDoNotMoveTheCentre guards against a centre that a few runs of seven times the
// usual length move, and against quantiles without them.
func TestLongRunsDoNotMoveTheCentre(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	for i := range 500 {
		runTime := time.Second
		if i%33 == 5 {
			runTime = 7 * time.Second
		}
		m.ObserveDone(0, Sample{Work: testWork, RunTime: runTime, Workers: []Incarnation{{fmt.Sprint(i), 1}}})
	}
	p := m.RunTime(0, testWork)
	is.True(p.Mean > 900*time.Millisecond && p.Mean < 1300*time.Millisecond)
	is.True(p.Quantile(0.5) < 1300*time.Millisecond)
	is.True(p.Quantile(0.99) > 5*time.Second)
}

// TestFinestLevelWithSamplesCounts guards against images of one queue that are predicted alike
// although they take different times, and against a new image without a prediction.
func TestFinestLevelWithSamplesCounts(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	short, long, fresh := testWork, testWork, testWork
	short.Image, long.Image, fresh.Image = "short", "long", "fresh"
	for i := range 100 {
		w := []Incarnation{{fmt.Sprint(i), 1}}
		m.ObserveDone(0, Sample{Work: short, RunTime: time.Second, Workers: w})
		m.ObserveDone(0, Sample{Work: long, RunTime: 8 * time.Second, Workers: w})
	}
	is.True(m.RunTime(0, short).Mean < 2*time.Second)
	is.True(m.RunTime(0, long).Mean > 5*time.Second)
	is.True(m.RunTime(0, fresh).Mean > 2*time.Second && m.RunTime(0, fresh).Mean < 6*time.Second)
}

// TestSlowWorkersAreFound guards against slow workers that pass for usual ones, and usual ones
// that pass for slow ones, where tasks are of unequal size, estimates are rough and a few runs
// take seven times as long. Each worker has 20 runs.
func TestSlowWorkersAreFound(t *testing.T) {
	for _, tasks := range []int{1, 2, 10} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			is := is.New(t)
			m := NewModel(2)
			g := generator{rng: rand.New(rand.NewPCG(1, 1)), sizeSpread: 0.5, estimateSpread: 0.4, noise: 0.2, slowness: slownesses(48)}
			for i := range 20 * 48 / tasks {
				g.step(m, time.Duration(i*tasks)*50*time.Millisecond, tasks)
			}
			found, mistaken := 0, 0
			for i := range g.slowness {
				s := m.WorkerSpeed(time.Minute, fmt.Sprint(i), 1)
				switch isSlow := s.IsDistinct(DistinctDeviations) && s.Factor < 1; {
				case isSlow && i%4 == 0:
					found++
				case isSlow:
					mistaken++
				}
			}
			is.True(found >= 9) // of 12
			is.True(mistaken <= 1)
		})
	}
}

// TestEqualWorkersAreNotDistinct guards against placements that follow noise: in a deployment
// whose workers have one speed, at most a few in a hundred may seem to have another.
func TestEqualWorkersAreNotDistinct(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	g := generator{rng: rand.New(rand.NewPCG(2, 1)), sizeSpread: 0.5, estimateSpread: 0.4, noise: 0.2, slowness: make([]float64, 100)}
	for i := range 2000 {
		g.step(m, time.Duration(i)*20*time.Millisecond, 1+i%5)
	}
	distinct := 0
	for i := range g.slowness {
		if m.WorkerSpeed(time.Minute, fmt.Sprint(i), 1).IsDistinct(DistinctDeviations) {
			distinct++
		}
	}
	is.True(distinct <= 3)
}

// TestRestartKeepsTheSpeedWithDoubt guards against a restarted worker that is as certain to be
// slow as before, since the next process may be of another kind, and against one about which
// everything is forgotten.
func TestRestartKeepsTheSpeedWithDoubt(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	for range 50 {
		m.observeWorker(0, Incarnation{"w", 1}, math.Log(2), 0.05, 1)
	}
	before, after := m.WorkerSpeed(0, "w", 1), m.WorkerSpeed(0, "w", 2)
	is.True(before.IsDistinct(DistinctDeviations) && before.Factor < 0.6)
	is.Equal(after.Factor, before.Factor)
	is.True(!after.IsDistinct(DistinctDeviations))
	for range 10 {
		m.observeWorker(0, Incarnation{"w", 2}, 0, 0.05, 1)
	}
	is.True(m.WorkerSpeed(0, "w", 2).Factor > 0.85)
}

// TestRunsOnOneWorkerDoNotCompare guards against a worker whose speed becomes certain from runs
// of a step that were all on this worker.
func TestRunsOnOneWorkerDoNotCompare(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	siblings := &Siblings{}
	for i := range 50 {
		work := testWork
		work.Tasks = 50
		m.ObserveDone(0, Sample{Work: work, RunTime: 5 * time.Second, Workers: []Incarnation{{"w", 1}}, Siblings: siblings, IsLast: i == 49})
	}
	is.True(!m.WorkerSpeed(0, "w", 1).IsDistinct(DistinctDeviations))
}

// TestRemoteRunsAreCorrected guards against sizes and speeds that are learned from runs outside
// the rack of their data as if these were near it.
func TestRemoteRunsAreCorrected(t *testing.T) {
	is := is.New(t)
	m := NewModel(2)
	for i := range 100 {
		m.ObserveDone(0, Sample{Work: testWork, RunTime: 2 * time.Second, Workers: []Incarnation{{fmt.Sprint(i), 1}}, IsRemote: true})
	}
	is.True(m.RunTime(0, testWork).Mean < 1200*time.Millisecond)
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
	is.True(len(m.levels) <= maxLevels)
	is.True(len(m.workers) <= maxWorkers)
	is.True(m.levels[levelKey{queue: "q"}] != nil)
}

// benchmarkModel returns a model of 1,300 workers that has seen runs of 67 customers.
func benchmarkModel(observe func(m *Model, s Sample)) *Model {
	m := NewModel(2)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 39000 {
		work := testWork
		work.Queue, work.Customer, work.Estimate = fmt.Sprint(i%10), fmt.Sprint(i%67), time.Second
		observe(m, Sample{Work: work, RunTime: seconds(math.Exp(rng.NormFloat64())), Workers: []Incarnation{{fmt.Sprint(i % 1300), 1}}})
	}
	return m
}

// BenchmarkObserveDone measures an observation, BenchmarkRunTime a prediction, in a cell of
// 1,300 workers, 10 queues and 67 customers.
func BenchmarkObserveDone(b *testing.B) {
	var samples []Sample
	m := benchmarkModel(func(m *Model, s Sample) { m.ObserveDone(0, s); samples = append(samples, s) })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.ObserveDone(time.Duration(i)*time.Millisecond, samples[i%len(samples)])
	}
}

func BenchmarkRunTime(b *testing.B) {
	var samples []Sample
	m := benchmarkModel(func(m *Model, s Sample) { m.ObserveDone(0, s); samples = append(samples, s) })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.RunTime(time.Duration(i)*time.Millisecond, samples[i%len(samples)].Work)
	}
}
