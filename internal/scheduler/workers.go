package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// downWorkerTTL is how long a worker that is down counts when it is decided
	// whether a job can ever run. An idle one is removed after it.
	downWorkerTTL = 10 * time.Minute
	// maxEvictionsPerCall bounds the attempts that one call of evictAttempts
	// terminates on a worker that leaves. Each Tick makes one call per worker.
	maxEvictionsPerCall = 8
)

func (s *Scheduler) setWorker(worker Worker) {
	w := s.cache.upsertWorker(worker)
	w.isUp = true
	s.cache.refreshWorker(w)
	if worker.Leaving || w.available.MilliCPU < 0 || w.available.MemoryMB < 0 || w.available.Accelerators < 0 {
		s.withdrawWorker(w)
	}
	s.evictAttempts(w)
	s.placeReservedOn(w)
	s.queue.onCapacityFreed(w)
}

// ensureWorker returns a worker, and adds it as one that is down if it is
// unknown.
func (s *Scheduler) ensureWorker(id string) *WorkerState {
	if w := s.cache.workers[id]; w != nil {
		return w
	}
	w := s.cache.upsertWorker(Worker{ID: id})
	w.downSince = s.now
	return w
}

func (s *Scheduler) workerDown(id string) {
	w := s.cache.workers[id]
	if w == nil || !w.isUp {
		return
	}
	w.isUp = false
	w.downSince = s.now
	s.withdrawWorker(w)
	s.cache.refreshWorker(w)
}

// withdrawWorker ends the reservations on a worker and its drain.
func (s *Scheduler) withdrawWorker(w *WorkerState) {
	s.requeueReservationsOn(w)
	if e := w.drainedFor; e != nil {
		e.drainedWorkers = slices.DeleteFunc(e.drainedWorkers, func(o *WorkerState) bool { return o == w })
		w.drainedFor = nil
		if len(e.drainedWorkers) == 0 {
			s.drainingEvals = slices.DeleteFunc(s.drainingEvals, func(o *Evaluation) bool { return o == e })
		}
	}
	s.cache.refreshWorker(w)
}

func (s *Scheduler) requeueReservationsOn(w *WorkerState) {
	for len(w.reservations) > 0 {
		s.requeueReservation(w.reservations[0])
	}
}

// maintainWorkers evicts attempts from workers that leave or shrank, and
// removes workers that have been down for downWorkerTTL.
func (s *Scheduler) maintainWorkers() {
	for i := len(s.cache.workerList) - 1; i >= 0; i-- {
		w := s.cache.workerList[i]
		s.evictAttempts(w)
		isIdle := len(w.tasks) == 0 && len(w.orphans) == 0
		if !w.isUp && isIdle && s.now >= w.downSince+downWorkerTTL {
			if w.health.isQuarantined {
				s.quarantinedWorkers--
			}
			s.cache.removeWorker(w)
		}
	}
}

// evictAttempts terminates attempts on a worker that leaves, a few at a time,
// or that holds more than its capacity, at once. On a worker that leaves,
// urgent work is short enough to finish, and gangs stay whole.
func (s *Scheduler) evictAttempts(w *WorkerState) {
	if !w.isUp {
		return
	}
	excess := w.used.Sub(w.terminating).Sub(w.Capacity)
	if !w.Leaving && excess.Fits(structs.Resources{}) {
		return
	}
	evicted := 0
	for _, t := range slices.Clone(w.tasks) {
		isOverCommitted := !excess.Fits(structs.Resources{})
		if !isOverCommitted && (!w.Leaving || evicted == maxEvictionsPerCall) {
			return
		}
		mayStay := t.gang() != nil || t.job.class.isUrgent()
		if !t.isPreemptible() || !isOverCommitted && mayStay {
			continue
		}
		excess = excess.Sub(t.allocated)
		evicted++
		reason := "worker leaves"
		if isOverCommitted {
			reason = "worker has less capacity than before"
		}
		s.terminate(t, reason)
		if g := t.gang(); g != nil {
			s.terminateGang(t.job, g, reason)
		}
	}
}

