package owner

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// pass tries to place the tasks of all waiting steps, the most valuable first.
func (m *Machine) pass() {
	steps := make([]ranked, 0, len(m.waiting))
	for _, s := range m.waiting {
		steps = append(steps, m.rank(s))
	}
	slices.SortFunc(steps, ranked.compare)
	m.passes++
	m.countQuarantined()
	for _, r := range steps {
		m.placeStep(r.step, r.queue)
		m.addClaims(r.step)
	}
}

// ranked is a waiting step with its place in the order.
type ranked struct {
	step  *step
	queue *cell.Queue
	// lateness is 0 while the job can end in time, 1 while it can end before it
	// counts for nothing, 2 after that.
	lateness int
	deadline time.Duration
}

// lateFactor times the objective is until when a late job still counts.
const lateFactor = 3

// rank computes a step's place in the order.
func (m *Machine) rank(s *step) ranked {
	q := m.queue(s.job)
	objective := m.objective(s.job, q)
	r := ranked{step: s, queue: q, deadline: s.job.submitted + objective}
	end := m.now.Mono - s.job.submitted + time.Duration(hopefulShare*float64(m.remaining(s.job)))
	switch {
	case s.def.LongRunning || s.job.def.Repeat > 0:
	case end > lateFactor*objective:
		r.lateness = 2
	case end > objective:
		r.lateness = 1
	}
	return r
}

// hopefulShare is the share of the expected remaining work that a job must have
// time for to count as one that can be in time: half of all tasks take less than
// 0.85 of the mean.
const hopefulShare = 0.8

// compare orders steps: those that can be in time first, then by priority, then
// by deadline.
func (r ranked) compare(o ranked) int {
	return cmp.Or(
		cmp.Compare(r.lateness, o.lateness),
		cmp.Compare(r.queue.Priority, o.queue.Priority),
		cmp.Compare(r.deadline, o.deadline),
		cmp.Compare(r.step.id.Job, o.step.id.Job),
		cmp.Compare(r.step.id.Occurrence, o.step.id.Occurrence),
		cmp.Compare(r.step.id.Step, o.step.id.Step),
	)
}

// objective estimates within which time of its submission a job is to be
// completed.
func (m *Machine) objective(j *job, q *cell.Queue) time.Duration {
	advice := time.Duration(0)
	if q.Advice != nil {
		advice = q.Advice.AnswerTime(questionSize)
	}
	chain := longestChain(j.def.Steps, func(i int) time.Duration { return m.expectedRun(j, i) + advice })
	return q.Target + time.Duration(q.CriticalPathFactor*float64(chain))
}

