package expect

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// QueueSummary is what was learned about a queue, for operators.
type QueueSummary struct {
	Queue string
	// Median is the median run time on a worker of usual speed, Spread the standard deviation
	// of its logarithm.
	Median time.Duration
	Spread float64
	// EstimateRatio is the median of the ratio of run time and estimate, EstimateSpread the
	// standard deviation of its logarithm, and EstimateWeight the weight of an estimate in a
	// prediction.
	EstimateRatio  float64
	EstimateSpread float64
	EstimateWeight float64
	// NoiseSpread is the standard deviation of the logarithm of run times within a step.
	NoiseSpread float64
	// Samples is the weight of the runs that it is derived from.
	Samples float64
}

// Queues returns the summaries of the queues with the most samples, at most limit.
func (m *Model) Queues(now time.Duration, limit int) []QueueSummary {
	var out []QueueSummary
	for key, l := range m.levels {
		if key != (levelKey{queue: key.queue}) {
			continue
		}
		l.decay(now)
		size, bias := l.size.shrunkTowards(average{variance: priorSizeVariance}, true), l.bias.shrunkTowards(average{variance: priorEstimateVariance}, false)
		noise := l.noiseVariance()
		sizeVariance, biasVariance := withoutNoise(size.variance, noise), withoutNoise(bias.variance, noise)
		out = append(out, QueueSummary{
			Queue: key.queue, Samples: l.size.weight,
			Median: seconds(math.Exp(size.mean)), Spread: math.Sqrt(size.variance),
			EstimateRatio: math.Exp(bias.mean), EstimateSpread: math.Sqrt(bias.variance),
			EstimateWeight: sizeVariance / (sizeVariance + biasVariance), NoiseSpread: math.Sqrt(noise),
		})
	}
	slices.SortFunc(out, func(a, b QueueSummary) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Queue, b.Queue))
	})
	return out[:min(len(out), limit)]
}
