// Package expect predicts how long tasks run, and learns how fast workers are, from finished
// runs. Old observations lose weight exponentially.
//
// It calculates in logarithms: the time of a run is the size of its task times the slowness of
// its worker times noise. Model.ObserveDone adds a finished run, Model.CompareSiblings derives
// speeds from the runs of a finished step, Model.RunTime predicts the time
// of a task on a worker of usual speed, Model.WorkerSpeed returns the speed of a worker.
//
// The package reads no clock: now is a duration since an arbitrary start and must not decrease.
// It stores nothing, and it is deterministic. Its memory is bounded by maxLevels and maxWorkers.
//
// A few runs in a hundred last several times as long as others of their kind. The centres are
// therefore learned from residuals that are cut off (average.add). Such runs count in full in
// the histograms of ratios, from which Prediction.Quantile is read; these are
// estimate.RunTimes, one for each queue. The centres do not use estimate.RunTimes: it has no
// variance of the logarithms, and its 2 KB are too much for each kind of work.
package expect

import (
	"math"
	"math/bits"
	"time"

	"gypsumwinch/internal/estimate"
	"gypsumwinch/internal/structs"
)

const (
	// halfLife is the time after which an observation counts half.
	halfLife = 5 * time.Minute
	// priorWeight is the number of samples that the next coarser level, or the prior, counts
	// as.
	priorWeight = 4.0
	// priorEstimateVariance is the variance of the logarithm of estimates' errors that is
	// assumed without samples. Measured spreads are 0.2 to 0.9.
	priorEstimateVariance = 0.5 * 0.5
	// priorSizeVariance is the variance of the logarithm of task sizes in a queue that is
	// assumed without samples.
	priorSizeVariance = 1.0
	// minVariance keeps equal samples from giving a prediction without doubt.
	minVariance = 0.05 * 0.05
	// maxSpreadVariance bounds the correction from the median to the mean.
	maxSpreadVariance = 1.0
	// minRatios is the weight of observations from which quantiles are read from the
	// histogram of ratios instead of the normal distribution of the logarithms.
	minRatios = 20
	// maxLevels bounds the kinds of work that are remembered. The least recently used ones
	// are dropped.
	maxLevels = 4096
)

// Shape is a class of steps of similar size and kind.
type Shape struct {
	tasks, cpu, memory, accelerators uint8
	isGang                           bool
}

// ShapeOf returns the shape of a step. Steps whose numbers are in the same power of 2 have the
// same shape, since exact numbers would often give shapes without samples.
func ShapeOf(tasks int, need structs.Resources, isGang bool) Shape {
	return Shape{
		tasks:        uint8(bits.Len(uint(max(tasks, 0)))),
		cpu:          uint8(bits.Len64(uint64(max(need.MilliCPU, 0)))),
		memory:       uint8(bits.Len64(uint64(max(need.MemoryMB, 0)))),
		accelerators: uint8(bits.Len64(uint64(max(need.Accelerators, 0)))),
		isGang:       isGang,
	}
}

// Work describes a task by what is known before it runs.
type Work struct {
	Queue    string
	Image    string
	Customer string
	Shape    Shape
	// Tasks is the number of tasks of the step.
	Tasks int
	// Estimate is the caller's estimate of the run time, 0 if there is none.
	Estimate time.Duration
}

// Prediction is the distribution of a task's run time on a worker of usual speed.
type Prediction struct {
	// Mean is the expected run time. Without samples it is the caller's estimate.
	Mean time.Duration
	// Spread is the standard deviation of the logarithm of the run time.
	Spread float64
	// EstimateWeight is the weight of the caller's estimate against the learned size, 0 to 1.
	EstimateWeight float64

	// centre is the logarithm of the median in seconds; ratios are the observed ratios to it.
	centre float64
	ratios *estimate.RunTimes
}

