package main

import (
	"errors"
	"fmt"
	"time"
)

var errNotReady = errors.New("the VMs are not ready")

func jobID(n int) string { return fmt.Sprintf("%016x", 0xabc000000000+n) }

// traffic submits an ordinary job of two tasks each half second until a time, each at the next VM,
// and returns the ids of the accepted ones.
func (l *lab) traffic(length time.Duration) (ids []string) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		l.jobs++
		n := l.jobs
		j := &jobInfo{ID: jobID(n), Spec: "ordinary", Steps: []stepInfo{{Count: 2, MilliCPU: 1000, Duration: 600 * time.Millisecond}}}
		next := time.Now().Add(500 * time.Millisecond)
		l.submit(j, n)
		if j.IsAccepted {
			ids = append(ids, j.ID)
		}
		time.Sleep(time.Until(next))
	}
	return ids
}

// emptySteps submits, among ordinary jobs, one job that repeats, most steps of which have no task.
func emptySteps(rec *recorder, trouble bool) ([]string, error) {
	l, err := newLab(rec, 4, 6, 16_000)
	if l != nil {
		defer l.close()
	}
	if err != nil {
		return nil, err
	}
	if !l.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	ids := l.traffic(4 * time.Second)
	if trouble {
		j := &jobInfo{ID: jobID(0), Spec: "report", Repeat: 4000, Interval: time.Second}
		j.FirstRun = time.Now().Add(-time.Duration(j.Repeat) * j.Interval)
		for range 999 {
			j.Steps = append(j.Steps, stepInfo{})
		}
		j.Steps = append(j.Steps, stepInfo{Count: 1, MilliCPU: 1000, Duration: 200 * time.Millisecond})
		l.submit(j, 0)
	}
	ids = append(ids, l.traffic(6*time.Second)...)
	trafficEnd := time.Now()
	l.watchLost(trafficEnd, 15*time.Second)
	l.askAll(ids)
	return l.summary(), nil
}

// dueTimes submits small jobs that repeat and whose times are all due.
func dueTimes(rec *recorder, trouble bool) ([]string, error) {
	const jobs, repeat = 150, 4000
	l, err := newLab(rec, 4, 12, 16_000)
	if l != nil {
		defer l.close()
	}
	if err != nil {
		return nil, err
	}
	if !l.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	ids := l.traffic(3 * time.Second)
	for n := range jobs {
		j := &jobInfo{ID: jobID(1000 + n), Spec: "report", Steps: []stepInfo{{Count: 1, MilliCPU: 1000, Duration: 500 * time.Millisecond}}}
		if trouble {
			j.Repeat, j.Interval = repeat, time.Second
			j.FirstRun = time.Now().Add(-time.Duration(j.Repeat) * j.Interval)
		}
		l.submit(j, n)
		time.Sleep(30 * time.Millisecond) // the ordinary rate of both sites is 33 jobs a second
	}
	ids = append(ids, l.traffic(6*time.Second)...)
	l.watchLost(time.Now(), 15*time.Second)
	l.askAll(ids)
	return l.summary(), nil
}

// runningService submits fewer such jobs beside a service of three tasks that last, each of which
// fills a worker.
func runningService(rec *recorder, trouble bool) ([]string, error) {
	const jobs, repeat = 70, 4000
	l, err := newLab(rec, 4, 12, 16_000)
	if l != nil {
		defer l.close()
	}
	if err != nil {
		return nil, err
	}
	if !l.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	l.submit(&jobInfo{ID: jobID(5000), Spec: "service", Steps: []stepInfo{{Count: 3, MilliCPU: 16_000, Lasting: true, MayMiss: 1}}}, 0)
	l.traffic(10 * time.Second)
	for n := range jobs {
		j := &jobInfo{ID: jobID(1000 + n), Spec: "report", Steps: []stepInfo{{Count: 1, MilliCPU: 1000, Duration: 500 * time.Millisecond}}}
		if trouble {
			j.Repeat, j.Interval = repeat, time.Second
			j.FirstRun = time.Now().Add(-time.Duration(j.Repeat) * j.Interval)
		}
		l.submit(j, n)
		time.Sleep(30 * time.Millisecond)
	}
	l.traffic(35 * time.Second)
	return l.summary(), nil
}

// manySteps submits large jobs at once: each has many steps of one task, most of which depend on
// the others. Without trouble, the same tasks come in two steps a job.
func manySteps(rec *recorder, trouble bool) ([]string, error) {
	const jobs, first, second = 40, 60, 900
	l, err := newLab(rec, 4, 12, 16_000)
	if l != nil {
		defer l.close()
	}
	if err != nil {
		return nil, err
	}
	if !l.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	for n := range jobs {
		j := &jobInfo{ID: jobID(1000 + n), Spec: "workflow"}
		a := stepInfo{Count: 1, MilliCPU: 1000, Duration: 300 * time.Millisecond}
		b := stepInfo{Count: 1, MilliCPU: 1000, Duration: 500 * time.Millisecond}
		if trouble {
			for i := range first {
				j.Steps = append(j.Steps, a)
				b.DependsOn = append(b.DependsOn, i)
			}
			for range second {
				j.Steps = append(j.Steps, b)
			}
		} else {
			a.Count, b.Count, b.DependsOn = first, second, []int{0}
			j.Steps = []stepInfo{a, b}
		}
		l.submit(j, n)
		time.Sleep(350 * time.Millisecond) // twice the ordinary rate of the largest class
	}
	ids := l.traffic(8 * time.Second)
	l.watchLost(time.Now(), 30*time.Second)
	l.askAll(ids)
	return l.summary(), nil
}

// largeJobs submits jobs of a fifth of a megabyte: chains of steps, each of which names all earlier
// ones. Without trouble, each step names the one before it only.
func largeJobs(rec *recorder, trouble bool) ([]string, error) {
	const jobs, steps = 400, 335
	l, err := newLab(rec, 4, 12, 16_000)
	if l != nil {
		defer l.close()
	}
	if err != nil {
		return nil, err
	}
	if !l.awaitReady(20 * time.Second) {
		return nil, errNotReady
	}
	ids := l.traffic(3 * time.Second)
	for n := range jobs {
		j := &jobInfo{ID: jobID(1000 + n), Spec: "pipeline"}
		for i := range steps {
			s := stepInfo{Count: 1, MilliCPU: 200, Duration: 100 * time.Millisecond}
			for d := range i {
				if trouble || d == i-1 {
					s.DependsOn = append(s.DependsOn, d)
				}
			}
			j.Steps = append(j.Steps, s)
		}
		l.submit(j, n)
		time.Sleep(20 * time.Millisecond)
	}
	ids = append(ids, l.traffic(6*time.Second)...)
	l.watchLost(time.Now(), 20*time.Second)
	l.askAll(ids)
	return l.summary(), nil
}
