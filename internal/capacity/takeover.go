package capacity

import (
	"fmt"
	"io"
	"time"

	"gypsumwinch/internal/daemon"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/control"
	"gypsumwinch/standin/logstore"
	"gypsumwinch/standin/worker"
)

// Handover measures a graceful shutdown of an owner: the time until a job that
// is submitted at that moment runs. The moment is the release on the log, since
// the owner serves until then.
func Handover(out io.Writer, target Target) error {
	return measureTakeover(out, target, "Graceful end of an owner", func(c *cluster, owner structs.VM) error {
		c.stopDaemon[owner.ID]()
		for start := time.Now(); time.Since(start) < stepTimeout; time.Sleep(pollInterval) {
			for _, e := range c.store.Entries(records.StreamOwners) {
				if r, err := records.Decode(e.Data); err == nil && r.Release != nil {
					return nil
				}
			}
		}
		return errStep
	})
}

// Crash measures the same for a sudden failure. It cuts the owner off from the
// log and from all workers, which is what the others see when the owner is dead.
func Crash(out io.Writer, target Target) error {
	return measureTakeover(out, target, "Sudden end of an owner", func(c *cluster, owner structs.VM) error {
		cut := control.Network{Cut: []string{owner.ID}}
		for _, w := range c.workerNodes[owner.DataCentre] {
			if err := setFaults(w, worker.Faults{Network: cut}); err != nil {
				return err
			}
		}
		return setFaults(c.store, logstore.Faults{Network: cut})
	})
}

// measureTakeover fills two data centres, lets shutDown end the owner of one and
// prints the time until a new job runs there. Handover and Crash call it.
func measureTakeover(out io.Writer, target Target, title string, shutDown func(*cluster, structs.VM) error) error {
	t := newTable(out, title, "workers", "tasks", "time until a new job runs", "attempts lost", "tasks that run")
	// Two data centres of the target size.
	s := planeSize{2 * target.Workers / target.DataCentres, 2 * (target.Tasks / target.DataCentres / tasksPerJob) * tasksPerJob}
	target.VMs, target.DataCentres = 8, 2
	c, err := newCluster(target, target.VMs, s.Workers)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if _, err := c.submitJobs(s.Tasks); err != nil {
		return fmt.Errorf("start of tasks: %w", err)
	}
	time.Sleep(settleTime)
	owner, other, err := c.owner(c.entryVMs[0].DataCentre)
	if err != nil {
		return err
	}
	if err := shutDown(c, owner); err != nil {
		return err
	}
	begin := time.Now()
	j := newJob(1, time.Now())
	j.DataCentre = owner.DataCentre
	if out := other.SubmitJob(c.ctx, j); out.Status != structs.StatusCompleted {
		return fmt.Errorf("%w: %s", errRefused, out.Reason)
	}
	running := func(id string) func(int, *daemon.Daemon) bool {
		return func(_ int, d *daemon.Daemon) bool {
			status, err := d.JobStatus(c.ctx, id)
			return err == nil && status != nil && status.Counts["running"] == tasksPerJob
		}
	}
	if _, err := c.wait([]*daemon.Daemon{other}, running(j.ID)); err != nil {
		return fmt.Errorf("new job: %w", err)
	}
	took := time.Since(begin)
	lost, live := c.countAttempts(owner.DataCentre)
	t.row(s.Workers/2, s.Tasks/2, took, lost, live)
	return nil
}

// owner returns the VM that owns a data centre, according to the last heartbeat
// on the log, and a daemon of another VM there.
func (c *cluster) owner(dataCentre string) (owner structs.VM, other *daemon.Daemon, err error) {
	id := ""
	for _, e := range c.store.Entries(records.StreamOwners) {
		r, err := records.Decode(e.Data)
		if err != nil {
			return owner, nil, err
		}
		if r.Heartbeat != nil && r.Heartbeat.DataCentre == dataCentre {
			id = r.Heartbeat.Instance
		}
	}
	for i, vm := range c.entryVMs {
		switch {
		case vm.DataCentre != dataCentre:
		case len(id) > len(vm.ID) && id[:len(vm.ID)+1] == vm.ID+"-":
			owner = vm
		default:
			other = c.daemons[i]
		}
	}
	if owner.ID == "" {
		return owner, nil, fmt.Errorf("%w: no owner of %s", errStep, dataCentre)
	}
	return owner, other, nil
}

// countAttempts returns the number of attempts of a data centre that ended, and
// of those that run, according to the log.
func (c *cluster) countAttempts(dataCentre string) (ended, live int) {
	for _, e := range c.store.Entries(records.JobsStream(dataCentre)) {
		r, err := records.Decode(e.Data)
		switch {
		case err != nil:
		case r.TaskStart != nil:
			live++
		case r.TaskEnd != nil:
			live--
			ended++
		}
	}
	return ended, live
}
