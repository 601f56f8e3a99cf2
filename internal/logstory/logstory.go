// Package logstory reads the log lines of the VMs of a cell and tells the story
// of a job, or how jobs fared in all.
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

// Messages that the daemon writes and the summary counts.
const (
	messageAccepted  = "job is accepted"
	messageRefused   = "job is not accepted"
	messageCompleted = "job is completed"
	messageGivenUp   = "job is given up"
	messageCancelled = "job is cancelled"
)

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Line is one line of a VM's log.
type Line struct {
	At      time.Time
	VM      string
	Level   string
	Message string
	// ID is the job, step, task or worker that the line is about.
	ID      string
	Details map[string]any
}

// Read reads lines; those that are not the daemon's are counted and passed over.
func Read(r io.Reader) (lines []Line, foreign int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			foreign++
			continue
		}
		lines = append(lines, line)
	}
	return lines, foreign, eris.Wrap(scanner.Err(), "read log lines")
}

// parse parses a line. Collectors put their own words before the JSON.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	take := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	line := Line{Level: take("@level"), Message: take("@message"), VM: take("@module"), ID: take("id")}
	at, err := time.Parse(time.RFC3339Nano, take("@timestamp"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.At = at
	line.Details = fields
	return line, true
}

// Job returns the job that a line is about, or "".
func (l *Line) Job() string {
	job, _, _ := strings.Cut(l.ID, ".")
	return job
}

// Text returns the line's details in a fixed order.
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

// Story returns the lines about a job in order of time, with the lines about
// ownership between them, and what the lines lack.
func Story(lines []Line, job string) (story []Line, gaps []string) {
	var first, last time.Time
	seen := map[string]bool{}
	for _, l := range lines {
		if l.Job() != job {
			continue
		}
		seen[l.Message] = true
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
		about := l.Job() == job
		ownership := aboutOwnership(l.Message) && !l.At.Before(first) && !l.At.After(last)
		if about || ownership {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, k int) bool { return story[i].At.Before(story[k].At) })
	if !seen[messageAccepted] {
		gaps = append(gaps, "no line tells of its acceptance: the log of the VM that took it is missing")
	}
	if !seen[messageCompleted] && !seen[messageGivenUp] && !seen[messageCancelled] {
		gaps = append(gaps, "no line tells of its end: it has not ended, or the log of an owner is missing")
	}
	return story, gaps
}

// aboutOwnership reports whether a message tells who owns the cell.
func aboutOwnership(message string) bool {
	switch message {
	case "owning the cell", "ownership has ended", "claimed the cell":
		return true
	default:
		return false
	}
}

// Summary is how jobs fared, by queue.
type Summary struct {
	Queue     string `json:"queue"`
	Accepted  int    `json:"accepted"`
	NotRun    int    `json:"not_run"`
	Unknown   int    `json:"unknown"`
	Completed int    `json:"completed"`
	GivenUp   int    `json:"given_up"`
	Cancelled int    `json:"cancelled"`
	// P50 and P99 are times from acceptance to completion.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// Causes counts lines that cost time: failed, stuck, refused and lost runs.
	Causes map[string]int `json:"causes"`
}

// causes are the messages that the summary counts as causes of delay.
var causes = map[string]string{
	"run failed":               "failed",
	"run is stuck":             "stuck",
	"start is refused":         "refused",
	"run ended early":          "ended early",
	"run is not on its worker": "lost",
	"no advice":                "no advice",
}

// Summarize counts by queue.
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
		if took, ended := s.count(l); ended {
			times[q] = append(times[q], took)
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

// count counts one line; ended is true for a completion, with its time.
func (s *Summary) count(l Line) (took time.Duration, ended bool) {
	if cause, ok := causes[l.Message]; ok {
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

// quantile returns a quantile of times, 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, k int) bool { return times[i] < times[k] })
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
