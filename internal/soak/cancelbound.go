package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/standin/fleet"
)

const (
	// cancelBound is cancel_ms of the platform: after the acknowledgement of a cancellation no
	// task of the job starts later than this.
	cancelBound = 3 * time.Second
	// contactBound is ContactMs of the platform: time-bound rules hold once there has been no
	// fault for this long.
	contactBound = 3 * time.Second
	// stopBound is how long after the acknowledgement a run of a cancelled job may go on.
	stopBound = cancelBound + fleet.StopTimeout
)

// cancellation is a cancellation that was acknowledged.
type cancellation struct {
	job            string
	acceptedAt     time.Time
	acknowledgedAt time.Time
	vm             string
	status         int
}

// span is the time of one fault.
type span struct {
	begin, end time.Time
	kind       Kind
}

// isCalm reports whether no fault was in force from contactBound before a time until another.
func isCalm(faults []span, from, to time.Time) bool {
	from = from.Add(-contactBound)
	for _, f := range faults {
		if f.begin.Before(to) && f.end.After(from) {
			return false
		}
	}
	return true
}

// calmStretch returns the begin of the first stretch of stopBound, not before a time, that was
// calm.
func calmStretch(faults []span, from, now time.Time) (begin time.Time, ok bool) {
	begins := []time.Time{from}
	for _, f := range faults {
		begins = append(begins, f.end.Add(contactBound))
	}
	for _, b := range begins {
		end := b.Add(stopBound)
		if !b.Before(from) && end.Before(now) && (!ok || b.Before(begin)) && isCalm(faults, b, end) {
			begin, ok = b, true
		}
	}
	return begin, ok
}

// runBound is what the bound of cancellations says of one run of a cancelled job.
type runBound struct {
	// applies is true if the run was active in a calm stretch after the acknowledgement.
	applies bool
	// startsTooLate is true if it started later than cancelBound after the acknowledgement.
	startsTooLate bool
	// runsOn is true if it was active at the end of the calm stretch, which began at calmFrom.
	runsOn   bool
	calmFrom time.Time
	// wentOn is how long it was active in the calm stretch and after it.
	wentOn time.Duration
}

// judgeRun applies the bound to a run. A start that its worker carried out late was ordered
// before; its end is due stopBound after contactBound after it.
func judgeRun(r fleet.Run, acknowledgedAt time.Time, faults []span, now time.Time) runBound {
	from, end := acknowledgedAt, r.EndedAt
	if end.IsZero() {
		end = now
	}
	if noticedAt := r.StartedAt.Add(contactBound); r.IsLate && noticedAt.After(from) {
		from = noticedAt
	}
	var b runBound
	b.startsTooLate = !r.IsLate && r.StartedAt.After(acknowledgedAt.Add(cancelBound)) && isCalm(faults, r.StartedAt, r.StartedAt)
	calmFrom, ok := calmStretch(faults, from, now)
	dueAt := calmFrom.Add(stopBound)
	b.calmFrom = calmFrom
	b.applies = ok && end.After(calmFrom) && r.StartedAt.Before(dueAt)
	b.runsOn = b.applies && end.After(dueAt)
	if b.applies {
		b.wentOn = end.Sub(calmFrom)
	}
	return b
}

// judgeCancellations reports the first run of each cancelled job that broke the bound, and returns
// the number of runs to which it applied and how long one of them went on at most. Its verdict
// depends on the time that the machine takes.
func (c *cluster) judgeCancellations(cancellations []cancellation) (judged int, longest time.Duration) {
	now := time.Now()
	second := func(t time.Time) float64 { return t.Sub(c.startedAt).Seconds() }
	for _, x := range cancellations {
		isReported := false
		for _, r := range c.fleet.Runs(x.job) {
			b := judgeRun(r, x.acknowledgedAt, c.faultSpans, now)
			if b.applies {
				judged++
			}
			longest = max(longest, b.wentOn)
			if isReported {
				continue
			}
			isReported = b.startsTooLate || b.runsOn
			end := r.EndedAt
			if end.IsZero() {
				end = now
			}
			const times = "job %s accepted at %.3f, cancellation acknowledged by %s at %.3f (status %d)"
			if b.startsTooLate {
				c.reportAt(r.StartedAt, "UNASKED", "run %d of %s starts on %s %v after the acknowledgement; "+times,
					r.Number, r.Task, r.Worker, r.StartedAt.Sub(x.acknowledgedAt).Round(time.Millisecond), x.job, second(x.acceptedAt), x.vm, second(x.acknowledgedAt), x.status)
			}
			if b.runsOn {
				c.reportAt(b.calmFrom.Add(stopBound), "UNASKED", "run %d of %s, started at %.3f (late: %t), runs on on %s until %.3f; calm from %.3f; "+times,
					r.Number, r.Task, second(r.StartedAt), r.IsLate, r.Worker, second(end), second(b.calmFrom), x.job, second(x.acceptedAt), x.vm, second(x.acknowledgedAt), x.status)
			}
		}
	}
	return judged, longest
}

// writeCancellations writes the faults, the acknowledged cancellations and the runs of their jobs
// to cancellations.txt in the directory of the run, with the seconds of the run.
func (c *cluster) writeCancellations(cancellations []cancellation) error {
	second := func(t time.Time) float64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(c.startedAt).Seconds()
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "start %s\n", c.startedAt.UTC().Format(time.RFC3339Nano))
	for _, f := range c.faultSpans {
		fmt.Fprintf(&out, "fault %s %.3f %.3f\n", f.kind, second(f.begin), second(f.end))
	}
	for _, x := range cancellations {
		fmt.Fprintf(&out, "cancellation %s accepted %.3f acknowledged %.3f by %s status %d\n", x.job, second(x.acceptedAt), second(x.acknowledgedAt), x.vm, x.status)
		for _, r := range c.fleet.Runs(x.job) {
			fmt.Fprintf(&out, "run %s %d on %s from %.3f to %.3f late %t\n", r.Task, r.Number, r.Worker, second(r.StartedAt), second(r.EndedAt), r.IsLate)
		}
	}
	return eris.Wrap(os.WriteFile(filepath.Join(c.dir, "cancellations.txt"), out.Bytes(), 0o644), "write cancellations")
}
