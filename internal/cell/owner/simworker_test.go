package owner

import (
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// The workers of the simulation, and the rules that are checked as they start tasks.

func (w *simWorker) clock() time.Duration { return w.sim.now - w.bornAt }

func (w *simWorker) used() structs.Resources {
	var sum structs.Resources
	for _, r := range w.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// start begins a run, as the platform describes it.
func (w *simWorker) start(st cell.Start) cell.Refusal {
	s := w.sim
	if st.Token < w.token {
		return cell.RefusedStaleToken
	}
	w.token = st.Token
	w.extend(st.LeaseEnd)
	task := st.Task.String()
	if r, ok := w.runs[task]; ok && r.run == st.Run {
		return cell.RefusedNone
	}
	if st.Run <= w.closed[task] {
		return cell.RefusedOldRun
	}
	if st.LeaseEnd <= w.clock() {
		return cell.RefusedLeaseExpired
	}
	j := s.jobs[st.Task.Job]
	step := &j.def.Steps[st.Task.Step]
	if j.def.Queue.Advice != nil && st.Ticket != st.Task.StepID.String()+"@"+w.info.ID {
		return cell.RefusedTicket
	}
	s.checkStart(w, st, j, step)
	run := &simRun{task: task, id: st.Task, run: st.Run, need: step.Need, gang: step.Gang, state: "running"}
	took := time.Duration(float64(step.Estimate) * (0.3 + 1.4*s.rand.Float64()))
	run.endsAt = s.now + took
	w.runs[task] = run
	s.stats.starts++
	if !step.Gang {
		s.finishLater(w, run, took)
	} else {
		s.gangStarted(j, st.Task.StepID, st.Run, took)
	}
	return cell.RefusedNone
}

// checkStart checks what must hold at a start.
func (s *sim) checkStart(w *simWorker, st cell.Start, j *simJob, step *cell.Step) {
	task := st.Task.String()
	if !w.used().Add(step.Need).Fits(w.info.Capacity) {
		s.t.Fatalf("%v worker %s is over its capacity with %s", s.now, w.info.ID, task)
	}
	if j.doneSeen[task] {
		s.t.Fatalf("%v task %s run %d starts after its end was taken note of", s.now, task, st.Run)
	}
	for _, o := range s.workers {
		if r, ok := o.runs[task]; ok && o.up {
			s.t.Fatalf("%v task %s runs on %s (run %d) and %s (run %d)", s.now, task, o.info.ID, r.run, w.info.ID, st.Run)
		}
	}
	for _, d := range step.DependsOn {
		for k := range j.def.Steps[d].Count {
			id := cell.TaskID{StepID: cell.StepID{Job: j.def.ID, Step: d}, Index: k}
			if !j.taskDone[id.String()] {
				s.t.Fatalf("%v task %s starts before %s is done", s.now, task, id)
			}
		}
	}
	key := task
	if step.Gang {
		key = st.Task.StepID.String()
	}
	if limit := j.def.Queue.MaxAttempts; j.failures[key] >= limit {
		s.t.Fatalf("%v task %s starts after %d failures", s.now, task, limit)
	}
	if at, ok := s.cancelled[j.def.ID]; ok && s.now-at > 3*time.Second && s.owner.term == st.Token {
		s.t.Logf("%v task %s starts %v after its cancelling", s.now, task, s.now-at)
	}
	on := 0
	for _, r := range w.runs {
		if r.id.StepID == st.Task.StepID {
			on++
		}
	}
	if step.MaxPerWorker > 0 && on >= step.MaxPerWorker {
		s.t.Fatalf("%v worker %s has %d tasks of step %s, spread %d", s.now, w.info.ID, on, st.Task.StepID, step.MaxPerWorker)
	}
}

// gangStarted ends a gang's work once all members of a run are present.
func (s *sim) gangStarted(j *simJob, id cell.StepID, run int, took time.Duration) {
	members := s.members(id, run)
	if len(members) < j.def.Steps[id.Step].Count {
		return
	}
	how := s.outcome(j, members[0].run)
	s.at(took, func() {
		now := s.members(id, run)
		if len(now) < len(members) {
			return
		}
		for i, m := range now {
			if how == cell.OutcomeFailed && i > 0 {
				m.worker.end(m.run, cell.OutcomeGangBroken)
				continue
			}
			m.worker.end(m.run, how)
		}
	})
}

type member struct {
	worker *simWorker
	run    *simRun
}

func (s *sim) members(id cell.StepID, run int) []member {
	var out []member
	for _, name := range s.names {
		w := s.workers[name]
		for _, r := range sortedRuns(w) {
			if r.id.StepID == id && r.run == run {
				out = append(out, member{w, r})
			}
		}
	}
	return out
}

func sortedRuns(w *simWorker) []*simRun {
	var out []*simRun
	for _, r := range w.runs {
		out = append(out, r)
	}
	for i := range out {
		for k := i + 1; k < len(out); k++ {
			if out[k].task < out[i].task {
				out[i], out[k] = out[k], out[i]
			}
		}
	}
	return out
}

func (s *sim) outcome(j *simJob, _ *simRun) cell.RunOutcome {
	if j.poison || s.rand.Float64() < s.faults.failing {
		return cell.OutcomeFailed
	}
	return cell.OutcomeDone
}

func (s *sim) finishLater(w *simWorker, r *simRun, took time.Duration) {
	how := s.outcome(s.jobs[r.id.Job], r)
	s.at(took, func() {
		if w.runs[r.task] == r {
			w.end(r, how)
		}
	})
}

// end ends a run and lists its end.
func (w *simWorker) end(r *simRun, how cell.RunOutcome) {
	s := w.sim
	delete(w.runs, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.run)
	w.number++
	w.ended = append(w.ended, cell.FinishedRun{Number: w.number, Task: r.task, Run: r.run, Outcome: how})
	j := s.jobs[r.id.Job]
	switch how {
	case cell.OutcomeDone:
		s.stats.done++
		if r.gang {
			for k := range j.def.Steps[r.id.Step].Count {
				id := cell.TaskID{StepID: r.id.StepID, Index: k}
				j.taskDone[id.String()] = true
			}
		}
		j.taskDone[r.task] = true
	case cell.OutcomeFailed:
		s.stats.failed++
	case cell.OutcomeLeaseExpired:
		s.stats.lapsed++
	case cell.OutcomeStopped:
		s.stats.stopped++
	}
	if !r.gang || how == cell.OutcomeDone || how == cell.OutcomeGangBroken {
		return
	}
	for _, m := range s.members(r.id.StepID, r.run) {
		m.worker.end(m.run, cell.OutcomeGangBroken)
	}
}

func (w *simWorker) extend(end time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock()+simLease))
}

