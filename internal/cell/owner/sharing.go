package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// Best-effort tasks use the CPU time that others leave. They slow down the
// serving tasks, those with a tail target, on the same worker, by amounts that
// change within seconds. So each inventory of a worker sets the pace of its
// best-effort tasks from the tail latency of its serving tasks.

const (
	// fullPacePercent is the speed of a run that is not slowed down.
	fullPacePercent = 100
	// mixedPollTimeout is how long a worker with both kinds of tasks may delay
	// its answer to a renewal. Its tail latencies are those of the last half
	// second.
	mixedPollTimeout = 300 * time.Millisecond
	// slowDownLoad is the fraction of a tail target above which best-effort
	// tasks are slowed down. A target may be exceeded for 4 s.
	slowDownLoad = 0.8
	// pauseLoad is the fraction above which they are paused.
	pauseLoad = 1.0
	// speedUpLoad is the fraction below which they are sped up again.
	speedUpLoad = 0.6
	// speedUpPercent is added to the pace at each inventory.
	speedUpPercent = 15
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
		return
	}
	load := 0.0
	for _, r := range serving {
		load = max(load, r.tailLatencyMS/float64(r.step.def.TailTarget.Milliseconds()))
	}
	for _, r := range bestEffort {
		m.setPace(r, nextPace(r.pacePercent, load), load)
	}
}

// nextPace returns the pace that follows pace at a load. The load is the
// highest tail latency as a fraction of its target. adjustPaces calls it for
// each best-effort run.
func nextPace(pace int, load float64) int {
	if pace < 0 {
		pace = fullPacePercent
	}
	switch {
	case load > pauseLoad:
		return 0
	case load > slowDownLoad:
		return pace / 2
	case load < speedUpLoad:
		return min(pace+speedUpPercent, fullPacePercent)
	default:
		return pace
	}
}

// setPace sends a pace request for a run if the pace differs from the
// present one and no other pace request is in flight. adjustPaces calls it.
func (m *Machine) setPace(r *run, pace int, load float64) {
	if r.isPaceInFlight || r.pacePercent == pace {
		return
	}
	r.isPaceInFlight = true
	m.logDecision(r.taskName, "pace of run is changed", "run", r.number, "worker", r.worker.info.ID, "percent", pace, "from", r.pacePercent,
		"share_of_target", load)
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
