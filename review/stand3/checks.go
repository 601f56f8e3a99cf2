package main

import (
	"fmt"
	"strconv"
	"time"
)

// Bounds of the rules, as the pages give them for both sites.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// hasReadyTask reports whether the turn of a task of the job has come: its occurrence is due, and
// all tasks of the steps on which it depends have ended done. It returns the task's need.
func (j *jobInfo) hasReadyTask(now time.Time) (milliCPU int64, ok bool) {
	for k := range j.occurrences() {
		if j.Repeat > 0 && now.Before(j.FirstRun.Add(time.Duration(k)*j.Interval)) {
			return 0, false
		}
		for i := range j.Steps {
			s := &j.Steps[i]
			if j.doneCount[stepName(k, i)] < s.Count && j.dependenciesDone(k, s) {
				return s.MilliCPU, true
			}
		}
	}
	return 0, false
}

func (j *jobInfo) dependenciesDone(occurrence int, s *stepInfo) bool {
	for _, d := range s.DependsOn {
		if j.doneCount[stepName(occurrence, d)] < j.Steps[d].Count {
			return false
		}
	}
	return true
}

func stepName(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// lostCheck is the part of LOST about jobs that have nothing running.
type lostCheck struct {
	idleSince map[string]time.Time
	reported  map[string]bool
}

// look looks once at all accepted jobs.
func (c *lostCheck) look(f *fleet, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var used, capacity int64
	for _, w := range f.workers {
		used += w.used()
		capacity += w.milliCPU
	}
	for id, j := range f.jobs {
		need, isReady := int64(0), false
		if j.IsAccepted && j.running == 0 && 2*used < capacity {
			need, isReady = j.hasReadyTask(now)
		}
		if !isReady || !f.hasRoomTwice(need) {
			delete(c.idleSince, id)
			continue
		}
		since, ok := c.idleSince[id]
		if !ok {
			c.idleSince[id] = now
			continue
		}
		if now.Sub(since) >= idleTime && !c.reported[id] {
			c.reported[id] = true
			f.breakRule("LOST", "job %s has had nothing running for %.1f s, a task's turn has come, %d of %d thousandths of a core are in use",
				id, now.Sub(since).Seconds(), used, capacity)
		}
	}
}

func (f *fleet) hasRoomTwice(need int64) bool {
	room := int64(0)
	for _, w := range f.workers {
		room += (w.milliCPU - w.used()) / max(need, 1)
	}
	return room >= 2
}

// watchLost looks for jobs that have nothing running from finishTime after the end of the
// traffic on, for a time.
func (l *lab) watchLost(trafficEnd time.Time, length time.Duration) {
	c := &lostCheck{idleSince: map[string]time.Time{}, reported: map[string]bool{}}
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	l.rec.logf("finish_s after the end of the traffic: jobs are asked for, and looked at")
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.look(l.fleet, time.Now())
	}
}

// askAll asks for each accepted job that is not the disruption; one that is not known or gets no
// answer from any VM breaks LOST.
func (l *lab) askAll(ids []string) {
	for i, id := range ids {
		state := l.state(id, i)
		l.rec.logf("GET %s: %q", id, state)
		if state == "" || state == "410" {
			l.fleet.mu.Lock()
			l.fleet.breakRule("LOST", "accepted job %s is asked for at each VM: %q", id, state)
			l.fleet.mu.Unlock()
		}
	}
}

// summary records what became of the jobs, and returns the broken rules.
func (l *lab) summary() []string {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	accepted, completed := 0, 0
	for _, j := range l.fleet.jobs {
		if !j.IsAccepted {
			continue
		}
		accepted++
		if _, isReady := j.hasReadyTask(time.Now()); !isReady && j.running == 0 {
			completed++
		}
	}
	kills, starts := 0, 0
	for _, v := range l.vms {
		v.mu.Lock()
		kills, starts = kills+v.memoryKills, starts+v.starts
		v.mu.Unlock()
	}
	text := fmt.Sprintf("%d jobs accepted, %d of them done at the workers; %d starts of processes, %d killed for their memory; %d runs lapsed",
		accepted, completed, starts, kills, l.fleet.lapsed)
	l.rec.logf("%s", text)
	fmt.Println(text)
	return l.fleet.broken
}
