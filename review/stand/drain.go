//go:build review

package main

import (
	"errors"
	"time"
)

const (
	drainBound = 2 * time.Second
	// The start requests of one worker hang for drainHang. It reports that it drains
	// drainAfter later, and serves for drainStays.
	drainHang    = 5500 * time.Millisecond
	drainAfter   = time.Second
	drainRunTime = 800 * time.Millisecond
)

// playDrain lets the start requests of one worker hang, while its health check is good, and
// empties the worker meanwhile.
func playDrain(c *cell, hasTrouble bool) error {
	c.onStart = func(w *worker, o order, _ string, drainingSince time.Time) {
		if age := time.Since(drainingSince); !drainingSince.IsZero() && age > drainBound {
			c.report("DRAIN: %s run %d starts on %s %v after the store accepted that it is draining", o.Task, o.Run, w.ID, age)
		}
	}
	c.startsHang = hasTrouble
	var jobs []*job
	submit := func(n int) error {
		for range n {
			j := c.newJob(len(jobs), phase{Count: 2, Cpu: 2800, MemMb: 4000, EstimatedMs: drainRunTime.Milliseconds()}, drainRunTime)
			if err := c.submit(j); err != nil {
				return err
			}
			jobs = append(jobs, j)
			time.Sleep(30 * time.Millisecond)
		}
		return nil
	}
	if err := submit(60); err != nil {
		return err
	}
	begin := time.Now()
	c.armHang()
	if err := submit(20); err != nil {
		return err
	}
	time.Sleep(drainAfter - time.Since(begin))
	w := c.hanging()
	if w == nil {
		return errors.New("no start request has arrived")
	}
	set := func(f func()) {
		w.mu.Lock()
		f()
		w.mu.Unlock()
	}
	set(func() { w.isDraining = true })
	w.writeEntry()
	c.record.line("worker %s is draining", w.ID)
	if err := submit(40); err != nil {
		return err
	}
	time.Sleep(drainHang - time.Since(begin))
	set(func() { w.hangsStarts = false })
	if open := c.awaitCompleted(jobs, 30*time.Second); len(open) > 0 {
		c.report("LOST: %d jobs are not completed, first %s", len(open), open[0].id)
	}
	c.recordRuns(jobs)
	return nil
}

// armHang chooses the worker that the next start request reaches. Its start requests hang from
// then on if the case has its disruption.
func (c *cell) armHang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHangArmed = true
}

// hanging returns the worker that was chosen, or nil.
func (c *cell) hanging() *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chosen
}

// chooseIfArmed makes a worker the chosen one if there is none yet.
func (c *cell) chooseIfArmed(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHangArmed || c.chosen != nil {
		return
	}
	c.chosen = w
	w.mu.Lock()
	w.hangsStarts = c.startsHang
	w.mu.Unlock()
	c.record.line("worker %s is chosen; start requests hang there: %v", w.ID, c.startsHang)
}
