package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/caller"
)

// maxWaitMS is the upper bound of the histograms. Longer times are recorded as
// maxWaitMS.
const maxWaitMS = 3_600_000

// classResults holds the counts of one request class and the histograms, in
// milliseconds, of its completed requests.
type classResults struct {
	sent, completed, notRun, unknown, missing, wrong, retries int
	wait, total                                               *hdrhistogram.Histogram
}

// jobResults holds the counts of the jobs of one class. tasks counts the tasks
// submitted, succeeded those that succeeded in finished jobs.
type jobResults struct {
	submitted, accepted, finished, tasks, succeeded int
}

// results collects the outcomes of the requests and jobs of one trace. Its
// methods are safe for concurrent use, except addProblem.
type results struct {
	mu       sync.Mutex
	requests []caller.Sent
	classes  map[string]*classResults
	jobs     map[string]*jobResults
	problems []string
}

func newResults() *results {
	return &results{classes: make(map[string]*classResults), jobs: make(map[string]*jobResults)}
}

// addProblem records a problem. The caller must hold r.mu.
func (r *results) addProblem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// addRequest counts a request by its final answer. A wrong or missing answer is
// recorded as a problem. sendRequest calls it once for each request.
func (r *results) addRequest(s caller.Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, s)
	c := r.classes[s.Class]
	if c == nil {
		c = &classResults{wait: hdrhistogram.New(1, maxWaitMS, 3), total: hdrhistogram.New(1, maxWaitMS, 3)}
		r.classes[s.Class] = c
	}
	c.sent++
	c.retries += max(s.Told.Sends-1, 0)
	if s.Wrong != "" {
		c.wrong++
		r.addProblem("%s", s.Wrong)
		return
	}
	if s.Told.Answer == nil {
		c.missing++
		r.addProblem("request %s (%s) got no answer in %d sends: %v", s.ID, s.Class, s.Told.Sends, s.Told.Input)
		return
	}
	switch s.Told.Answer.Status {
	case structs.StatusCompleted:
		c.completed++
		recordMS(c.total, s.Told.Total.Milliseconds())
		if s.Told.Wait >= 0 {
			recordMS(c.wait, s.Told.Wait.Milliseconds())
		}
	case structs.StatusNotRun:
		c.notRun++
	default:
		c.unknown++
	}
}

// recordMS records a time in milliseconds, at most maxWaitMS.
func recordMS(h *hdrhistogram.Histogram, ms int64) {
	_ = h.RecordValue(min(ms, maxWaitMS)) // cannot fail: the value is in range
}

// print writes a table of the request classes and one of the jobs, if any. The
// send command calls it at the end of the trace.
func (r *results) print(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tcompleted\tnot run\tunknown\tmissing\twrong\tretries\twait p50\twait p99\ttotal p50\ttotal p99\t")
	for _, name := range sortedKeys(r.classes) {
		c := r.classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\t%d ms\t%d ms\t%d ms\t\n", name,
			c.sent, c.completed, c.notRun, c.unknown, c.missing, c.wrong, c.retries,
			c.wait.ValueAtQuantile(50), c.wait.ValueAtQuantile(99),
			c.total.ValueAtQuantile(50), c.total.ValueAtQuantile(99))
	}
	if len(r.jobs) > 0 {
		fmt.Fprintln(w, "jobs of class\tsubmitted\taccepted\tfinished\ttasks\tsucceeded\t")
	}
	for _, name := range sortedKeys(r.jobs) {
		j := r.jobs[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", name, j.submitted, j.accepted, j.finished, j.tasks, j.succeeded)
	}
	w.Flush()
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
