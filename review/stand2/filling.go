//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["filling"] = fillingBesideServing }

const (
	// servingTasks tasks serve, one a minion.
	servingTasks = 48
	servingCPU   = 8000
	servingMs    = 200
	// fillingJobs jobs come in the first fillingFor; each has one task, which takes shortWork or, a third of
	// them, longWork at full speed.
	fillingJobs = 48
	shortWork   = 3 * time.Second
	longWork    = 12 * time.Second
	fillingFor  = 12 * time.Second
	// finish is finish_s.
	finish = 14 * time.Second
	// specialKinds minions have a kind of their own, which the jobs that fill require: six of them, which come
	// one after the other, share a minion, and add 0.12 to the load of its serving task at most.
	specialKinds = 8
	jobsAKind    = fillingJobs / specialKinds
	// calmLoad and highLoad are the tails of the serving tasks without any task that fills, as a share of their
	// target.
	calmLoad = 0.3
	highLoad = 0.85
)

// usualKind is the kind of the other minions.
const usualKind = "kind-a"

// specialKind is the label of a kind that one minion has.
func specialKind(i int) string { return fmt.Sprintf("special-%d", i) }

// fillingBesideServing runs a task that serves on each minion, and jobs that fill.
func fillingBesideServing(c *cluster, trouble bool) (broken []string, err error) {
	if err := c.addWorkers(48); err != nil {
		return nil, err
	}
	if err := c.startVMs(7); err != nil {
		return nil, err
	}
	load := calmLoad
	if trouble {
		load = highLoad
	}
	serving := newLastingJob(servingTasks, 1, servingCPU, never)
	serving.steps[0].target, serving.steps[0].load = servingMs, func() float64 { return load }
	phase := map[string]any{"Count": servingTasks, "Cpu": servingCPU, "MemMb": 1024, "EstimatedMs": 1000, "LongRunning": true, "AntiAffinity": 1, "Image": "web", "TargetMs": servingMs}
	if err := c.submit(serving, phase); err != nil {
		return nil, err
	}
	if !c.awaitRunning(serving.taskNames(), 10*time.Second) {
		return nil, fmt.Errorf("not all tasks that serve have started after 10 s")
	}
	var jobs []*jobDef
	for i := range fillingJobs {
		label, work := specialKind(i/jobsAKind), shortWork
		if i%jobsAKind%3 == 2 {
			work = longWork
		}
		j := &jobDef{id: fmt.Sprintf("%016x", rand.Uint64()), spec: "fill", steps: []stepDef{{count: 1, cpu: 1000, memory: 1024, label: label, fills: true, work: work}}}
		phase := map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1024, "EstimatedMs": work.Milliseconds(), "Image": "report", "Fills": true, "Requirements": label}
		if err := c.submit(j, phase); err != nil {
			return nil, err
		}
		jobs = append(jobs, j)
		time.Sleep(fillingFor / fillingJobs)
	}
	c.rec.line("end of the traffic")
	broken = c.watchIdle(jobs, time.Now().Add(finish))
	done, runs := 0, 0
	c.fleet.mu.Lock()
	for _, j := range jobs {
		t := c.fleet.task(j.taskNames()[0])
		if t.isDone {
			done++
		}
		runs += t.runs
	}
	c.fleet.mu.Unlock()
	for _, j := range jobs {
		c.call(c.vms[0], "GET", "/desk/"+j.id, nil)
	}
	c.rec.line("%d of %d jobs that fill are done, after %d runs", done, len(jobs), runs)
	fmt.Printf("%d of %d jobs that fill are done, after %d runs\n", done, len(jobs), runs)
	return broken, nil
}

// watchIdle returns the jobs that have nothing running for 3 s from a time on, although there is room for
// their next step twice over on the minion that it requires and less than half of the service is in use.
func (c *cluster) watchIdle(jobs []*jobDef, from time.Time) (broken []string) {
	idleSince := map[string]time.Time{}
	for ; time.Now().Before(from.Add(3100 * time.Millisecond)); time.Sleep(20 * time.Millisecond) {
		c.fleet.mu.Lock()
		now := time.Now()
		for _, j := range jobs {
			step, runs, isIdle := c.fleet.waitingStep(j)
			if !isIdle || now.Before(from) {
				delete(idleSince, j.id)
				continue
			}
			if idleSince[j.id].IsZero() {
				idleSince[j.id] = now
			}
			twice, used := c.fleet.hasRoomTwice(step)
			if now.Sub(idleSince[j.id]) >= 3*time.Second && twice && used < 0.5 {
				idleSince[j.id] = now.Add(time.Hour)
				broken = append(broken, fmt.Sprintf("LOST: job %s, accepted, has had nothing running for 3 s, %v after the end of the traffic; its next step ran %d times; %.0f %% of the service are in use", j.id, finish, runs, 100*used))
			}
		}
		c.fleet.mu.Unlock()
	}
	return broken
}

// waitingStep returns the first step of a job that is not done, the number of its runs, and whether the job has
// nothing running. Each step has one task and depends on the one before.
func (f *fleet) waitingStep(j *jobDef) (step *stepDef, runs int, isIdle bool) {
	for i, name := range j.taskNames() {
		t := f.task(name)
		if t.isDone {
			continue
		}
		return &j.steps[i], t.runs, len(t.active) == 0
	}
	return nil, 0, false
}
