package expect

import (
	"math"
	"slices"
	"time"
)

const (
	// priorSpeedVariance is the variance of the logarithm of workers' slownesses that is
	// assumed without samples. Known speeds are 0.55 to 1.3 times the usual one.
	priorSpeedVariance = 0.4 * 0.4
	// speedMemory is the time in which a worker's speed is forgotten for the most part.
	speedMemory = 15 * time.Minute
	// minSpeedVariance keeps old samples from outweighing a change of the speed.
	minSpeedVariance = 0.06 * 0.06
	// restartVariance is added when a worker restarts: the machine is usually the same, but
	// the next process under an id may be of another kind.
	restartVariance = 0.3 * 0.3
	// clipSpeedDeviations cuts off the residual of a run, so that one run of several times
	// the usual length does not make a worker slow.
	clipSpeedDeviations = 1.5
	// minSpeedSamples is the number of runs below which a speed counts as unknown.
	minSpeedSamples = 3
	// priorNoiseVariance is the variance of the logarithm of run times within a step that is
	// assumed without samples.
	priorNoiseVariance = 0.3 * 0.3
	// maxWorkers bounds the workers that are remembered.
	maxWorkers = 8192
	// medianFactor is the variance of a median of normal values, relative to that of a mean.
	medianFactor = math.Pi / 2
)

// workerSpeed is the normal distribution of the logarithm of a worker's slowness, as of at.
type workerSpeed struct {
	mean, variance float64
	at             time.Duration
	born           int64
	samples        int
	usedAt         int64
}

// Speed is the learned speed of a worker.
type Speed struct {
	// Factor is the speed relative to the usual one: 0.5 if runs take twice as long.
	Factor float64
	// Deviation is the standard deviation of the logarithm of Factor.
	Deviation float64
	// Samples is the number of runs that it is derived from.
	Samples int
}

// Deviations by which a speed must differ from the usual one.
const (
	// DistinctDeviations applies where workers usually have one speed: beyond it is one value
	// in 80 of a normal distribution.
	DistinctDeviations = 2.5
	// MixedDeviations applies where a part of the workers is known to be distinct, so that
	// another one is more likely to be.
	MixedDeviations = 1.5
)

// IsDistinct reports whether the speed differs from the usual one by more than a number of its
// deviations, and by enough to matter.
func (s Speed) IsDistinct(deviations float64) bool {
	const minRatio = 1.15
	difference := math.Abs(math.Log(s.Factor))
	return s.Samples >= minSpeedSamples && difference >= math.Log(minRatio) && difference >= deviations*s.Deviation
}

// WorkerSpeed returns the learned speed of an incarnation of a worker. Of a worker without
// samples it is 1.
func (m *Model) WorkerSpeed(now time.Duration, worker string, born int64) Speed {
	return m.speedAt(now, Incarnation{Worker: worker, Born: born}).speed()
}

func (s workerSpeed) speed() Speed {
	return Speed{Factor: math.Exp(-s.mean), Deviation: math.Sqrt(s.variance), Samples: s.samples}
}

// speedAt returns the distribution of a worker's slowness, decayed towards the prior.
func (m *Model) speedAt(now time.Duration, w Incarnation) workerSpeed {
	old := m.workers[w.Worker]
	if old == nil {
		return workerSpeed{variance: priorSpeedVariance, at: now, born: w.Born}
	}
	s := *old
	kept := math.Exp(-float64(max(now-s.at, 0)) / float64(speedMemory))
	s.mean *= kept
	s.variance = priorSpeedVariance + (s.variance-priorSpeedVariance)*kept*kept
	s.at = now
	if s.born != w.Born {
		s.born = w.Born
		s.variance = min(s.variance+restartVariance, priorSpeedVariance)
		s.samples = min(s.samples, minSpeedSamples-1)
	}
	return s
}

// observeWorker adds the residual of a number of runs of one step: the logarithm of their time
// less that of the time on a worker of usual speed, which is uncertain by a variance.
func (m *Model) observeWorker(now time.Duration, w Incarnation, residual, variance float64, runs int) {
	s := m.speedAt(now, w)
	total := s.variance + max(variance, minVariance)
	limit := clipSpeedDeviations * math.Sqrt(total)
	gain := s.variance / total
	s.mean += gain * min(max(residual-s.mean, -limit), limit)
	s.variance = max((1-gain)*s.variance, minSpeedVariance)
	s.samples += runs
	m.touch(&s.usedAt)
	m.workers[w.Worker] = &s
	if len(m.workers) > maxWorkers {
		evictOldest(m.workers, func(s *workerSpeed) int64 { return s.usedAt })
	}
}

