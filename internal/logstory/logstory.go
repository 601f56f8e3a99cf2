// Package logstory analyses the logs that the VMs of a cell have written: Story
// lists the events of one job in order of time, Summarize counts the outcomes of
// jobs by queue. It serves an operator's commands on collected log files; it
// neither writes logs nor takes part in scheduling. Read Line first.
package logstory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Log messages of packages cell/node and cell/owner about the acceptance and the
// end of a job. The strings must be equal to those that these packages log.
const (
	messageAccepted  = "job is accepted"
	messageRefused   = "job is not accepted"
	messageCompleted = "job is completed"
	messageGivenUp   = "job is given up"
	messageCancelled = "job is cancelled"
)

// maxLineBytes bounds the length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one log line that the daemon of a VM wrote as JSON.
type Line struct {
	At      time.Time
	VM      string
	Level   string
	Message string
	// ID is the id of the job, step, task or worker that the line is about.
	ID string
	// Details holds the remaining fields of the line.
	Details map[string]any
}

// Read parses the log lines of r. It skips lines that the daemon did not write
// and returns their number as skipped. A line longer than maxLineBytes is an
// error; the lines before it are returned.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrap(scanner.Err(), "read log lines")
}

// parse parses one line of text for Read and reports whether the daemon wrote
// it. Text before the first brace is ignored, since log collectors put a prefix
// before the JSON.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	removeString := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	line := Line{Level: removeString("@level"), Message: removeString("@message"), VM: removeString("@module"), ID: removeString("id")}
	at, err := time.Parse(time.RFC3339Nano, removeString("@timestamp"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.At = at
	line.Details = fields
	return line, true
}

// Job returns the part of the ID before the first dot, which is the id of the
// job if the line is about a job, a step or a task. It is "" if the line has no
// ID.
func (l *Line) Job() string {
	job, _, _ := strings.Cut(l.ID, ".")
	return job
}

// Text returns the details as name=value pairs, sorted by name and separated by
// spaces.
func (l *Line) Text() string {
	names := make([]string, 0, len(l.Details))
	for name := range l.Details {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Details[name])
	}
	return strings.TrimSpace(b.String())
}

// Story returns the lines about a job in order of time, together with the lines
// about the ownership of the cell that lie between the job's first and last line.
// For an unknown job it returns none. Each text in gaps says which event of the
// job is not in the logs, and which VM's log may be missing.
func Story(lines []Line, job string) (story []Line, gaps []string) {
	var first, last time.Time
	seenMessages := map[string]bool{}
	for _, l := range lines {
		if l.Job() != job {
			continue
		}
		seenMessages[l.Message] = true
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	if first.IsZero() {
		return nil, nil
	}
	for _, l := range lines {
		isAboutJob := l.Job() == job
		isOwnershipEvent := isOwnershipMessage(l.Message) && !l.At.Before(first) && !l.At.After(last)
		if isAboutJob || isOwnershipEvent {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, k int) bool { return story[i].At.Before(story[k].At) })
	if !seenMessages[messageAccepted] {
		gaps = append(gaps, "no line tells of its acceptance: the log of the VM that took it is missing")
	}
	if !seenMessages[messageCompleted] && !seenMessages[messageGivenUp] && !seenMessages[messageCancelled] {
		gaps = append(gaps, "no line tells of its end: it has not ended, or the log of an owner is missing")
	}
	return story, gaps
}

// isOwnershipMessage reports whether a log message records a change of the
// cell's owner. The strings must be equal to those that packages cell/node and
// cell/election log.
func isOwnershipMessage(message string) bool {
	switch message {
	case "owning the cell", "ownership has ended", "claimed the cell":
		return true
	default:
		return false
	}
}

// Summary counts the outcomes of the jobs of one queue.
type Summary struct {
	Queue     string `json:"queue"`
	Accepted  int    `json:"accepted"`
	NotRun    int    `json:"not_run"`
	Unknown   int    `json:"unknown"`
	Completed int    `json:"completed"`
	GivenUp   int    `json:"given_up"`
	Cancelled int    `json:"cancelled"`
	// P50 and P99 are quantiles of the time from acceptance to completion. JSON
	// holds them in nanoseconds.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// Causes counts, by the values of delayCauses, the events that delay jobs:
	// failed, stuck, refused and lost runs, for example.
	Causes map[string]int `json:"causes"`
}

// delayCauses maps log messages of package cell/owner to the names under which
// Summary.Causes counts them. The messages must be equal to those logged.
var delayCauses = map[string]string{
	"run failed":               "failed",
	"run is stuck":             "stuck",
	"start is refused":         "refused",
	"run ended early":          "ended early",
	"run is not on its worker": "lost",
	"no advice":                "no advice",
}

// Summarize returns one summary for each queue, sorted by name. A job is counted
// only if at least one of the lines names its queue; which line does not matter.
func Summarize(lines []Line) []Summary {
	queueOf := map[string]string{}
	for _, l := range lines {
		if q, ok := l.Details["queue"].(string); ok {
			queueOf[l.Job()] = q
		}
	}
	byQueue := map[string]*Summary{}
	times := map[string][]time.Duration{}
	for _, l := range lines {
		q, ok := queueOf[l.Job()]
		if !ok {
			continue
		}
		s := byQueue[q]
		if s == nil {
			s = &Summary{Queue: q, Causes: map[string]int{}}
			byQueue[q] = s
		}
		if duration, isCompletion := s.count(l); isCompletion {
			times[q] = append(times[q], duration)
		}
	}
	var out []Summary
	for q, s := range byQueue {
		s.P50, s.P99 = quantile(times[q], 0.5), quantile(times[q], 0.99)
		out = append(out, *s)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Queue < out[k].Queue })
	return out
}

// count adds one line to the summary. If the line records the completion of a
// job, it returns the time since the job's acceptance and true.
func (s *Summary) count(l Line) (duration time.Duration, isCompletion bool) {
	if cause, ok := delayCauses[l.Message]; ok {
		s.Causes[cause]++
	}
	switch l.Message {
	case messageAccepted:
		s.Accepted++
	case messageRefused:
		if l.Details["outcome"] == "not_run" {
			s.NotRun++
		} else {
			s.Unknown++
		}
	case messageCompleted:
		s.Completed++
		ms, _ := l.Details["after_ms"].(float64)
		return time.Duration(ms) * time.Millisecond, true
	case messageGivenUp:
		s.GivenUp++
	case messageCancelled:
		s.Cancelled++
	}
	return 0, false
}

// quantile returns the q-quantile of times, or 0 if there are none. It sorts
// times in place.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, k int) bool { return times[i] < times[k] })
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
