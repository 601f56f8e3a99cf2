//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["hopeless"] = hopelessJobs }

const (
	// quickJobs jobs of one short task come, then hopelessCount jobs that can never be done and chainJobs jobs of
	// two steps: 8 hopeless ones of 172, all within 3 s.
	quickJobs     = 140
	chainJobs     = 24
	hopelessCount = 8
	// hopelessKinds kinds of one minion each are required by two hopeless jobs and six chains.
	hopelessKinds = 4
	// hopelessWork is how long each attempt of a hopeless job takes, hopelessGap the time between the two of a
	// kind.
	hopelessWork = 4800 * time.Millisecond
	hopelessGap  = 400 * time.Millisecond
	// firstStepWork and up to five times chainGap are how long the first step of a chain takes, which runs on
	// minions of the usual kind. The second one requires a kind that hopeless jobs require too.
	firstStepWork  = 12750 * time.Millisecond
	chainGap       = 250 * time.Millisecond
	secondStepWork = 6 * time.Second
)

// hopelessJobs runs jobs beside a few that can never be done.
func hopelessJobs(c *cluster, trouble bool) (broken []string, err error) {
	if err := c.addWorkers(48); err != nil {
		return nil, err
	}
	if err := c.startVMs(7); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	phase := func(s stepDef, dependsOn ...int) map[string]any {
		return map[string]any{"Count": s.count, "Cpu": s.cpu, "MemMb": s.memory, "EstimatedMs": s.work.Milliseconds(), "Requirements": s.label, "DependsOn": dependsOn}
	}
	task := func(label string, work time.Duration) stepDef {
		return stepDef{count: 1, cpu: 1000, memory: 1024, label: label, work: work}
	}
	newJob := func(steps ...stepDef) *jobDef {
		return &jobDef{id: fmt.Sprintf("%016x", rand.Uint64()), spec: "desk", steps: steps}
	}
	for range quickJobs {
		s := task("", time.Second)
		if err := c.submit(newJob(s), phase(s)); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	for i := 0; trouble && i < hopelessCount; i++ {
		if i == hopelessKinds {
			time.Sleep(hopelessGap)
		}
		s := task(specialKind(i%hopelessKinds), hopelessWork)
		s.isHopeless = true
		if err := c.submit(newJob(s), phase(s)); err != nil {
			return nil, err
		}
	}
	var chains []*jobDef
	for i := range chainJobs {
		first, second := task(usualKind, firstStepWork+time.Duration(i/hopelessKinds)*chainGap), task(specialKind(i%hopelessKinds), secondStepWork)
		j := newJob(first, second)
		if err := c.submit(j, phase(first), phase(second, 0)); err != nil {
			return nil, err
		}
		chains = append(chains, j)
	}
	c.rec.line("end of the traffic")
	broken = c.watchIdle(chains, time.Now().Add(finish))
	time.Sleep(5 * time.Second)
	for _, j := range chains {
		c.call(c.vms[0], "GET", "/desk/"+j.id, nil)
	}
	return broken, nil
}
