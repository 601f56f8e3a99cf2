package expect

import (
	"maps"
	"math"
	"slices"
	"time"

	"gypsumwinch/internal/estimate"
)

const (
	// clipDeviations is the number of standard deviations at which the residual of a sample
	// is cut off, so that runs of several times the usual length do not move the centre far.
	clipDeviations = 2.0
	// maxAverageWeight bounds the weight of an average, so that it goes on following changes:
	// each sample counts a three-hundredth or more.
	maxAverageWeight = 300
)

// levelKey identifies a level: a queue, a queue and shape, or all of Work but the estimate.
type levelKey struct {
	// depth distinguishes the levels of work that has no image and no customer.
	depth                  uint8
	queue, image, customer string
	shape                  Shape
}

// levelKeys returns the levels of a kind of work, the coarsest first.
func levelKeys(w Work) [3]levelKey {
	return [3]levelKey{
		{queue: w.Queue},
		{depth: 1, queue: w.Queue, shape: w.Shape},
		{depth: 2, queue: w.Queue, shape: w.Shape, image: w.Image, customer: w.Customer},
	}
}

// level is what was learned about one kind of work. All values are logarithms.
type level struct {
	// size is that of tasks in seconds, bias that of the ratio of size and estimate.
	size, bias average
	// decayedAt is the time up to which the weights are decayed.
	decayedAt time.Duration
	usedAt    int64
	// noise is the residual of tasks against the others of their step. ratios are the ratios
	// of run times and predictions, in seconds. Both are kept for queues only.
	noise  average
	ratios *estimate.RunTimes
}

// levelFor returns a level, and creates it when it is first observed.
func (m *Model) levelFor(key levelKey) *level {
	l := m.levels[key]
	if l == nil {
		l = &level{}
		if key == (levelKey{queue: key.queue}) {
			l.ratios = estimate.NewRunTimes(halfLife)
		}
		m.levels[key] = l
	}
	m.touch(&l.usedAt)
	return l
}

// decay reduces the weights of a level by the time since the last call. Times are rounded down
// to seconds, so that most calls cost nothing.
func (l *level) decay(now time.Duration) {
	elapsed := (now - l.decayedAt).Truncate(time.Second)
	if elapsed <= 0 {
		return
	}
	l.decayedAt += elapsed
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	l.size.weight *= factor
	l.bias.weight *= factor
	l.noise.weight *= factor
}

// evictLevels drops an eighth of the levels, the least recently used ones, once there are more
// than maxLevels.
func (m *Model) evictLevels() {
	if len(m.levels) > maxLevels {
		evictOldest(m.levels, func(l *level) int64 { return l.usedAt })
	}
}

// evictOldest removes the eighth of the entries that was used least recently. usedAt is different
// for each entry.
func evictOldest[K comparable, V any](entries map[K]V, usedAt func(V) int64) {
	uses := make([]int64, 0, len(entries))
	for _, v := range entries {
		uses = append(uses, usedAt(v))
	}
	slices.Sort(uses)
	oldestKept := uses[len(uses)/8+1]
	maps.DeleteFunc(entries, func(_ K, v V) bool { return usedAt(v) < oldestKept })
}

// average is a weighted mean and variance.
type average struct {
	weight, mean, variance float64
}

// add adds a sample. Its residual is cut off at clipDeviations of the variance that the prior
// and the samples give. The first sample of an average without a prior mean is taken as it is.
func (a *average) add(x, weight float64, prior average, hasNoPriorMean bool) {
	expected := a.shrunkTowards(prior, hasNoPriorMean)
	if a.weight == 0 {
		a.mean = expected.mean
		if hasNoPriorMean {
			a.mean = x
		}
	}
	limit := clipDeviations * math.Sqrt(max(expected.variance, minVariance))
	residual := min(max(x-a.mean, -limit), limit)
	a.weight = min(a.weight+weight, maxAverageWeight)
	share := weight / a.weight
	a.mean += share * residual
	a.variance = (1 - share) * (a.variance + share*residual*residual)
}

// shrunkTowards returns the average with the prior counted as priorWeight samples. hasNoPriorMean
// means that only the variance of the prior counts.
func (a *average) shrunkTowards(prior average, hasNoPriorMean bool) average {
	total := a.weight + priorWeight
	out := average{
		weight:   total,
		mean:     (a.weight*a.mean + priorWeight*prior.mean) / total,
		variance: (a.weight*a.variance + priorWeight*prior.variance) / total,
	}
	if hasNoPriorMean {
		out.mean = a.mean
	}
	return out
}
