package requests

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// The targets of the design page, section 1.3.
const (
	startShareTarget   = 0.999
	headOfLineTarget   = 1.5
	decisionTarget     = time.Millisecond
	decisionRateTarget = 10000.0
)

// Report collects the rows of the comparison.
type Report struct {
	rows []Row
}

// Add adds a row.
func (r *Report) Add(row Row) { r.rows = append(r.rows, row) }

// Print writes the table and the verdict on each target.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintln(out, "Waits to start are p50/p99/p99.9 in ms. Classes: short (hotline-lookup, label-check),")
	fmt.Fprintln(out, "once (part-matching, lot-tracing; non-idempotent), long (vibration-analysis, report-build).")
	fmt.Fprintln(out, "Decisions/s counts sends per second of time spent on requests; control is the share of a")
	fmt.Fprintln(out, "core that ticks and slot changes take per entry VM.")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "trace\tpolicy\twait short\twait once\twait long\t"+
		"within target short\tin peak\tonce\tlong\tHoL ratio\tnot run\tunknown\tretried\tdecisions/s\tp99 decision\tcontrol")
	for _, row := range r.rows {
		row.print(w)
	}
	w.Flush()
	for _, row := range r.rows {
		if row.Policy.HasTargets {
			row.printVerdicts(out)
		}
	}
}

// print writes one line of the table.
func (row Row) print(w io.Writer) {
	m := row.mixed
	fmt.Fprintf(w, "%s\t%s", row.Trace.Name, row.Policy.Name)
	for _, c := range m.classes {
		fmt.Fprintf(w, "\t%s", waits(c))
	}
	short := m.classes[0]
	fmt.Fprintf(w, "\t%s\t%s", percent(short.startedInTime, short.arrived), percent(short.startedInTimeInPeak, short.arrivedInPeak))
	notRun, unknown := 0, 0
	for i, c := range m.classes {
		if i > 0 {
			fmt.Fprintf(w, "\t%s", percent(c.startedInTime, c.arrived))
		}
		notRun += c.notRun
		unknown += c.unknown
	}
	fmt.Fprintf(w, "\t%.2f\t%d\t%d\t%d\t%.0f\t%v\t%.3f%%\n",
		row.HeadOfLine, notRun, unknown, m.repeatedStarts, m.decisionRate(), m.decisionP99(), 100*m.controlShare())
}

// waits formats the p50, p99 and p99.9 waits of a class in milliseconds.
func waits(c *classResults) string {
	ms := func(q float64) string {
		v := float64(c.wait.ValueAtQuantile(q)) / 1000
		if v < 100 {
			return fmt.Sprintf("%.3g", v)
		}
		return fmt.Sprintf("%.0f", v)
	}
	return ms(50) + "/" + ms(99) + "/" + ms(99.9)
}

// percent formats n/of as a percentage, or "-" if of is zero.
func percent(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of))
}

// controlShare is the share of a core that ticks and slot changes take on one VM.
func (r *results) controlShare() float64 {
	vms := 0
	for _, c := range r.trace.Centres {
		vms += len(c.VMs)
	}
	return r.controlTime.Seconds() / r.duration.Seconds() / float64(vms)
}

// decisionRate is the number of sends per second on one core, with the time of all
// events about requests, also those that lead to no send.
func (r *results) decisionRate() float64 {
	return float64(r.sends) / r.decisionTime.Seconds()
}

func (r *results) decisionP99() time.Duration {
	return time.Duration(r.decisions.ValueAtQuantile(99))
}

// printVerdicts writes for each target whether the row meets it. Print calls it for
// policies with HasTargets.
func (row Row) printVerdicts(out io.Writer) {
	m := row.mixed
	short := m.classes[0]
	name := row.Trace.Work[0].Class.Name
	fmt.Fprintf(out, "\n%s, %s:\n", row.Trace.Name, row.Policy.Name)
	verdict := func(ok bool, format string, args ...any) {
		word := "missed"
		if ok {
			word = "met"
		}
		fmt.Fprintf(out, "  %-6s  %s\n", word, fmt.Sprintf(format, args...))
	}
	share := float64(short.startedInTimeInPeak) / float64(short.arrivedInPeak)
	verdict(share >= startShareTarget, "%s within start target throughout the peak: %.3f%% (>= 99.9%%)", name, 100*share)
	for i, c := range m.classes[1:] {
		lost := c.arrived - c.completed
		verdict(lost == 0, "%s loses no work: %d of %d lost", row.Trace.Work[i+1].Class.Name, lost, c.arrived)
	}
	verdict(row.HeadOfLine <= headOfLineTarget, "head-of-line ratio of %s: %.2f (<= 1.5)", name, row.HeadOfLine)
	verdict(m.decisionP99() <= decisionTarget, "p99 of one decision: %v (<= 1 ms)", m.decisionP99())
	verdict(m.decisionRate() >= decisionRateTarget, "decisions per second on one core: %.0f (>= 10000)", m.decisionRate())
}
