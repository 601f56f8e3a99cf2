package owner

import (
	"cmp"
	"slices"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/shares"
	"gypsumwinch/internal/structs"
)

// This file orders the steps of different customers while they compete for capacity or for
// advice proxies (package shares). Without customers in the configuration it changes nothing.

// contention is what the order between customers depends on.
type contention struct {
	// uncountedJobs were added since the last scheduling cycle.
	uncountedJobs []*job
	// services are the usable workers of each service in the present cycle, capacity is the
	// total of all of them.
	services map[string]*serviceLoad
	capacity structs.Resources
	// isProxyOwed is true once a step of the cycle that is not excess has waited for advice;
	// excessQueries counts the queries in flight of steps that are.
	isProxyOwed   bool
	excessQueries int
}

// serviceLoad is the use of the usable workers of a service.
type serviceLoad struct {
	capacity, used structs.Resources
	// wanted is what the waiting steps want, as far as each may by its quota alone, except those
	// of excess jobs and those that wait for their quota.
	wanted   structs.Resources
	fullness shares.Fullness
	isFull   bool
	// isUnderHalf is true while under half of each resource is in use.
	isUnderHalf bool
}

// countJobs marks the jobs that were added since the last cycle and are beyond the rate that
// their customers may submit. They are counted in the order of their acceptance: a new owner
// adds those that it has taken over in any order. beginCycle calls it.
func (m *Machine) countJobs() {
	c := &m.contention
	if m.ledger.HasCustomers() {
		slices.SortFunc(c.uncountedJobs, func(a, b *job) int {
			return cmp.Or(a.def.AcceptedAt.Compare(b.def.AcceptedAt), cmp.Compare(a.def.ID, b.def.ID))
		})
		for _, j := range c.uncountedJobs {
			j.isExcess = j.account.CountJob(j.def.AcceptedAt, m.now.Wall)
			if j.isExcess {
				m.logDecision(string(j.def.ID), "job is beyond the rate of its customer", "customer", j.account.Name, "weight", j.account.Weight())
			}
		}
	}
	clear(c.uncountedJobs)
	c.uncountedJobs = c.uncountedJobs[:0]
}

// awaitsRestart reports whether a task of a long-running step has lost its run.
func (s *step) awaitsRestart() bool {
	return s.def.LongRunning && slices.ContainsFunc(s.tasks, func(t task) bool { return t.run == nil && t.idleSince > 0 })
}

// measureContention measures the use of the usable workers and of the advice proxies at the
// beginning of a cycle.
func (m *Machine) measureContention(steps []rankedStep) {
	c := &m.contention
	c.isProxyOwed, c.excessQueries, c.capacity = false, 0, structs.Resources{}
	if c.services == nil {
		c.services = map[string]*serviceLoad{}
	}
	for _, s := range c.services {
		s.capacity, s.used, s.wanted = structs.Resources{}, structs.Resources{}, structs.Resources{}
	}
	for _, w := range m.usableWorkers {
		s := c.services[w.info.Service]
		if s == nil {
			s = &serviceLoad{}
			c.services[w.info.Service] = s
		}
		s.capacity, s.used = s.capacity.Add(w.info.Capacity), s.used.Add(w.used)
	}
	for _, r := range steps {
		if r.step.job.isExcess {
			c.excessQueries += r.step.advice.queriesInFlight
		} else if s := c.services[r.queue.Service]; s != nil && !r.step.quotaWait.isWaiting {
			tasks := r.step.job.account.Room(r.step.claim(r.step.tasksWithoutRun()), m.cycle, shares.ForPlacement)
			s.wanted = s.wanted.Add(r.step.def.Charge().Times(int64(tasks)))
		}
	}
	for _, s := range c.services {
		s.isUnderHalf = shares.UsedFraction(s.used, s.capacity) < 0.5
		s.isFull = s.fullness.Update(s.used, s.wanted, s.capacity)
		c.capacity = c.capacity.Add(s.capacity)
	}
}

// tasksWithoutRun returns how many tasks of the step are neither done nor have an open run.
func (s *step) tasksWithoutRun() int { return max(0, len(s.tasks)-s.doneTasks-s.openRuns) }

// mayQuery reports whether a step may take advice proxies. One of an excess job may not while a
// step that is owed waits for advice, nor more of them than it leaves free: an answer takes over
// a second, and owed steps may come meanwhile. Long-running steps, and all while under half of
// the workers is in use, may nevertheless: they must not be without a run for 3 s then, and
// come after the owed steps of the cycle in any case. queryWithinQuota calls it.
func (m *Machine) mayQuery(s *step, q *cell.Queue) bool {
	c := &m.contention
	if !needsFreeProxy(q) {
		return true
	}
	if !s.job.isExcess {
		c.isProxyOwed = true
		return true
	}
	if load := c.services[q.Service]; s.def.LongRunning || load == nil || load.isUnderHalf {
		return true
	}
	return !c.isProxyOwed && c.excessQueries < m.adviceCapacity.FreeProxies
}

// CustomerLoad is the usage of one customer.
type CustomerLoad struct {
	Name string
	// RunningTasks is the number of open runs, WaitingTasks that of tasks to start; the steps of
	// QuotaWaitingSteps wait for the quota.
	RunningTasks      int
	WaitingTasks      int
	QuotaWaitingSteps int
	// QuotaUsed is the largest fraction of a limit of the quota in use, 0 without a quota.
	QuotaUsed float64
	// Share is the weighted dominant share of the usable workers.
	Share float64
	// ExcessJobs is the number of jobs beyond the customer's rate since this owner's term began.
	ExcessJobs int
}

// CustomerLoads returns the usage of the customers with the most waiting and running tasks, at
// most limit of them; none if the configuration has no customers. Package node writes it to the
// log once per second.
func (m *Machine) CustomerLoads(limit int) []CustomerLoad {
	if !m.ledger.HasCustomers() {
		return nil
	}
	byAccount := map[*shares.Account]*CustomerLoad{}
	for a := range m.ledger.Accounts() {
		_, runs := a.Running()
		byAccount[a] = &CustomerLoad{Name: a.Name, RunningTasks: runs, QuotaUsed: a.QuotaUsed(),
			Share: a.Share(m.contention.capacity), ExcessJobs: a.ExcessJobs()}
	}
	for _, s := range m.waitingSteps {
		l := byAccount[s.job.account]
		l.WaitingTasks += s.tasksWithoutRun()
		if s.quotaWait.isWaiting {
			l.QuotaWaitingSteps++
		}
	}
	out := make([]CustomerLoad, 0, len(byAccount))
	for _, l := range byAccount {
		if l.RunningTasks+l.WaitingTasks > 0 {
			out = append(out, *l)
		}
	}
	slices.SortFunc(out, func(a, b CustomerLoad) int {
		return cmp.Or(cmp.Compare(b.WaitingTasks+b.RunningTasks, a.WaitingTasks+a.RunningTasks), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), limit)]
}
