package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as in the settings of the small deployments.
const (
	maxLease    = 6 * time.Second
	stopTime    = 80 * time.Millisecond
	startupTime = 300 * time.Millisecond
	listedEnds  = 500
)

// stepInfo is what the workers and the checks know of a step of a job.
type stepInfo struct {
	Count     int
	MilliCPU  int64
	Duration  time.Duration
	DependsOn []int
	Lasting   bool
	MayMiss   int
}

// jobInfo is a job as its client sent it, with what became of it.
type jobInfo struct {
	ID       string
	Spec     string
	Steps    []stepInfo
	Repeat   int
	FirstRun time.Time
	Interval time.Duration
	// IsAccepted is true once a submission was answered with 2xx.
	IsAccepted bool

	// done has the tasks that have ended done, by name; doneCount counts them by occurrence
	// and step.
	done      map[string]bool
	doneCount map[string]int
	running   int
	// lastRunAt is when a run of the job was last at its worker.
	lastRunAt time.Time
}

func (j *jobInfo) occurrences() int { return max(j.Repeat, 1) }

// run is one run of a task on a worker.
type run struct {
	task      string
	number    int
	job       *jobInfo
	step      *stepInfo
	stepName  string
	worker    *worker
	startedAt time.Time
	stopsAt   time.Time
}

type ending struct {
	number  int64
	task    string
	run     int
	outcome string
}

// fleet is all workers and jobs. Its mutex guards all of them.
type fleet struct {
	mu      sync.Mutex
	rec     *recorder
	workers []*worker
	jobs    map[string]*jobInfo
	changed chan struct{}
	// broken are the rules that the workers saw broken.
	broken []string
	lapsed int
}

type worker struct {
	fleet    *fleet
	id       string
	addr     string
	milliCPU int64
	memoryMB int64
	born     time.Time
	token    int64
	lease    time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []ending
	lastEnd  int64
}

func newFleet(rec *recorder) *fleet {
	return &fleet{rec: rec, jobs: map[string]*jobInfo{}, changed: make(chan struct{})}
}

func (f *fleet) addWorker(id, addr string, milliCPU, memoryMB int64) *worker {
	w := &worker{fleet: f, id: id, addr: addr, milliCPU: milliCPU, memoryMB: memoryMB, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}}
	f.workers = append(f.workers, w)
	return w
}

func (f *fleet) addJob(j *jobInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.done, j.doneCount, j.lastRunAt = map[string]bool{}, map[string]int{}, time.Now()
	f.jobs[j.ID] = j
}

// run looks for ends until stop is closed.
func (f *fleet) run(stop <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			f.mu.Lock()
			for _, w := range f.workers {
				w.tick(now)
			}
			f.mu.Unlock()
		}
	}
}

func (w *worker) clock(now time.Time) time.Duration { return now.Sub(w.born) }

func (w *worker) tick(now time.Time) {
	hasLapsed := w.clock(now) > w.lease
	for _, r := range w.runs {
		switch {
		case hasLapsed:
			w.fleet.lapsed++
			w.end(r, "lapsed", now)
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			w.end(r, "stopped", now)
		case !r.step.Lasting && now.Sub(r.startedAt) >= r.step.Duration:
			w.end(r, "done", now)
		}
	}
}

func (w *worker) end(r *run, outcome string, now time.Time) {
	delete(w.runs, r.task)
	if outcome == "lapsed" && r.step.MayMiss > 0 && r.percent(now) == 100 {
		w.fleet.checkAvail(r, now)
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ending{w.lastEnd, r.task, r.number, outcome})
	r.job.running--
	r.job.lastRunAt = now
	if outcome == "done" && !r.job.done[r.task] {
		r.job.done[r.task] = true
		r.job.doneCount[r.stepName]++
	}
	w.fleet.rec.logf("end %s run %d on %s: %s", r.task, r.number, w.id, outcome)
	close(w.fleet.changed)
	w.fleet.changed = make(chan struct{})
}

// checkAvail checks AVAIL for a run whose lease has lapsed while it was at work; the caller makes
// sure that no disruption is near.
func (f *fleet) checkAvail(r *run, now time.Time) {
	atWork := 0
	for _, w := range f.workers {
		for _, o := range w.runs {
			if o.job == r.job && o.stepName == r.stepName && o.percent(now) == 100 {
				atWork++
			}
		}
	}
	if away := r.step.Count - 1 - atWork; away >= r.step.MayMiss {
		f.breakRule("AVAIL", "the lease of %s lapses on %s while the task is at work and %d others of its step are away, MayMiss is %d", r.task, r.worker.id, away, r.step.MayMiss)
	}
}

