// Package estimate estimates the run times and the arrival rate of a class from
// observations. Old observations lose weight exponentially, so that estimates follow
// changes.
//
// The package reads no clock: now is a duration since an arbitrary start and must
// not decrease. It stores nothing, and decides nothing about requests; package
// dispatch does. RunTimes is the type to read first, then Rate.
package estimate

import (
	"math"
	"time"
)

const (
	// bucketRatio is the ratio of the bounds of neighbouring buckets. It limits the
	// relative error of a quantile to 10 %.
	bucketRatio = 1.1
	// minBucketBound is the upper bound of the first bucket.
	minBucketBound = 50 * time.Microsecond
	// bucketCount buckets reach from minBucketBound to about 5 days.
	bucketCount = 240
	// maxWeight is the weight of a new observation at which all weights are scaled
	// down. It is far below the overflow of a float64.
	maxWeight = 1e100
)

var logRatio = math.Log(bucketRatio)

// RunTimes estimates the distribution of one class's run times with a histogram of
// weighted observations. It is not safe for concurrent use.
type RunTimes struct {
	halfLife time.Duration
	// weightOrigin is the time at which a new observation has the weight 1. The
	// weight of later ones is higher, so that earlier ones need no update.
	weightOrigin  time.Duration
	bucketWeights [bucketCount]float64
	totalWeight   float64
	// weightedSum is the sum of the weighted run times in seconds.
	weightedSum float64
}

// NewRunTimes returns an empty estimate. The weight of an observation halves every
// halfLife.
func NewRunTimes(halfLife time.Duration) *RunTimes {
	return &RunTimes{halfLife: halfLife}
}

// Observe adds a run time that was observed at now.
func (r *RunTimes) Observe(now, runTime time.Duration) {
	weight := math.Exp2(float64(now-r.weightOrigin) / float64(r.halfLife))
	if weight > maxWeight {
		r.rescale(weight)
		r.weightOrigin = now
		weight = 1
	}
	r.bucketWeights[bucketIndex(runTime)] += weight
	r.totalWeight += weight
	r.weightedSum += weight * runTime.Seconds()
}

// rescale divides all weights by divisor.
func (r *RunTimes) rescale(divisor float64) {
	for i := range r.bucketWeights {
		r.bucketWeights[i] /= divisor
	}
	r.totalWeight /= divisor
	r.weightedSum /= divisor
}

// Weight returns the number of observations, each counted with its weight at now,
// which is at most 1.
func (r *RunTimes) Weight(now time.Duration) float64 {
	return r.totalWeight / math.Exp2(float64(now-r.weightOrigin)/float64(r.halfLife))
}

// Mean returns the weighted mean run time. It is zero before the first observation.
func (r *RunTimes) Mean() time.Duration {
	if r.totalWeight == 0 {
		return 0
	}
	return time.Duration(r.weightedSum / r.totalWeight * float64(time.Second))
}

// Quantile returns the q-quantile of the run time, 0 < q <= 1, at most 10 % too high.
// It is zero before the first observation.
func (r *RunTimes) Quantile(q float64) time.Duration {
	if r.totalWeight == 0 {
		return 0
	}
	wantedWeight := q * r.totalWeight
	weight := 0.0
	last := 0
	for i, w := range r.bucketWeights {
		if w == 0 {
			continue
		}
		last = i
		weight += w
		if weight >= wantedWeight {
			break
		}
	}
	return bucketBound(last)
}

// bucketIndex returns the bucket of a run time. The last bucket has no upper bound.
func bucketIndex(runTime time.Duration) int {
	if runTime <= minBucketBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(runTime)/float64(minBucketBound)) / logRatio))
	return min(i, bucketCount-1)
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(i int) time.Duration {
	return time.Duration(float64(minBucketBound) * math.Pow(bucketRatio, float64(i)))
}