// Quantile returns the q-quantile of the run time, 0 < q < 1.
func (p Prediction) Quantile(q float64) time.Duration {
	if p.Mean == 0 {
		return 0
	}
	if p.ratios != nil {
		return seconds(math.Exp(p.centre) * p.ratios.Quantile(q).Seconds())
	}
	return seconds(math.Exp(p.centre + p.Spread*math.Sqrt2*math.Erfinv(2*q-1)))
}

// Model holds what was learned. It is not safe for concurrent use.
type Model struct {
	// remoteLog is the logarithm of the factor for tasks outside the rack of their data or
	// their gang.
	remoteLog float64
	levels    map[levelKey]*level
	workers   map[string]*workerSpeed
	// uses counts the uses of levels and workers, to find the least recently used ones.
	uses int64
}

// NewModel returns a model without observations. remoteFactor multiplies the run time of tasks
// outside the rack of their data or their gang; values below 1 count as 1.
func NewModel(remoteFactor float64) *Model {
	return &Model{
		remoteLog: math.Log(max(remoteFactor, 1)),
		levels:    map[levelKey]*level{},
		workers:   map[string]*workerSpeed{},
	}
}

// Incarnation is one process of a worker.
type Incarnation struct {
	Worker string
	Born   int64
}

// Sample is a finished run that did all the work of its task, or such a run of a gang.
type Sample struct {
	Work    Work
	RunTime time.Duration
	// Workers are the worker of the run or, of a gang, those of all members.
	Workers []Incarnation
	// IsRemote is true if the run was outside the rack of its data or its gang.
	IsRemote bool
	// Siblings collects the runs of the step, from which the speeds of workers are derived.
	// It is nil for a step with a single task and for a gang.
	Siblings *Siblings
}

// ObserveDone adds a finished run. The members of a gang advance together, as fast as the
// slowest of them, so that their common time counts for the slowest worker and says nothing
// about the others.
func (m *Model) ObserveDone(now time.Duration, s Sample) {
	if s.RunTime <= 0 || len(s.Workers) == 0 {
		return
	}
	logTime := math.Log(s.RunTime.Seconds())
	if s.IsRemote {
		logTime -= m.remoteLog
	}
	slowness := m.slownessOf(now, s.Workers)
	before := m.predict(now, s.Work)
	switch {
	case s.Siblings != nil:
		s.Siblings.add(s.Workers[0], logTime)
	case len(s.Workers) == 1 && before.isKnown:
		m.observeWorker(now, s.Workers[0], logTime-before.centre, before.variance, 1)
	}
	m.observeSize(now, s.Work, logTime-slowness, before)
}

// slownessOf returns the logarithm of the factor by which the slowest of some workers is slower
// than usual. The highest of many uncertain values is too high, so that only distinct speeds of
// a gang's members count.
func (m *Model) slownessOf(now time.Duration, workers []Incarnation) float64 {
	if len(workers) == 1 {
		return m.speedAt(now, workers[0]).mean
	}
	slowest := math.Inf(-1)
	for _, w := range workers {
		slowness := 0.0
		if s := m.speedAt(now, w); s.speed().IsDistinct(DistinctDeviations) {
			slowness = s.mean
		}
		slowest = max(slowest, slowness)
	}
	return slowest
}

// RunTime predicts the run time of a task on a worker of usual speed, near its data.
func (m *Model) RunTime(now time.Duration, work Work) Prediction {
	p := m.predict(now, work)
	if !p.isKnown {
		return Prediction{Mean: work.Estimate, EstimateWeight: 1}
	}
	out := Prediction{Spread: math.Sqrt(p.variance), EstimateWeight: p.estimateWeight, centre: p.centre}
	if queue := m.levels[levelKey{queue: work.Queue}]; queue != nil && queue.ratios.Weight(now) >= minRatios {
		out.ratios = queue.ratios
	}
	// Without samples the mean is the estimate itself.
	confidence := p.samples / (p.samples + priorWeight)
	out.Mean = seconds(math.Exp(p.centre + confidence*min(p.variance, maxSpreadVariance)/2))
	if p.samples == 0 {
		out.Mean = work.Estimate
	}
	return out
}

