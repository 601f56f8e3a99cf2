// Package failurerate estimates how often runs of the work of a cell fail, and how much a
// failed run counts as evidence against the worker on which it failed.
//
// A run fails either because of its worker or because of its work. Work of which many runs
// fail on other workers says little about one more worker. The rate is estimated by step,
// from few samples shrunk towards the rate of its image, and that towards the rate of its
// queue. Model.Weigh compares the failures on all workers with these rates.
//
// The package reads no clock, stores nothing and decides nothing: package owner decides
// which workers are suspect. Read Model.Weigh first.
package failurerate

import (
	"maps"
	"math"
	"time"
)

const (
	// priorRate is assumed before any run has finished: 2 to 4 in 100 runs fail.
	priorRate = 0.03
	// queueStrength, imageStrength and stepStrength are the numbers of runs that the rate of
	// the next coarser level counts for. The rate of a queue moves slowly, so that workers that
	// fail everything at once are known before it has risen. Half of the failures are of jobs
	// that always fail, so that a second failure of a step is as likely as not.
	queueStrength = 100
	imageStrength = 10
	stepStrength  = 1
	// halfLife is the time after which an observation counts half.
	halfLife = 2 * time.Minute
	// maxImages is the number of images from which those without recent runs are dropped.
	maxImages = 2048
)

// Outcomes counts the finished runs of a step, an image or a queue. Older ones count less.
// The zero value has none.
type Outcomes struct {
	done, failed float64
	// at is the time at which the counts apply.
	at time.Duration
}

// counts returns the decayed counts.
func (o *Outcomes) counts(now time.Duration) (done, failed float64) {
	factor := math.Exp2(-float64(max(0, now-o.at)) / float64(halfLife))
	return o.done * factor, o.failed * factor
}

// add adds runs to the counts.
func (o *Outcomes) add(now time.Duration, done, failed float64) {
	d, f := o.counts(now)
	o.done, o.failed, o.at = d+done, f+failed, max(now, o.at)
}

// Work identifies what a run executes.
type Work struct {
	Queue string
	// Image is empty if the step names none.
	Image string
	// Step holds the outcomes of the step; the owner keeps it as long as the step.
	Step *Outcomes
}

// image identifies an image within a queue.
type image struct{ queue, name string }

// Model holds the outcomes by queue and image. It is not safe for concurrent use.
type Model struct {
	queues map[string]*Outcomes
	images map[image]*Outcomes
}

// New returns a model without observations.
func New() *Model {
	return &Model{queues: map[string]*Outcomes{}, images: map[image]*Outcomes{}}
}

// ObserveDone adds a run that succeeded.
func (m *Model) ObserveDone(now time.Duration, w Work) { m.observe(now, w, 1, 0) }

// ObserveFailed adds a run that failed by the fault of the work.
func (m *Model) ObserveFailed(now time.Duration, w Work) { m.observe(now, w, 0, 1) }

func (m *Model) observe(now time.Duration, w Work, done, failed float64) {
	if m.queues[w.Queue] == nil {
		m.queues[w.Queue] = &Outcomes{}
	}
	m.queues[w.Queue].add(now, done, failed)
	if w.Step != nil {
		w.Step.add(now, done, failed)
	}
	if w.Image == "" {
		return
	}
	key := image{w.Queue, w.Image}
	if m.images[key] == nil {
		m.dropUnusedImages(now)
		m.images[key] = &Outcomes{}
	}
	m.images[key].add(now, done, failed)
}

// dropUnusedImages bounds the memory of the model once it has maxImages images.
func (m *Model) dropUnusedImages(now time.Duration) {
	if len(m.images) < maxImages {
		return
	}
	maps.DeleteFunc(m.images, func(_ image, o *Outcomes) bool {
		done, failed := o.counts(now)
		return done+failed < 0.5
	})
}

// Failure is the failed runs of one step on a worker since the last success there.
type Failure struct {
	Work Work
	Runs int
	// Weight is how many failures of work that usually succeeds they count as, at most Runs.
	// Model.Weigh sets it.
	Weight float64
}

// Record is the failures on one worker since the last success there.
type Record struct {
	Failures []Failure
	// IsSuspect is true while the failures are taken to be the fault of the worker. They do
	// not count as failures of the work then.
	IsSuspect bool
}

// maxFailures bounds the memory of a Record; as many failures suffice for any decision.
const maxFailures = 16

