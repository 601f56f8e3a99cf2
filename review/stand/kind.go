//go:build review

package main

import (
	"time"
)

const (
	kindJobs     = 1200
	kindJobEvery = 30 * time.Millisecond
	kindRunTime  = 250 * time.Millisecond
	// A worker crashes every kindCrashEvery; its next process starts after kindDownFor.
	kindCrashEvery = 2500 * time.Millisecond
	kindDownFor    = 400 * time.Millisecond
	// kindWorkers are the workers of kind a at the beginning. One of them is down or of kind b
	// at a time.
	kindWorkers = 3
)

// playKind crashes one worker of eight at a time. It starts again under its id and address as
// the other kind, and writes its entry before it takes orders. All jobs require kind a.
func playKind(c *cell, hasTrouble bool) error {
	c.onStart = func(w *worker, o order, kind string, _ time.Time) {
		if kind != "a" {
			c.report("ROUTE: %s run %d requires label a and starts on %s, which is of kind %s", o.Task, o.Run, w.ID, kind)
		}
	}
	stop := make(chan struct{})
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		for i := 0; hasTrouble; i++ {
			select {
			case <-stop:
				return
			case <-time.After(kindCrashEvery - kindDownFor):
			}
			// Each worker becomes kind b and, with its next crash, kind a again.
			if err := c.restartAs(c.workers[i/2%kindWorkers], []string{"b", "a"}[i%2]); err != nil {
				c.record.line("the worker cannot listen: %v", err)
				return
			}
		}
	}()
	var jobs []*job
	var err error
	for i := range kindJobs {
		j := c.newJob(i, phase{Count: 2, Cpu: 2800, MemMb: 4000, EstimatedMs: kindRunTime.Milliseconds(), Requirements: "a"}, kindRunTime)
		if err = c.submit(j); err != nil {
			break
		}
		jobs = append(jobs, j)
		time.Sleep(kindJobEvery)
	}
	close(stop)
	<-crashed
	if err != nil {
		return err
	}
	if open := c.awaitCompleted(jobs, 25*time.Second); len(open) > 0 {
		c.report("LOST: %d jobs are not completed, first %s", len(open), open[0].id)
	}
	return nil
}

// restartAs crashes a worker and starts it again as a kind.
func (c *cell) restartAs(w *worker, kind string) error {
	w.crash()
	time.Sleep(kindDownFor)
	w.mu.Lock()
	w.kind = kind
	w.mu.Unlock()
	err := w.listen()
	c.record.line("worker %s has started again as kind %s; its entry was written before", w.ID, kind)
	return err
}