// prediction is the distribution of the logarithm of a run time in seconds.
type prediction struct {
	// isKnown is false if there is neither an estimate nor a sample.
	isKnown        bool
	centre         float64
	variance       float64
	estimateWeight float64
	// noise is the part of variance by which tasks of one step differ.
	noise float64
	// samples is the weight of the samples of the queue.
	samples float64
}

// predict combines the learned size of a step's tasks and the caller's estimate, corrected by its
// learned bias, by the inverse of their variances. Both variances are without the noise by which
// tasks of one step differ, since neither source can tell it.
func (m *Model) predict(now time.Duration, work Work) prediction {
	size, bias := average{variance: priorSizeVariance}, average{variance: priorEstimateVariance}
	noise, samples := priorNoiseVariance, 0.0
	for depth, key := range levelKeys(work) {
		l := m.levels[key]
		if l == nil {
			break
		}
		m.touch(&l.usedAt)
		l.decay(now)
		size, bias = l.size.shrunkTowards(size, depth == 0), l.bias.shrunkTowards(bias, false)
		if depth == 0 {
			samples = l.size.weight
			noise = l.noiseVariance()
		}
	}
	var p prediction
	p.samples, p.noise = samples, noise
	sizePrecision, estimatePrecision := 0.0, 0.0
	if samples > 0 {
		sizePrecision = 1 / withoutNoise(size.variance*(1+1/samples), noise)
		p.centre += sizePrecision * size.mean
	}
	if work.Estimate > 0 {
		estimatePrecision = 1 / withoutNoise(bias.variance, noise)
		p.centre += estimatePrecision * (math.Log(work.Estimate.Seconds()) + bias.mean)
	}
	total := sizePrecision + estimatePrecision
	if total == 0 {
		return prediction{}
	}
	p.isKnown = true
	p.centre /= total
	p.variance = 1/total + noise
	p.estimateWeight = estimatePrecision / total
	return p
}

// withoutNoise subtracts the noise from a variance that includes it. At least a fifth is left,
// since the noise is an estimate too.
func withoutNoise(variance, noise float64) float64 {
	return max(variance-noise, variance/5, minVariance)
}

// observeSize adds the size of a task, in logarithm of seconds on a worker of usual speed, to
// all levels of its work. The tasks of a step share the error of its estimate, so that each
// counts less the more there are.
func (m *Model) observeSize(now time.Duration, work Work, size float64, before prediction) {
	weight := 1.0
	if work.Tasks > 1 && !work.Shape.isGang {
		weight = 1 / math.Sqrt(float64(work.Tasks))
	}
	sizePrior, biasPrior := average{variance: priorSizeVariance}, average{variance: priorEstimateVariance}
	for depth, key := range levelKeys(work) {
		l := m.levelFor(key)
		l.decay(now)
		l.size.add(size, weight, sizePrior, depth == 0)
		if work.Estimate > 0 {
			l.bias.add(size-math.Log(work.Estimate.Seconds()), weight, biasPrior, false)
		}
		sizePrior, biasPrior = l.size.shrunkTowards(sizePrior, depth == 0), l.bias.shrunkTowards(biasPrior, false)
		if depth == 0 && before.isKnown {
			l.ratios.Observe(now, seconds(math.Exp(size-before.centre)))
		}
	}
	m.evictLevels()
}

// seconds converts a number of seconds to a duration of at most a year.
func seconds(s float64) time.Duration {
	const year = 365 * 24 * time.Hour
	return time.Duration(min(s, year.Seconds()) * float64(time.Second))
}

// touch marks a level or a worker as the most recently used one.
func (m *Model) touch(usedAt *int64) {
	m.uses++
	*usedAt = m.uses
}