func (w *simWorker) stop(st cell.Stop) cell.Refusal {
	if st.Token < w.token {
		return cell.RefusedStaleToken
	}
	w.token = st.Token
	r, ok := w.runs[st.Task]
	if !ok || r.run != st.Run {
		w.closed[st.Task] = max(w.closed[st.Task], st.Run)
		return cell.RefusedNone
	}
	w.sim.at(time.Duration(w.sim.rand.IntN(int(simStop))), func() {
		if w.runs[st.Task] == r {
			w.end(r, cell.OutcomeStopped)
		}
	})
	return cell.RefusedNone
}

// hold renews the lease, takes note of ends and lists what runs.
func (w *simWorker) hold(r cell.Renewal) (cell.Inventory, cell.Refusal) {
	if r.Token < w.token {
		return cell.Inventory{}, cell.RefusedStaleToken
	}
	w.token = r.Token
	if r.LeaseEnd > 0 {
		w.extend(r.LeaseEnd)
	}
	w.acknowledge(r.Cursor)
	inv := cell.Inventory{Clock: w.clock(), Born: w.info.Born}
	for _, run := range sortedRuns(w) {
		inv.ActiveRuns = append(inv.ActiveRuns, cell.ActiveRun{Task: run.task, Run: run.run, Percent: 50})
	}
	inv.FinishedRuns = append(inv.FinishedRuns, w.ended...)
	return inv, cell.RefusedNone
}

func (w *simWorker) acknowledge(cursor int64) {
	rest := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > cursor {
			rest = append(rest, e)
			continue
		}
		id, err := cell.ParseTaskID(e.Task)
		if err != nil {
			w.sim.t.Fatal(err)
		}
		j := w.sim.jobs[id.Job]
		switch e.Outcome {
		case cell.OutcomeDone:
			j.doneSeen[e.Task] = true
		case cell.OutcomeFailed:
			key := e.Task
			if j.def.Steps[id.Step].Gang {
				key = id.StepID.String()
			}
			j.failures[key]++
		}
	}
	w.ended = rest
}

// lapse kills what runs without a lease.
func (w *simWorker) lapse() {
	if w.up && w.clock() >= w.leaseEnd {
		for _, r := range sortedRuns(w) {
			if w.runs[r.task] == r {
				w.end(r, cell.OutcomeLeaseExpired)
			}
		}
	}
	w.sim.at(20*time.Millisecond, w.lapse)
}

// crash ends a worker's life; a new one follows under the same id.
func (w *simWorker) crash() {
	s := w.sim
	gangs := map[cell.StepID]int{}
	for _, r := range w.runs {
		if r.gang {
			gangs[r.id.StepID] = r.run
		}
	}
	w.up = false
	w.life++
	w.runs = map[string]*simRun{}
	w.closed = map[string]int{}
	w.ended, w.number, w.token, w.leaseEnd = nil, 0, 0, 0
	for id, run := range gangs {
		for _, m := range s.members(id, run) {
			m.worker.end(m.run, cell.OutcomeGangBroken)
		}
	}
	s.at(2*time.Second+time.Duration(s.rand.IntN(3000))*time.Millisecond, func() {
		w.up = true
		w.bornAt = s.now
		w.info.Born++
		if !s.owner.dead {
			s.owner.apply(WorkersListed{Workers: []cell.Worker{w.info}})
		}
	})
}
