package owner

import (
	"fmt"
	"strings"
	"time"

	"gypsumwinch/internal/cell/expect"
	"gypsumwinch/internal/structs"
)

const (
	// expectationTTL is how long an expectation of a step is used before it is computed again.
	// Every scheduling cycle ranks all waiting steps, and runs every few milliseconds.
	expectationTTL = 500 * time.Millisecond
	// learnedLogInterval is the time between two log lines about what was learned.
	learnedLogInterval = 5 * time.Second
	// maxLoggedQueues bounds such a line.
	maxLoggedQueues = 6
	// maxPredictions bounds the predictions that are kept.
	maxPredictions = 4096
)

// learning is what the owner has learned from finished runs. Nothing of it is recorded: a new
// owner starts with the callers' estimates.
type learning struct {
	// model is nil if Options.LearnRunTimes is false.
	model    *expect.Model
	loggedAt time.Duration
	// speedsAt is when the speeds of workers were last applied; slowWorkers and fastWorkers
	// count those with another than the usual speed.
	speedsAt                 time.Duration
	slowWorkers, fastWorkers int
	// predictions are mean run times computed since predictedAt: the steps of a job and the jobs
	// of a queue often have the same work.
	predictions map[expect.Work]time.Duration
	predictedAt time.Duration
	// rooms is the capacity of all listed workers, by service, as of speedsAt.
	rooms map[string]structs.Resources
}

func newLearning(opts Options) learning {
	if !opts.LearnRunTimes {
		return learning{}
	}
	return learning{model: expect.NewModel(opts.RemoteFactor), rooms: map[string]structs.Resources{}, predictions: map[expect.Work]time.Duration{}}
}

// meanRunTime predicts the mean run time of a task, from what was known up to expectationTTL ago.
func (l *learning) meanRunTime(now time.Duration, work expect.Work) time.Duration {
	if now-l.predictedAt >= expectationTTL || len(l.predictions) >= maxPredictions {
		clear(l.predictions)
		l.predictedAt = now
	}
	mean, ok := l.predictions[work]
	if !ok {
		mean = l.model.RunTime(now, work).Mean
		l.predictions[work] = mean
	}
	return mean
}

// workOf describes a step of a job to the model.
func workOf(j *job, step int) expect.Work {
	s := &j.def.Steps[step]
	return expect.Work{
		Queue: j.def.Queue.Name, Image: s.Image, Customer: j.def.Customer,
		Shape: expect.ShapeOf(s.Count, s.Need, s.Gang), Tasks: s.Count, Estimate: s.Estimate,
	}
}

// learnedRunTime predicts the mean run time of a step's task on a worker of usual speed.
// expectedRunTime calls it if run times are learned.
func (m *Machine) learnedRunTime(j *job, step int) time.Duration {
	return m.expectationOf(j, step).mean
}

// learnFrom adds a run with outcome done, or the whole gang of such a run, to the model.
// handleSucceededRun calls it before the task is marked as done. Runs that did not do all the
// work of their task are left out, so are those whose start this owner does not know. The speed
// of best-effort tasks is set by adjustPaces, so that their times say nothing.
func (m *Machine) learnFrom(r *run) {
	s := r.step
	if m.learning.model == nil || s.def.BestEffortCPU || s.tasks[r.id.Index].isDone {
		return
	}
	members := []*run{r}
	if s.def.Gang {
		members = members[:0]
		for i := range s.tasks {
			members = append(members, s.tasks[i].run)
		}
	}
	sample := expect.Sample{Work: workOf(s.job, s.id.Step), IsRemote: isRemote(s, members)}
	since := time.Duration(0)
	for _, o := range members {
		if o == nil || !o.hasKnownTime() {
			return
		}
		since = max(since, o.startedAt)
		sample.Workers = append(sample.Workers, expect.Incarnation{Worker: o.worker.info.ID, Born: o.workerStartedAt})
	}
	sample.RunTime = m.now.Mono - since
	if len(s.tasks) > 1 && !s.def.Gang {
		if s.siblings == nil {
			s.siblings = &expect.Siblings{}
		}
		sample.Siblings = s.siblings
	}
	m.learning.model.ObserveDone(m.now.Mono, sample)
}

// learnSpeeds derives the speeds of workers from the runs of a step that is done. completeTask
// calls it, also if the last run of the step is left out of the model.
func (m *Machine) learnSpeeds(s *step) {
	if s.siblings != nil {
		m.learning.model.CompareSiblings(m.now.Mono, workOf(s.job, s.id.Step), s.siblings)
		s.siblings = nil
	}
}

// hasKnownTime reports whether a run began from the beginning of its task, at a time that this
// owner knows. learnFrom calls it.
func (r *run) hasKnownTime() bool {
	return r.firstSentAt > 0 && r.startedAt > 0 && !r.isResumed && !r.hasMoved
}

// isRemote reports whether runs of a step are outside the rack of its data, or members of a
// gang outside the rack of the others. learnFrom calls it.
func isRemote(s *step, runs []*run) bool {
	for _, r := range runs {
		if r == nil {
			continue
		}
		rack := r.worker.info.Rack()
		if s.def.DataRack != "" && rack != s.def.DataRack || s.def.RackLocal && runs[0] != nil && rack != runs[0].worker.info.Rack() {
			return true
		}
	}
	return false
}

// logLearned logs what was learned every learnedLogInterval. tick calls it.
func (m *Machine) logLearned() {
	if m.learning.model == nil || m.now.Mono-m.learning.loggedAt < learnedLogInterval {
		return
	}
	m.learning.loggedAt = m.now.Mono
	var queues strings.Builder
	for _, q := range m.learning.model.Queues(m.now.Mono, maxLoggedQueues) {
		fmt.Fprintf(&queues, "%s: median_ms=%d spread=%.2f noise=%.2f estimate_ratio=%.2f estimate_spread=%.2f estimate_weight=%.2f samples=%.0f; ",
			q.Queue, q.Median.Milliseconds(), q.Spread, q.NoiseSpread, q.EstimateRatio, q.EstimateSpread, q.EstimateWeight, q.Samples)
	}
	if queues.Len() > 0 {
		m.logDecision("cell", "learned run times", "queues", strings.TrimSuffix(queues.String(), "; "),
			"slow_workers", m.learning.slowWorkers, "fast_workers", m.learning.fastWorkers)
	}
}
