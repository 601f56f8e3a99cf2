// Package soak runs the real daemon as separate processes, with stand-ins for the store, the
// workers, the advice service and the operator, and injects faults from outside: signals,
// links that are cut, delayed or reset, faults of the store and of the workers. Callers
// submit jobs meanwhile. The rules that must always hold are checked by what callers and
// workers see. The faults are drawn from a seed and written down as a Schedule. Read Run
// first.
//
// The links between two VMs have no proxy: a VM listens at the address that it tells others.
package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Violations []string
	Submitted, Accepted, Rejected, Unknown,
	Completed, Failed, Cancelled, Unanswered int64
	Starts int
	// BoundRuns is the number of runs of cancelled jobs to which the bound of cancellations applied.
	BoundRuns int
	// LongestBoundRun is how long one of them went on at most.
	LongestBoundRun time.Duration
	// Owners counts the changes of the owner.
	Owners int
	// Recovery is the time from the last fault until each accepted job had ended.
	Recovery time.Duration
	// QuotaStarts is the number of starts that were compared with a quota, KeyAnswers that of the
	// answers by which keys were judged; both are 0 without customers.
	QuotaStarts, KeyAnswers int
}

// Print writes the result as a line, and a line for each broken rule.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: submitted %d accepted %d refused %d unknown %d completed %d failed %d cancelled %d unanswered %d starts %d owners %d bound runs %d longest %.3f s recovery %.1f s broken rules %d\n",
		r.Seed, r.Submitted, r.Accepted, r.Rejected, r.Unknown, r.Completed, r.Failed, r.Cancelled, r.Unanswered, r.Starts, r.Owners, r.BoundRuns, r.LongestBoundRun.Seconds(), r.Recovery.Seconds(), len(r.Violations))
	if r.KeyAnswers > 0 {
		fmt.Fprintf(w, "   customers: starts compared with a quota %d, answers about keys %d\n", r.QuotaStarts, r.KeyAnswers)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "  ", v)
	}
}

// startupTime is what the VMs have to elect an owner before the traffic starts.
const startupTime = 2 * time.Second

// Options are what a run needs besides its schedule.
type Options struct {
	// Daemon is the program of the daemon.
	Daemon string
	// Dir is the directory for the schedule, the settings and the logs of the VMs.
	Dir string
	// ChecksCancelBound is true if runs of cancelled jobs must end within the time that the platform
	// allows. A machine that is too slow breaks it.
	ChecksCancelBound bool
	// ChecksApplyBound is true if a version of the configuration must be in force within the time
	// that the platform allows. Otherwise an older version may be in force at any time for the
	// verdicts about keys and quotas, but not at the end.
	ChecksApplyBound bool
}

// Run plays a schedule. An error means that the run could not be played.
func Run(s Schedule, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, eris.Wrap(err, "create directory of the run")
	}
	if err := s.WriteFile(filepath.Join(o.Dir, "schedule.yaml")); err != nil {
		return Result{}, err
	}
	c, err := newCluster(s, o.Daemon, o.Dir)
	if err != nil {
		return Result{}, err
	}
	defer c.close()
	c.checksApplyBound = o.ChecksApplyBound
	cs := newCallers(c, s)
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for i := range c.vms {
		watchers.Go(func() { cs.probe(i, stop) })
		watchers.Go(func() { cs.watchVersions(i, stop) })
	}
	if c.customers != nil {
		watchers.Go(func() { cs.tryKeys(stop) })
	}
	time.Sleep(startupTime)
	var faultsEndedAt time.Time
	var faults sync.WaitGroup
	faults.Go(func() { c.playChanges(s.CustomerChanges) })
	faults.Go(func() {
		c.play(s.Faults)
		faultsEndedAt = time.Now()
		time.AfterFunc(recoveryTimeout, func() { close(cs.overdue) })
	})
	cs.run(s.Traffic, s.JobsPerSecond)
	faults.Wait()
	recovery := max(0, time.Since(faultsEndedAt))
	for i := range c.vms {
		cs.awaitNewestVersion(i)
	}
	close(stop)
	watchers.Wait()
	var quotaStarts int
	if c.customers != nil {
		cs.tryAllKeys()
		cs.judgeKeys()
		quotaStarts = cs.judgeQuotas()
		c.judgeLogs()
	}
	if err := c.writeCancellations(cs.cancellations); err != nil {
		return Result{}, err
	}
	var boundRuns int
	var longest time.Duration
	if o.ChecksCancelBound {
		boundRuns, longest = c.judgeCancellations(cs.cancellations)
	}
	return Result{
		Seed: s.Seed, Violations: c.allViolations(), Submitted: cs.submitted.Load(), Accepted: cs.accepted.Load(),
		Rejected: cs.rejected.Load(), Unknown: cs.unknown.Load(), Completed: cs.completed.Load(), Failed: cs.failed.Load(),
		Cancelled: cs.cancelled.Load(), Unanswered: cs.unanswered.Load(), Starts: c.fleet.Starts(), Owners: c.owners, BoundRuns: boundRuns, LongestBoundRun: longest, Recovery: recovery,
		QuotaStarts: quotaStarts, KeyAnswers: len(cs.keyAnswers),
	}, nil
}

// play injects the faults of a schedule at their times and returns when all have ended.
func (c *cluster) play(faults []Fault) {
	startedAt := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(startedAt.Add(f.At)))
		wg.Go(func() {
			begin := time.Now()
			c.inject(f)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.faultSpans = append(c.faultSpans, span{begin, time.Now(), f.Kind})
		})
	}
	wg.Wait()
}
