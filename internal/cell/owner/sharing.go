package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// Tasks that fill what others leave disturb those that serve users beside them,
// by amounts that change within seconds. So the tail of the serving tasks decides
// at each look at a worker how fast the filling ones work.

const (
	// fullPace is the speed of a run that is not slowed down, in percent.
	fullPace = 100
	// shareWait is how long a worker with both kinds of tasks may wait before it
	// answers: its figures are those of the last half second.
	shareWait = 300 * time.Millisecond
	// slowAbove is the share of a target from which filling tasks are slowed; a
	// target may be exceeded for 4 s.
	slowAbove = 0.8
	// stopAbove is the share from which they stand still.
	stopAbove = 1.0
	// hastenBelow is the share below which they work faster again.
	hastenBelow = 0.6
	// hastenBy is the step, in percent.
	hastenBy = 15
)

// sharing returns the runs that serve users and those that fill.
func (w *worker) sharing() (serving, filling []*run) {
	for _, r := range w.list {
		if r.phase != phaseRunning || r.step == nil {
			continue
		}
		if r.step.def.TailTarget > 0 {
			serving = append(serving, r)
		}
		if r.step.def.BestEffortCPU {
			filling = append(filling, r)
		}
	}
	return serving, filling
}

// share sets the pace of the filling tasks on a worker.
func (m *Machine) share(w *worker) {
	serving, filling := w.sharing()
	if len(filling) == 0 {
		return
	}
	load := 0.0
	for _, r := range serving {
		load = max(load, r.figure/float64(r.step.def.TailTarget.Milliseconds()))
	}
	for _, r := range filling {
		m.setPace(r, nextPace(r.pace, load), load)
	}
}

// nextPace returns the pace for a load, the worst share of a target.
func nextPace(pace int, load float64) int {
	if pace < 0 {
		pace = fullPace
	}
	switch {
	case load > stopAbove:
		return 0
	case load > slowAbove:
		return pace / 2
	case load < hastenBelow:
		return min(pace+hastenBy, fullPace)
	default:
		return pace
	}
}

func (m *Machine) setPace(r *run, pace int, load float64) {
	if r.pacing || r.pace == pace {
		return
	}
	r.pacing = true
	m.decide(r.name, "run is paced", "run", r.number, "worker", r.worker.info.ID, "percent", pace, "from", r.pace,
		"share_of_target", load)
	m.emit(SendPace{Pace: cell.Pace{
		Task: r.name, Run: r.number, Worker: r.worker.info.ID, Addr: r.worker.info.Addr, Token: m.opts.Term, Percent: pace,
	}})
}

// paced takes the answer to a pace over; one that failed is decided anew at the
// next look.
func (m *Machine) paced(e PaceResult) {
	w, ok := m.workers[e.Pace.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{e.Pace.Task, e.Pace.Run}]
	if !ok {
		return
	}
	r.pacing = false
	switch {
	case e.Refusal == cell.RefusedStaleToken:
		m.emit(Resign{Reason: "worker " + w.info.ID + " knows a higher token"})
	case e.Err == nil && e.Refusal == cell.RefusedNone:
		r.pace = e.Pace.Percent
	default:
		r.pace = -1
	}
}
