//go:build review

package main

import (
	"fmt"
	"time"
)

// The jobs of playEnds fit on one worker together.
const (
	endsJobs        = 30
	endsTasksPerJob = 50
	endsRunTime     = 4 * time.Second
	endsOutage      = 4500 * time.Millisecond
)

// playEnds lets 1,500 small tasks end on one worker while the store is down. The worker lists
// 500 ends at a time.
func playEnds(c *cell, hasTrouble bool) error {
	var jobs []*job
	for i := range endsJobs {
		j := c.newJob(i, phase{Count: endsTasksPerJob, Cpu: 20, MemMb: 20, EstimatedMs: endsRunTime.Milliseconds()}, endsRunTime)
		if err := c.submit(j); err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	total := endsJobs * endsTasksPerJob
	for deadline := time.Now().Add(20 * time.Second); c.fleet.Starts() < total; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d tasks have started", c.fleet.Starts(), total)
		}
	}
	c.record.line("all %d tasks have started", total)
	if hasTrouble {
		c.takeStoreDown(endsOutage)
	} else {
		time.Sleep(endsOutage)
	}
	if open := c.awaitCompleted(jobs, 40*time.Second); len(open) > 0 {
		c.report("LOST: %d jobs are not completed, first %s", len(open), open[0].id)
	}
	time.Sleep(time.Second)
	c.recordRuns(jobs)
	c.record.line("%d tasks, %d starts", total, c.fleet.Starts())
	return nil
}