// Siblings collects finished runs of one step until they are compared. The owner keeps one with
// each step. Runs are compared when all have ended, and not one by one or in parts: those on fast
// workers end first, so that each later one would look slow, and the runs of a part are alike.
type Siblings struct {
	runs []siblingRun
}

type siblingRun struct {
	worker Incarnation
	// logTime is the logarithm of the run time in seconds.
	logTime float64
}

func (s *Siblings) add(w Incarnation, logTime float64) {
	s.runs = append(s.runs, siblingRun{w, logTime})
}

// workerRuns are the runs of a step on one worker.
type workerRuns struct {
	worker Incarnation
	// logTimes are sorted; median is theirs, corrected that on a worker of usual speed.
	logTimes          []float64
	median, corrected float64
	speedVariance     float64
}

// CompareSiblings derives the speeds of workers from the collected runs of a step and clears
// them. The owner calls it once all tasks of the step are done. The time on a worker of usual speed is the median over the other workers, each corrected
// by what is known of its speed, combined with the prediction. Runs on the same worker say
// nothing about its speed relative to each other.
func (m *Model) CompareSiblings(now time.Duration, work Work, siblings *Siblings) {
	if len(siblings.runs) == 0 {
		return
	}
	byWorker := m.groupByWorker(now, siblings.runs)
	siblings.runs = nil
	predicted := m.predict(now, work)
	queue := m.levelFor(levelKey{queue: work.Queue})
	queue.decay(now)
	noise := queue.noiseVariance()
	sorted := make([]float64, len(byWorker))
	speedVariance := 0.0
	for i, g := range byWorker {
		sorted[i] = g.corrected
		speedVariance += g.speedVariance / float64(len(byWorker))
	}
	slices.Sort(sorted)
	for _, g := range byWorker {
		precision, centre := 0.0, 0.0
		if others := len(byWorker) - 1; others > 0 {
			precision = float64(others) / (medianFactor * (noise + speedVariance))
			centre = precision * medianWithout(sorted, g.corrected)
		}
		if predicted.isKnown {
			precision += 1 / (predicted.variance - predicted.noise)
			centre += predicted.centre / (predicted.variance - predicted.noise)
		}
		if precision == 0 {
			return
		}
		residual := g.median - centre/precision
		m.observeWorker(now, g.worker, residual, noise/float64(len(g.logTimes))+1/precision, len(g.logTimes))
		if len(byWorker) > 1 {
			// The noise has its share of the difference, the speeds have the rest.
			share := math.Sqrt(noise / (noise + g.speedVariance + 1/precision))
			queue.noise.add((g.corrected-centre/precision)*share, 1, average{variance: priorNoiseVariance}, false)
		}
	}
}

// noiseVariance returns the variance of the logarithm of run times within a step of a queue.
func (l *level) noiseVariance() float64 {
	return max(l.noise.shrunkTowards(average{variance: priorNoiseVariance}, false).variance, minVariance)
}

// groupByWorker groups the runs of a step by worker, in the order of their first ends.
func (m *Model) groupByWorker(now time.Duration, runs []siblingRun) []workerRuns {
	var out []workerRuns
	index := map[Incarnation]int{}
	for _, r := range runs {
		i, known := index[r.worker]
		if !known {
			i = len(out)
			index[r.worker] = i
			out = append(out, workerRuns{worker: r.worker})
		}
		out[i].logTimes = append(out[i].logTimes, r.logTime)
	}
	for i := range out {
		g := &out[i]
		slices.Sort(g.logTimes)
		n := len(g.logTimes)
		g.median = (g.logTimes[(n-1)/2] + g.logTimes[n/2]) / 2
		s := m.speedAt(now, g.worker)
		g.corrected, g.speedVariance = g.median-s.mean, s.variance
	}
	return out
}

// medianWithout returns the median of sorted values without one of them.
func medianWithout(sorted []float64, value float64) float64 {
	removed, _ := slices.BinarySearch(sorted, value)
	at := func(i int) float64 {
		if i >= removed {
			i++
		}
		return sorted[i]
	}
	n := len(sorted) - 1
	return (at((n-1)/2) + at(n/2)) / 2
}