// used returns what runs on a worker.
func (w *worker) used() int64 {
	var sum int64
	for _, r := range w.runs {
		sum += r.step.MilliCPU
	}
	return sum
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
}

// handler speaks the platform's protocol for workers.
func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serve(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /v1/pace", w.serve(func(order, time.Time) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /v1/hold", w.serve(w.hold))
	return mux
}

func (w *worker) serve(carryOut func(order, time.Time) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		body, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(body, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Gypsumwinch-Expected-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		f := w.fleet
		f.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if o.FencingToken >= w.token {
			w.token = o.FencingToken
			w.tick(time.Now())
			status, reason = carryOut(o, time.Now())
		}
		f.mu.Unlock()
		isList := status == http.StatusOK && r.URL.Path == "/v1/hold"
		if isList {
			w.awaitEnd(r, time.Duration(o.WaitMs)*time.Millisecond)
		}
		f.mu.Lock()
		answer := w.answer(reason, isList)
		f.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(answer)
	}
}

func (w *worker) awaitEnd(r *http.Request, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.fleet.mu.Lock()
		n, changed := len(w.ends), w.fleet.changed
		w.fleet.mu.Unlock()
		if n > 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (w *worker) answer(reason string, isList bool) map[string]any {
	now := time.Now()
	a := map[string]any{"ClockMs": w.clock(now).Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		a["Reason"] = reason
	}
	if !isList {
		return a
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(now), r.step.MilliCPU})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	a["Running"], a["Finished"] = running, finished
	return a
}

func (r *run) percent(now time.Time) int {
	if r.step.Lasting {
		return min(100, int(100*now.Sub(r.startedAt)/startupTime))
	}
	return min(100, int(100*now.Sub(r.startedAt)/max(r.step.Duration, 1)))
}

func (w *worker) extendLease(deadlineMS int64, now time.Time) {
	w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock(now)+maxLease))
}

// parseTask returns the job and the step of a task, and the name of the step.
func (f *fleet) parseTask(task string) (*jobInfo, *stepInfo, string) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil, ""
	}
	j := f.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || step >= len(j.Steps) {
		return nil, nil, ""
	}
	return j, &j.Steps[step], parts[1] + "." + parts[2]
}

func (w *worker) start(o order, now time.Time) (int, string) {
	f := w.fleet
	j, s, name := f.parseTask(o.Task)
	if j == nil || j.Spec != o.Spec {
		f.breakRule("UNASKED", "%s is told to start %s, which no client has sent so", w.id, o.Task)
		return http.StatusBadRequest, ""
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock(now) {
		return http.StatusConflict, "late"
	}
	w.extendLease(o.DeadlineMs, now)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	if w.used()+s.MilliCPU > w.milliCPU {
		f.breakRule("LIMIT", "the start of %s brings %s over its capacity", o.Task, w.id)
	}
	for _, other := range f.workers {
		if other.runs[o.Task] != nil {
			f.breakRule("TWICE", "%s runs on %s and %s", o.Task, other.id, w.id)
		}
	}
	if j.done[o.Task] {
		f.breakRule("TWICE", "%s starts on %s after it has ended done", o.Task, w.id)
	}
	w.runs[o.Task] = &run{task: o.Task, number: o.Run, job: j, step: s, stepName: name, worker: w, startedAt: now}
	j.running++
	f.rec.logf("start %s run %d on %s", o.Task, o.Run, w.id)
	return http.StatusOK, ""
}

func (w *worker) stop(o order, now time.Time) (int, string) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		if r.stopsAt.IsZero() {
			r.stopsAt = now.Add(stopTime)
		}
		return http.StatusOK, ""
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

func (w *worker) hold(o order, now time.Time) (int, string) {
	if o.DeadlineMs > 0 {
		w.extendLease(o.DeadlineMs, now)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
		w.ends = w.ends[1:]
	}
	return http.StatusOK, ""
}

func (f *fleet) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.rec.logf("BROKEN %s", text)
}
