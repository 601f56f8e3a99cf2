package owner

import (
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/pacing"
)

// Best-effort tasks use the CPU time that others leave. They slow down the
// serving tasks, those with a tail target, on the same worker, by amounts that
// change within seconds. So each inventory of a worker sets the pace of its
// best-effort tasks from the tail latency of its serving tasks (package pacing).

const (
	// fullPacePercent is the speed of a run that is not slowed down.
	fullPacePercent = pacing.Full
	// mixedPollTimeout is how long a worker with both kinds of tasks may delay
	// its answer to a renewal. Its tail latencies are those of the last half
	// second.
	mixedPollTimeout = 300 * time.Millisecond
	// keepPacerFor is how long the pace of a worker without best-effort tasks applies to the
	// next one that starts there. The load of serving tasks changes within seconds.
	keepPacerFor = 5 * time.Second
)

// sharingRuns returns the confirmed runs of serving tasks and of best-effort
// tasks on a worker. adjustPaces calls it after each inventory, to set the pace
// of the best-effort runs, a percentage of their full speed. renewalPollTimeout
// calls it before each renewal, to determine how long the worker may delay its
// answer to the renewal.
func (w *worker) sharingRuns() (serving, bestEffort []*run) {
	for _, r := range w.runList {
		if r.phase != phaseRunning || r.step == nil {
			continue
		}
		if r.step.def.TailTarget > 0 {
			serving = append(serving, r)
		}
		if r.step.def.BestEffortCPU {
			bestEffort = append(bestEffort, r)
		}
	}
	return serving, bestEffort
}

// adjustPaces sets the pace of the best-effort tasks on a worker. It runs
// after each inventory of the worker was processed.
func (m *Machine) adjustPaces(w *worker) {
	serving, bestEffort := w.sharingRuns()
	if len(bestEffort) == 0 {
		if m.now.Mono-w.pacedAt > keepPacerFor {
			w.pacer = nil
		}
		return
	}
	w.pacedAt = m.now.Mono
	if w.pacer == nil {
		w.pacer = pacing.New(m.now.Mono, initialPace(bestEffort))
	}
	sample := pacing.Sample{Tasks: len(bestEffort)}
	for _, r := range serving {
		sample.Load = max(sample.Load, r.tailLatencyMS/float64(r.step.def.TailTarget.Milliseconds()))
	}
	for _, r := range bestEffort {
		r.excludePacedTime()
		sample.Speed += float64(r.knownPace()) / fullPacePercent
	}
	pace := w.pacer.Next(m.now.Mono, sample)
	for _, r := range bestEffort {
		m.setPace(r, pace, sample.Load)
	}
}

// initialPace returns the pace of the first decision about the best-effort runs of a worker. A
// former owner may have paused them because of an exceeded target.
func initialPace(bestEffort []*run) int {
	for _, r := range bestEffort {
		if r.pacePercent < 0 {
			return pacing.Floor
		}
	}
	return pacing.Full
}

// knownPace returns the pace of a run, full pace if it is unknown.
func (r *run) knownPace() int {
	if r.pacePercent < 0 {
		return fullPacePercent
	}
	return r.pacePercent
}

// excludePacedTime moves the time of the last progress of a best-effort run by the time for
// which the owner has slowed it down since the last call, so that a paced run does not
// count as stuck. adjustPaces calls it before stopStuckRuns runs.
func (r *run) excludePacedTime() {
	elapsed := r.worker.clock - r.pacedUntil
	r.pacedUntil = r.worker.clock
	if elapsed <= 0 {
		return
	}
	pace := min(max(r.pacePercent, pacing.Paused), fullPacePercent)
	r.progressAt += elapsed * time.Duration(fullPacePercent-pace) / fullPacePercent
}

// setPace sends a pace request for a run if the pace differs from the
// present one and no other pace request is in flight. adjustPaces calls it.
func (m *Machine) setPace(r *run, pace int, load float64) {
	if r.isPaceInFlight || r.pacePercent == pace {
		return
	}
	r.isPaceInFlight = true
	m.logDecision(r.taskName, "pace of run is changed", "run", r.number, "worker", r.worker.info.ID, "percent", pace, "from", r.pacePercent,
		"share_of_target", load, "reason", r.worker.pacer.Reason(), "floor", r.worker.pacer.Floor(), "effect", r.worker.pacer.Effect())
	m.emit(SendPace{Pace: cell.Pace{
		Task: r.taskName, Run: r.number, Worker: r.worker.info.ID, Addr: r.worker.info.Addr, Token: m.opts.Term, Percent: pace,
	}})
}

// handlePaceResponse processes a PaceResult. After a failure the pace is
// unknown, so the next inventory sets it again.
func (m *Machine) handlePaceResponse(e PaceResult) {
	w, ok := m.workers[e.Pace.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{e.Pace.Task, e.Pace.Run}]
	if !ok {
		return
	}
	r.isPaceInFlight = false
	switch {
	case e.Refusal == cell.RefusedStaleToken:
		m.emit(Resign{Reason: "worker " + w.info.ID + " reports a higher fencing token"})
	case e.Err == nil && e.Refusal == cell.RefusedNone:
		r.pacePercent = e.Pace.Percent
	default:
		r.pacePercent = -1
	}
}
