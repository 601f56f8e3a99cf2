package owner

import "gypsumwinch/internal/cell"

// resendRequest repeats a start request whose call failed (resendStart), and sends stop
// requests until the run is closed. stopRun calls it for the first stop
// request, and each Tick calls it for every open run. A gang with a member
// that did not start within half of GangTimeout is stopped instead.
func (m *Machine) resendRequest(r *run) {
	if r.isRequestInFlight || m.now.Mono < r.nextSendAt || r.worker.info.Addr == "" {
		return
	}
	switch r.phase {
	case phaseSent:
		if r.step.def.Gang && m.now.Mono-r.firstSentAt > m.opts.GangTimeout/2 {
			m.stopGang(r.step, "a member did not start in time")
			return
		}
		if r.mustResend {
			m.resendStart(r)
		}
	case phaseStopping:
		r.isRequestInFlight = true
		r.requestBorn = r.worker.info.Born
		r.nextSendAt = m.now.Mono + stopRetryInterval
		m.emit(SendStop{Stop: cell.Stop{Task: r.taskName, Run: r.number, Worker: r.worker.info.ID, Addr: r.worker.info.Addr, Token: m.opts.Term}})
	}
}

// resendStart repeats a start request that got no answer. Since the run was planned, its worker
// may have restarted as another kind, or may leave. While that is not known, the request waits;
// a run that would not be planned there any more is stopped, since the worker may still carry
// out the earlier request. resendRequest calls it.
func (m *Machine) resendStart(r *run) {
	w := r.worker
	if w.isListed && !m.isCurrent(w) {
		return
	}
	if reason := m.reasonNotToResend(r); reason != "" {
		m.logDecision(r.taskName, "start request is not sent again", "run", r.number, "worker", w.info.ID, "reason", reason)
		m.stopWithGang(r, "start of a member is given up")
		return
	}
	m.logDecision(r.taskName, "start request is sent again", "run", r.number, "worker", w.info.ID, "has_restarted", r.hasMoved)
	m.sendStart(r)
}

// reasonNotToResend returns why a run would not be planned on its worker any more, or "".
// resendStart calls it; if the worker is listed, its description is that of the present process.
func (m *Machine) reasonNotToResend(r *run) string {
	w := r.worker
	switch {
	case !w.isListed:
		return "worker is not listed"
	case w.info.Draining:
		return "worker is draining"
	case r.hasMoved && r.ticket != "":
		return "ticket is that of a former process of the worker"
	case w.info.Service != m.currentQueue(r.job).Service:
		return "worker is of another service"
	case !w.info.HasLabel(r.step.def.Label):
		return "worker does not have the label"
	case !w.used.Fits(w.info.Capacity):
		return "worker has too little capacity"
	case m.isOverQuota(r):
		return "quota of the customer has been lowered"
	default:
		return ""
	}
}
