//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["lasting"] = lastingFailures }

const (
	// lastingJobs jobs have lastingTasks tasks each, of which at most lastingSpread run on one minion: 48
	// minions have room for 192 tasks of each job, and 22 % of their processors are in use.
	lastingJobs   = 2
	lastingTasks  = 168
	lastingSpread = 4
	// meanLife is the mean time after which a task fails.
	meanLife = 60 * time.Second
)

// lastingFailures runs two jobs whose tasks last and fail now and then, each by itself.
func lastingFailures(c *cluster, trouble bool) ([]string, error) {
	if err := c.addWorkers(48); err != nil {
		return nil, err
	}
	if err := c.startVMs(7); err != nil {
		return nil, err
	}
	life := never
	if trouble {
		life = func() time.Duration { return startup + time.Duration(rand.ExpFloat64()*float64(meanLife)) }
	}
	var names []string
	for range lastingJobs {
		j := newLastingJob(lastingTasks, lastingSpread, 1000, life)
		if err := c.submitLasting(j); err != nil {
			return nil, err
		}
		names = append(names, j.taskNames()...)
	}
	if !trouble && !c.awaitRunning(names, 10*time.Second) {
		return nil, fmt.Errorf("not all tasks have started after 10 s")
	}
	return c.watchLasting(names, 100*time.Second, maxPause), nil
}

// never is the life of a task that does not fail.
func never() time.Duration { return 0 }

// newLastingJob returns a job of one step whose tasks last.
func newLastingJob(count, spread int, cpu int64, life func() time.Duration) *jobDef {
	return &jobDef{id: fmt.Sprintf("%016x", rand.Uint64()), spec: "desk",
		steps: []stepDef{{count: count, cpu: cpu, memory: 1024, spread: spread, life: life}}}
}

// submitLasting submits a job of newLastingJob until it is accepted.
func (c *cluster) submitLasting(j *jobDef) error {
	s := &j.steps[0]
	return c.submit(j, map[string]any{"Count": s.count, "Cpu": s.cpu, "MemMb": s.memory, "EstimatedMs": 1000, "LongRunning": true, "AntiAffinity": s.spread})
}

// submit submits a job with the given phases until it is accepted.
func (c *cluster) submit(j *jobDef, phases ...map[string]any) error {
	c.fleet.addJob(j)
	body := map[string]any{"Spec": j.spec, "Phases": phases}
	for i := range 20 {
		if status, _ := c.call(c.vms[i%len(c.vms)], "POST", "/desk/"+j.id, body); status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// maxPause is how long after the end of its last run a task that lasts may be without a run: 6 s, and
// then 3 s on end.
const maxPause = 9 * time.Second

// watchLasting watches tasks that last for a time d and returns those that were without a run for longer
// than allowed, while there was room for the task twice over and less than half of the service was in use.
func (c *cluster) watchLasting(names []string, d, allowed time.Duration) (broken []string) {
	reported := map[string]bool{}
	lastLine := time.Time{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.fleet.mu.Lock()
		now := time.Now()
		running, longest := 0, time.Duration(0)
		for _, name := range names {
			t := c.fleet.task(name)
			if len(t.active) > 0 {
				running++
				delete(reported, name)
				continue
			}
			if t.runs == 0 {
				continue
			}
			pause := now.Sub(t.lastEnd)
			longest = max(longest, pause)
			twice, used := c.fleet.hasRoomTwice(c.fleet.stepOf(name))
			if pause < allowed || reported[name] || !twice || used >= 0.5 {
				continue
			}
			reported[name] = true
			broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, has not run for %.1f s since its last run; there is room for it twice over, %.0f %% of the service are in use", name, pause.Seconds(), 100*used))
		}
		c.fleet.mu.Unlock()
		if now.Sub(lastLine) > 2*time.Second {
			lastLine = now
			c.rec.line("%d of %d tasks run, the longest pause is %.1f s", running, len(names), longest.Seconds())
		}
	}
	return broken
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
