package owner

import (
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/shares"
)

// This file applies the quotas of customers (package shares) to the steps of their jobs.

// quotaWait is the wait of a step for its customer's quota.
type quotaWait struct {
	// since is when the wait began, if isWaiting; it lasts until tasks may start.
	isWaiting bool
	since     time.Duration
	// isLogged is true once a wait of the step was logged.
	isLogged bool
}

// quotaHoldLimit is how long a step that waits for its customer's quota, and is not long-running,
// keeps steps after it from using the rest of the quota. Most tasks end within it; a step for
// which that is not enough would leave the rest unused for as long as the longest task takes.
const quotaHoldLimit = 10 * time.Second

// configureCustomers applies the customers of the configuration. It runs for each ConfigChanged:
// versions are applied in the order of their numbers, each after the store has accepted it, so
// that no limit is above the highest one that may be in force.
func (m *Machine) configureCustomers() {
	if m.config != nil && m.config.Customers != nil {
		m.ledger.Configure(m.config.Customers.List)
	}
}

// share returns what a run counts for its customer: the need of the task as its caller stated
// it, of a best-effort task too. A recovered run may have no step, but its job does.
func (r *run) share() shares.Run {
	def := &r.job.def.Steps[r.id.Step]
	return shares.Run{Need: def.Need, IsLasting: def.LongRunning}
}

// claim returns what a number of the step's tasks would add to its customer's running tasks.
func (s *step) claim(tasks int) shares.Claim {
	return shares.Claim{Need: s.def.Need, Tasks: tasks, IsGang: s.def.Gang}
}

// withinQuota returns those of the pending tasks of a step that its customer's quota permits, of
// a gang all or none. placeStep calls it before it looks for workers. Runs that are planned for
// steps before it in the cycle are open already, so that all steps share the room.
func (m *Machine) withinQuota(s *step, pending []int) []int {
	claim := s.claim(len(pending))
	n := s.job.account.Room(claim, m.cycle, shares.ForPlacement)
	if n > 0 {
		s.quotaWait.isWaiting = false
	} else {
		m.startQuotaWait(s, claim)
	}
	m.holdQuota(s, n, len(pending)-n)
	return pending[:n]
}

// holdQuota holds room in the quota for tasks of a step that wait for it, against the steps
// after it in the cycle: the long-running ones, which must not be without a run for seconds, and
// for quotaHoldLimit those of a gang or, if none of the step may start, one task of another step,
// which may be larger than what becomes free at once. withinQuota calls it.
func (m *Machine) holdQuota(s *step, permitted, waiting int) {
	if !s.def.LongRunning {
		if permitted > 0 || m.now.Mono-s.quotaWait.since >= quotaHoldLimit {
			return
		}
		if !s.def.Gang {
			waiting = min(waiting, 1)
		}
	}
	claim := s.claim(waiting)
	if waiting > 0 && s.job.account.CanDrainFor(claim) {
		s.job.account.Hold(claim, m.cycle, shares.ForPlacement)
	}
}

// startQuotaWait marks a step as waiting for its customer's quota, and logs the first wait:
// the tasks of a wide step start one by one as others end.
func (m *Machine) startQuotaWait(s *step, claim shares.Claim) {
	if s.quotaWait.isWaiting {
		return
	}
	s.quotaWait.isWaiting, s.quotaWait.since = true, m.now.Mono
	if s.quotaWait.isLogged {
		return
	}
	s.quotaWait.isLogged = true
	a := s.job.account
	message := "step waits for the quota of its customer"
	if a.NeverFits(claim) {
		message = "gang exceeds the quota of its customer and cannot run"
	}
	running, runs := a.Running()
	m.logDecision(s.id.String(), message, "customer", a.Name, "tasks", claim.Tasks, "need", claim.Need.Times(int64(claim.Tasks)).String(),
		"running", running.String(), "runs", runs, "quota", a.Quota().String())
}

// queryWithinQuota queries advice about as many of the remaining tasks of a step as the quota
// permits beside those that steps before it have queries about. placeStep and placeGang call
// it for the tasks that found no worker.
func (m *Machine) queryWithinQuota(s *step, q *cell.Queue, remaining int) {
	remaining = s.job.account.Room(s.claim(remaining), m.cycle, shares.ForQueries)
	if remaining == 0 || !m.mayQuery(s, q) {
		return
	}
	before := s.advice.queriesInFlight
	m.queryAdvice(s, q, remaining)
	if s.job.isExcess {
		m.contention.excessQueries += s.advice.queriesInFlight - before
	}
	if s.advice.queriesInFlight == 0 {
		return
	}
	purpose := shares.ForQueries
	if s.def.Gang {
		purpose = shares.ForPlacement
	}
	s.job.account.Hold(s.claim(remaining), m.cycle, purpose)
}

// prefetchWithinQuota returns how many of the tasks whose runs end with a lease may start again
// by the quota once these runs are closed. prefetchAdvice calls it.
func (m *Machine) prefetchWithinQuota(s *step, q *cell.Queue, due int) int {
	if due == 0 || !m.mayQuery(s, q) {
		return 0
	}
	claim := s.claim(due)
	claim.Closing = due
	return s.job.account.Room(claim, m.cycle, shares.ForQueries)
}

// isOverQuota reports whether a run that its worker has not confirmed must not be sent, since the
// quota has been lowered below what the customer has running. Recording a start may take as long
// as an outage of the store. reasonNotToSend and reasonNotToResend call it.
func (m *Machine) isOverQuota(r *run) bool {
	if r.step == nil {
		return false
	}
	size := r.step.claim(1)
	if size.IsGang {
		size.Tasks = r.step.openRuns
	}
	return r.job.account.IsExceeded(size)
}
