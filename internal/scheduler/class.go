package scheduler

import (
	"math"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// maxUrgentStartTarget is the longest start target of urgent work, which is
	// placed before all other work and preempts at once. The requirement is a
	// start within 8 s.
	maxUrgentStartTarget = 10 * time.Second
	// defaultStartTarget stands in for a missing start target.
	defaultStartTarget = time.Hour
	// minStartTargetRatio is how many times longer the start target of a victim
	// has to be than that of the work that preempts it. The ratio makes
	// preemption acyclic.
	minStartTargetRatio = 4
	// minSamples is the number of ended attempts from which on the values
	// learned about a class are used.
	minSamples = 10
)

// class is a class of work with what was learned about it.
type class struct {
	structs.Class
	// isConfigured is false for a class that only jobs name.
	isConfigured bool
	// hasChanged means that the last change of configuration changed the class.
	hasChanged bool
	// cpuRatios and memoryRatios hold the used by the declared size,
	// runTimeRatios the actual by the declared run time, and runSeconds the run
	// time of tasks that declare none.
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
// given declared run time. With too few samples it is the declared run time, or
// zero if there is none.
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

// learnedSize returns the size to allocate for a declared size. It is never
// below the declared size.
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
	// decaySampleCount is the number of samples at which all counts are halved,
	// so that about the last thousand samples decide.
	decaySampleCount = 1000
	// learnedQuantile is the quantile used for sizes and run times.
	learnedQuantile = 0.9
)

// histogram counts ratios on a logarithmic scale, with decay. Ratios are
// rounded up, so that a learned size holds what was used.
type histogram struct {
	counts [histogramBuckets]int32
	total  int32
	// cachedQuantile is the result of quantile, zero while it is not computed.
	cachedQuantile float64
}

func (h *histogram) sampleCount() int { return int(h.total) }

func (h *histogram) add(ratio float64) {
	if !(ratio > 0) {
		return
	}
	b := int(math.Ceil(math.Log2(ratio)*bucketsPerDoubling-bucketTolerance)) + histogramBuckets/2
	h.cachedQuantile = 0
	h.counts[min(max(b, 0), histogramBuckets-1)]++
	h.total++
	if h.total >= decaySampleCount {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the
// learnedQuantile.
func (h *histogram) quantile() float64 {
	if h.cachedQuantile == 0 {
		h.cachedQuantile = h.computeQuantile()
	}
	return h.cachedQuantile
}

func (h *histogram) computeQuantile() float64 {
	remaining := int32(math.Ceil(float64(h.total) * learnedQuantile))
	for i, n := range h.counts {
		remaining -= n
		if remaining <= 0 {
			return math.Exp2(float64(i-histogramBuckets/2) / bucketsPerDoubling)
		}
	}
	return 1
}
