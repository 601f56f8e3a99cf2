package scheduler

import (
	"math"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// maxUrgentStartTarget is the longest start target of urgent work, which is placed
	// before all other work and preempts at once. The requirement is a start
	// within 8 s.
	maxUrgentStartTarget = 10 * time.Second
	// defaultStartTarget stands in for a missing start target.
	defaultStartTarget = time.Hour
	// minStartTargetRatio is how many times longer the start target of a victim has
	// to be than that of the work that preempts it. It makes preemption acyclic.
	minStartTargetRatio = 4
	// minSamples is the number of ended attempts before what was learned about
	// a class counts.
	minSamples = 10
)

// class is a class of work with what was learned about it.
type class struct {
	structs.Class
	isConfigured bool
	// hasChanged means that the last change of configuration hasChanged the class.
	hasChanged bool
	// cpuRatios and memoryRatios are used by declared size, runTimeRatios is actual by declared
	// run time, and runSeconds is the run time of tasks that declare none.
	cpuRatios, memoryRatios, runTimeRatios, runSeconds histogram
}

func (c *class) startTarget() time.Duration {
	if c.StartTarget <= 0 {
		return defaultStartTarget
	}
	return c.StartTarget
}

func (c *class) isUrgent() bool { return c.startTarget() <= maxUrgentStartTarget }

// expectedRunTime returns the 90 % quantile of the run time of a task with the
// given declared run time, and zero if it is unknown.
func (c *class) expectedRunTime(declared time.Duration) time.Duration {
	if declared > 0 {
		if c.runTimeRatios.sampleCount() < minSamples {
			return declared
		}
		return time.Duration(float64(declared) * c.runTimeRatios.quantile())
	}
	if c.runSeconds.sampleCount() < minSamples {
		return 0
	}
	return time.Duration(c.runSeconds.quantile() * float64(time.Second))
}

// learnedSize returns the size to allocate for a declared size. It is never below it.
func (c *class) learnedSize(declared structs.Resources) structs.Resources {
	grown := declared
	if c.cpuRatios.sampleCount() >= minSamples {
		grown.MilliCPU = int64(float64(declared.MilliCPU) * max(1, c.cpuRatios.quantile()))
	}
	if c.memoryRatios.sampleCount() >= minSamples {
		grown.MemoryMB = int64(float64(declared.MemoryMB) * max(1, c.memoryRatios.quantile()))
	}
	return grown
}

const (
	// histogramBuckets covers 2^-16 to 2^16 in steps of an eighth of a power of
	// two. Coarse steps keep the sizes of a class from changing all the time.
	histogramBuckets   = 257
	bucketsPerDoubling = 8
	// bucketTolerance keeps a ratio of one in its bucket.
	bucketTolerance = 0.01
	// decaySampleCount is the number of samples at which all counts are halved, so that
	// the last thousand or so decide.
	decaySampleCount = 1000
	// learnedQuantile is the quantile used for sizes and run times.
	learnedQuantile = 0.9
)

// histogram is a histogram of ratios on a logarithmic scale, with decay. Ratios
// are rounded up, so that a learned size holds what was used.
type histogram struct {
	counts [histogramBuckets]int32
	total  int32
	// cachedQuantile is the high quantile, zero while it is not computed.
	cachedQuantile float64
}

func (q *histogram) sampleCount() int { return int(q.total) }

func (q *histogram) add(ratio float64) {
	if !(ratio > 0) {
		return
	}
	b := int(math.Ceil(math.Log2(ratio)*bucketsPerDoubling-bucketTolerance)) + histogramBuckets/2
	q.cachedQuantile = 0
	q.counts[min(max(b, 0), histogramBuckets-1)]++
	q.total++
	if q.total >= decaySampleCount {
		q.halve()
	}
}

func (q *histogram) halve() {
	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += q.counts[i]
	}
}

// quantile returns the quantile quantile.
func (q *histogram) quantile() float64 {
	if q.cachedQuantile == 0 {
		q.cachedQuantile = q.computeQuantile()
	}
	return q.cachedQuantile
}

func (q *histogram) computeQuantile() float64 {
	left := int32(math.Ceil(float64(q.total) * learnedQuantile))
	for i, n := range q.counts {
		left -= n
		if left <= 0 {
			return math.Exp2(float64(i-histogramBuckets/2) / bucketsPerDoubling)
		}
	}
	return 1
}