// longestChain returns the longest sum of costs along the dependencies of steps.
func longestChain(steps []cell.Step, cost func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		for _, d := range steps[i].DependsOn {
			if d >= 0 && d < i {
				ends[i] = max(ends[i], ends[d])
			}
		}
		ends[i] += cost(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// expectedRun estimates the run time of a step. Callers' estimates are rough.
func (m *Machine) expectedRun(j *job, step int) time.Duration {
	estimate := j.def.Steps[step].Estimate
	if learned := m.stats(j.def.Queue.Name).runTime; learned > 0 {
		return (estimate + learned) / 2
	}
	return estimate
}

// remaining estimates the longest chain of steps that are not done in any
// occurrence.
func (m *Machine) remaining(j *job) time.Duration {
	open := make([]bool, len(j.def.Steps))
	for _, s := range j.order {
		open[s.id.Step] = open[s.id.Step] || s.done < len(s.task)
	}
	return longestChain(j.def.Steps, func(i int) time.Duration {
		if !open[i] {
			return 0
		}
		return m.expectedRun(j, i)
	})
}

// suits reports whether a worker may run a step, room and advice aside.
func (m *Machine) suits(w *worker, s *step, q *cell.Queue) bool {
	return w.info.Service == q.Service && m.usable(w) && w.info.HasLabel(s.def.Label) && !m.avoids(s, w)
}

// free returns a worker's free capacity.
func (w *worker) free() structs.Resources {
	return w.info.Capacity.Sub(w.used)
}

// roomFor returns how many tasks of a step a worker can take.
func (m *Machine) roomFor(w *worker, s *step) int {
	return m.roomIn(w.free(), w, s)
}

// roomIn returns how many tasks of a step fit into an amount of a worker.
func (m *Machine) roomIn(free structs.Resources, w *worker, s *step) int {
	n := m.trusted(w, fits(s.def.Charge(), free))
	if s.def.MaxPerWorker > 0 {
		n = min(n, s.def.MaxPerWorker-m.onWorker(s, w))
	}
	return max(n, 0)
}

// fits returns how many times need fits into free.
func fits(need, free structs.Resources) int {
	n := int64(1 << 20)
	dimensions := [][2]int64{
		{need.MilliCPU, free.MilliCPU},
		{need.MemoryMB, free.MemoryMB},
		{need.Accelerators, free.Accelerators},
	}
	for _, d := range dimensions {
		if d[0] > 0 {
			n = min(n, max(d[1], 0)/d[0])
		}
	}
	return int(n)
}

// onWorker counts a step's runs on a worker.
func (m *Machine) onWorker(s *step, w *worker) int {
	n := 0
	for _, r := range w.list {
		if r.step == s {
			n++
		}
	}
	return n
}

// placeStep plans runs for the tasks of a step that have none.
func (m *Machine) placeStep(s *step, q *cell.Queue) {
	pending := m.pending(s)
	if len(pending) == 0 {
		if s.active == len(s.task)-s.done && !s.def.LongRunning {
			delete(m.waiting, s.id)
		}
		return
	}
	if s.def.Gang {
		m.placeGang(s, q, pending)
		return
	}
	number := s.lastRun + 1
	permitted := m.permitted(s, q)
	placed := 0
	for _, i := range pending {
		w := m.choose(s, q, permitted)
		if w == nil {
			break
		}
		m.plan(s, i, number, w)
		placed++
	}
	if placed > 0 {
		m.begin(s, placed)
	}
	if rest := len(pending) - placed; rest > 0 && q.Advice != nil {
		m.ask(s, q, rest)
	}
}

// pending returns the tasks of a step that may start now.
func (m *Machine) pending(s *step) []int {
	var out []int
	for i := range s.task {
		t := &s.task[i]
		if !t.done && t.run == nil && m.now.Mono >= t.notBefore {
			out = append(out, i)
		}
	}
	if s.def.Gang && (s.active > 0 || len(out) < len(s.task)) {
		return nil
	}
	return out
}

// placeGang plans runs for all tasks of a gang, or for none.
func (m *Machine) placeGang(s *step, q *cell.Queue, pending []int) {
	permitted := m.permitted(s, q)
	if !m.gangFits(s, q, permitted, len(pending)) {
		if q.Advice != nil {
			m.ask(s, q, len(pending))
		}
		return
	}
	number := s.lastRun + 1
	for _, i := range pending {
		m.plan(s, i, number, m.choose(s, q, permitted))
	}
	m.begin(s, len(pending))
}

// gangFits reports whether there is room for all tasks of a gang.
func (m *Machine) gangFits(s *step, q *cell.Queue, permitted []*worker, need int) bool {
	room := 0
	for _, w := range permitted {
		if m.suits(w, s, q) {
			room += m.roomFor(w, s)
		}
		if room >= need {
			return true
		}
	}
	return false
}

// permitted returns the workers on which a step may start now.
func (m *Machine) permitted(s *step, q *cell.Queue) []*worker {
	if q.Advice == nil {
		return m.order
	}
	out := make([]*worker, 0, len(s.advice.tickets))
	for i := range s.advice.tickets {
		if t := &s.advice.tickets[i]; t.valid(m.now.Mono) {
			out = append(out, t.worker)
		}
	}
	return out
}

// plan reserves room for a run. Its order is sent once it is recorded.
func (m *Machine) plan(s *step, index, number int, w *worker) *run {
	r := &run{
		id:     cell.TaskID{StepID: s.id, Index: index},
		number: number,
		job:    s.job,
		step:   s,
		worker: w,
		born:   w.info.Born,
		charge: s.def.Charge(),
		phase:  phasePlanned,
		ticket: s.advice.ticketFor(w, m.now.Mono),
	}
	s.task[index].run = r
	s.lastRun = number
	m.openRun(r)
	return r
}

// begin has planned runs recorded, after which their orders are sent.
func (m *Machine) begin(s *step, planned int) {
	m.decide(s.id.String(), "tasks are planned", "tasks", planned, "run", s.lastRun,
		"waited_ms", (m.now.Mono - s.readyAt).Milliseconds())
	m.markDirty(s.job)
}

// choose returns the best of the permitted workers for a task, or nil.
func (m *Machine) choose(s *step, q *cell.Queue, permitted []*worker) *worker {
	best := choice{}
	for _, w := range permitted {
		m.consider(&best, w, s, q)
	}
	return best.worker
}

// choice is the best worker so far.
type choice struct {
	worker *worker
	score  float64
}

// consider takes a worker if it suits, has room and is better.
func (m *Machine) consider(best *choice, w *worker, s *step, q *cell.Queue) {
	if !m.suits(w, s, q) || m.roomFor(w, s) == 0 {
		return
	}
	score := m.score(w, s)
	if best.worker == nil || score < best.score {
		best.worker, best.score = w, score
	}
}

// Weights of the score of a worker for a task, in shares of a worker's
// processors that would be left free: lower scores are better.
const (
	// weightSuspect outweighs all but the lack of another worker.
	weightSuspect = 10.0
	// weightFar keeps tasks near their data, since away from it they take longer.
	weightFar = 3.0
)

// leftOn returns the share of a worker's processors that an amount would leave
// free.
func (m *Machine) leftOn(w *worker, need structs.Resources) float64 {
	if w.info.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(w.free().Sub(need).MilliCPU) / float64(w.info.Capacity.MilliCPU)
}

// score rates a worker for a task. Best fit keeps large holes for large tasks.
func (m *Machine) score(w *worker, s *step) float64 {
	score := m.leftOn(w, s.def.Charge())
	if w.health.suspect() {
		score += weightSuspect
	}
	if s.def.DataRack != "" && s.def.DataRack != w.info.Rack() {
		score += weightFar
	}
	return score
}
