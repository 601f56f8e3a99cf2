//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["lost"] = ownerAndWorkersLost }

// calmAfter is how long after the loss the new machine is there and nothing else happens any more. The rule
// wants 4 calm seconds, and then 3 without a run; both lie later than 6 s after the last run.
const calmAfter = 3 * time.Second

// ownerAndWorkersLost loses the machine of the owner and two minions for good at one moment, while a
// job runs whose tasks last. It waits until each of its tasks runs again.
func ownerAndWorkersLost(c *cluster, trouble bool) ([]string, error) {
	if err := c.addWorkers(48); err != nil {
		return nil, err
	}
	if err := c.startVMs(7); err != nil {
		return nil, err
	}
	j := newLastingJob(40, 1, 2000, never)
	if err := c.submitLasting(j); err != nil {
		return nil, err
	}
	names := j.taskNames()
	if !c.awaitRunning(names, 10*time.Second) {
		return nil, fmt.Errorf("not all tasks have started after 10 s")
	}
	time.Sleep(8 * time.Second)
	if trouble {
		c.loseOwnerAndWorkers(2)
	}
	return c.watchLasting(names, 25*time.Second, calmAfter+7*time.Second), nil
}

// never is the life of a task that does not fail.
func never() time.Duration { return 0 }

// loseOwnerAndWorkers loses the owner's machine and n workers with tasks. The machine's address answers
// nothing any more, and another machine comes at another address 2 s later.
func (c *cluster) loseOwnerAndWorkers(n int) {
	owner := c.vmNamed(c.ownerName())
	for _, w := range c.fleet.workers {
		c.fleet.mu.Lock()
		hasRuns := len(w.runs) > 0
		c.fleet.mu.Unlock()
		if n > 0 && hasRuns {
			n--
			w.lose()
		}
	}
	c.rec.line("%s is lost for good", owner.name)
	owner.kill()
	go func() {
		time.Sleep(2 * time.Second)
		if err := c.addVM(len(c.vms)); err != nil {
			c.rec.line("cannot add a machine: %v", err)
		}
	}()
}

// awaitRunning waits until all tasks run.
func (c *cluster) awaitRunning(names []string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.fleet.mu.Lock()
		running := 0
		for _, name := range names {
			if len(c.fleet.task(name).active) > 0 {
				running++
			}
		}
		c.fleet.mu.Unlock()
		if running == len(names) {
			return true
		}
	}
	return false
}