// Add adds a failed run with its full weight. It returns false if the record is full.
func (r *Record) Add(w Work) bool {
	for i := range r.Failures {
		if f := &r.Failures[i]; f.Work.Step == w.Step {
			f.Runs++
			f.Weight++
			return true
		}
	}
	if len(r.Failures) >= maxFailures {
		return false
	}
	r.Failures = append(r.Failures, Failure{Work: w, Runs: 1, Weight: 1})
	return true
}

// Explained returns how many of the failures the rate of the work explains.
func (r *Record) Explained() float64 {
	explained := 0.0
	for _, f := range r.Failures {
		explained += float64(f.Runs) - f.Weight
	}
	return explained
}

// otherWorkers counts, by step, image and queue, the workers with failures that are neither
// settled by a success nor the fault of the worker.
type otherWorkers struct {
	steps  map[*Outcomes]float64
	images map[image]float64
	queues map[string]float64
}

// add adds the worker of a record, or removes it if n is -1. A worker counts once however many
// runs failed there, so that one that fails everything does not raise the rate of the work.
func (o *otherWorkers) add(r *Record, n float64) {
	for i, f := range r.Failures {
		isNewImage, isNewQueue := true, true
		for _, g := range r.Failures[:i] {
			sameQueue := g.Work.Queue == f.Work.Queue
			isNewQueue = isNewQueue && !sameQueue
			isNewImage = isNewImage && !(sameQueue && g.Work.Image == f.Work.Image)
		}
		o.steps[f.Work.Step] += n
		if isNewImage {
			o.images[image{f.Work.Queue, f.Work.Image}] += n
		}
		if isNewQueue {
			o.queues[f.Work.Queue] += n
		}
	}
}

// Weigh sets the weights of the failures in the records of all workers. A failure counts fully
// if runs of the same work fail on other workers as rarely as the prior says, and the less
// the more often they fail there. Failures on suspect workers do not raise the rate, so that
// many workers that fail everything at once do not hide each other.
func (m *Model) Weigh(now time.Duration, records []*Record) {
	others := otherWorkers{steps: map[*Outcomes]float64{}, images: map[image]float64{}, queues: map[string]float64{}}
	for _, r := range records {
		if !r.IsSuspect {
			others.add(r, 1)
		}
	}
	for _, r := range records {
		if !r.IsSuspect {
			others.add(r, -1)
		}
		for i := range r.Failures {
			m.weigh(now, &r.Failures[i], &others)
		}
		if !r.IsSuspect {
			others.add(r, 1)
		}
	}
}

// weigh sets the weight of one failure. Each run of the step that failed on the worker makes
// the failure of the next one more likely.
func (m *Model) weigh(now time.Duration, f *Failure, others *otherWorkers) {
	coarse := m.coarseRate(now, f.Work, others)
	done, failed := 0.0, others.steps[f.Work.Step]
	if f.Work.Step != nil {
		d, settled := f.Work.Step.counts(now)
		done, failed = d, failed+settled
	}
	f.Weight = 0
	for i := range f.Runs {
		f.Weight += weight(shrink(coarse, stepStrength, done, failed+float64(i)))
	}
}

// coarseRate returns the rate of failures of an image or, without one, of a queue.
func (m *Model) coarseRate(now time.Duration, w Work, others *otherWorkers) float64 {
	rate := shrinkOutcomes(now, priorRate, queueStrength, m.queues[w.Queue], others.queues[w.Queue])
	if w.Image == "" {
		return rate
	}
	key := image{w.Queue, w.Image}
	return shrinkOutcomes(now, rate, imageStrength, m.images[key], others.images[key])
}

// shrinkOutcomes is shrink for counted outcomes, which may be nil, and further failures.
func shrinkOutcomes(now time.Duration, prior, strength float64, o *Outcomes, failures float64) float64 {
	if o == nil {
		return shrink(prior, strength, 0, failures)
	}
	done, failed := o.counts(now)
	return shrink(prior, strength, done, failed+failures)
}

// shrink returns the rate of failures, of which prior counts for strength runs.
func shrink(prior, strength, done, failed float64) float64 {
	return (prior*strength + failed) / (strength + done + failed)
}

// weight returns the evidence against a worker in a failure of work that fails at a rate on
// sound workers: the logarithm of the likelihood ratio, in units of that at priorRate. A rate
// below the prior counts like the prior, so that one failure never makes a worker suspect.
func weight(rate float64) float64 {
	return min(max(math.Log(rate)/math.Log(priorRate), 0), 1)
}