// getOrAddConfig returns the entry of a team or class, which stays the same
// object when the configuration changes.
func getOrAddConfig[T any](entries map[string]*T, name string, add func(*T)) *T {
	entry := entries[name]
	if entry == nil {
		entry = new(T)
		add(entry)
		entries[name] = entry
	}
	return entry
}

func (s *Scheduler) classByName(name string) *class {
	return getOrAddConfig(s.classes, name, func(c *class) { c.Name = name })
}

func (s *Scheduler) teamByName(name string) *team {
	return getOrAddConfig(s.teams, name, func(t *team) { t.name = name })
}

func (s *Scheduler) setConfig(config structs.ClusterConfig) {
	for _, c := range s.classes {
		next, isConfigured := config.Class(c.Name)
		c.hasChanged = isConfigured != c.isConfigured || isConfigured && next != c.Class
		c.isConfigured = isConfigured
	}
	for _, t := range s.teams {
		_, isConfigured := config.Team(t.name)
		t.hasChanged = isConfigured != t.isConfigured
		t.isConfigured = isConfigured
	}
	for _, c := range config.Classes {
		entry := s.classByName(c.Name)
		entry.Class = c
		entry.isConfigured = true
	}
	for _, t := range config.Teams {
		entry := s.teamByName(t.Name)
		entry.hasChanged = entry.hasChanged || entry.quota != t.Quota
		entry.quota = t.Quota
		entry.isConfigured = true
	}
	s.hasQuotas = len(config.Teams) > 0
}

// applyConfig puts a configuration in force. The sums of preemptible work on
// each worker depend on the classes and are computed again. Only jobs that the
// change concerns are queued again, because that restarts their waits, and
// changes may come more often than the waits last.
func (s *Scheduler) applyConfig(config structs.ClusterConfig) {
	hadQuotas := s.hasQuotas
	s.setConfig(config)
	for _, w := range s.cache.workerList {
		w.preemptible = w.preemptible[:0]
		for _, t := range w.tasks {
			w.countPreemptible(t, 1)
		}
	}
	for _, j := range s.jobList {
		isAffected := j.class.hasChanged || j.team.hasChanged || hadQuotas != s.hasQuotas
		if s.jobs[j.spec.ID] != j || !isAffected {
			continue
		}
		for i := range j.tasks {
			j.tasks[i].startDeadline = 0
			s.setDeadline(&j.tasks[i])
		}
		s.requeueJob(j)
	}
}

// infeasibleReason says why the job can never run with the known workers and
// the configuration, or returns an empty string. It gives no reason that more
// time could remove.
func (s *Scheduler) infeasibleReason(j *job) string {
	switch {
	case !j.class.isConfigured:
		return "class " + j.class.Name + " is not configured"
	case j.class.Kind == structs.KindRequest:
		return "class " + j.class.Name + " is for requests"
	case s.hasQuotas && !j.team.isConfigured:
		return "team " + j.team.name + " is not configured"
	case len(s.cache.shapeCounts) == 0:
		return ""
	}
	for g := range j.spec.Groups {
		group := &j.spec.Groups[g]
		maxTasks := s.cache.maxConcurrentTasks(group.Resources, group.Count)
		switch {
		case maxTasks == 0:
			return "no worker is large enough for a task of " + group.Resources.String()
		case j.gangs[g] != nil && maxTasks < group.Count:
			return "the workers together cannot hold the gang of tasks of " + group.Resources.String()
		}
	}
	return ""
}

// recheckFeasibility finds jobs that can never run since a change of the
// workers, and jobs that can run again.
func (s *Scheduler) recheckFeasibility() {
	for _, j := range s.jobList {
		if s.jobs[j.spec.ID] != j || j.isCancelled || j.liveTasks == j.openTasks {
			continue
		}
		reason := s.infeasibleReason(j)
		if reason == j.infeasibleReason {
			continue
		}
		s.dequeueJob(j)
		s.admitJob(j)
	}
}
