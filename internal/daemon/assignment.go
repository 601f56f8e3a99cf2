package daemon

import (
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// maxAssignmentDelay is how long a home record may take from the check of its id to
	// the log, including the differences between clocks.
	maxAssignmentDelay = time.Minute
	// assignmentTTL is how long homes are remembered, to find jobs. It is longer
	// than the dedupe window, which decides.
	assignmentTTL = 24 * time.Hour
	// maxAssignments bounds the homes in memory. At 7,800 jobs a day it is not reached.
	maxAssignments = 100_000
)

// jobAssignments is the fold of the home records: the home data centre by job. A record
// counts if it is the first of its job and comes within the dedupe window, so
// that a job whose home was forgotten is not accepted again.
type jobAssignments struct {
	byJob map[string]string
	order []string
}

func newJobAssignments() jobAssignments {
	return jobAssignments{byJob: map[string]string{}}
}

func (h *jobAssignments) get(job string) (string, bool) {
	assigned, ok := h.byJob[job]
	return assigned, ok
}

// apply folds a record that the log stored at the given time, and returns the
// home of the job, or "" if the record came too late.
func (h *jobAssignments) apply(at time.Time, r *records.JobAssignment) string {
	if assigned, ok := h.byJob[r.Job]; ok {
		return assigned
	}
	if isTooOld(r.Job, at.Add(-maxAssignmentDelay)) {
		return ""
	}
	h.byJob[r.Job] = r.DataCentre
	h.order = append(h.order, r.Job)
	h.prune(at)
	return r.DataCentre
}

func (h *jobAssignments) prune(at time.Time) {
	for len(h.order) > 0 {
		oldest := h.order[0]
		if len(h.order) <= maxAssignments && at.Sub(createdAt(oldest)) <= assignmentTTL {
			return
		}
		h.order = h.order[1:]
		delete(h.byJob, oldest)
	}
}

// isTooOld reports whether an id lies before the dedupe window.
func isTooOld(id string, now time.Time) bool {
	return now.Sub(createdAt(id)) > dedupeWindow
}

// createdAt returns the time in a ULID, the zero time for any other id.
func createdAt(id string) time.Time {
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}
	}
	return ulid.Time(parsed.Time())
}

// chooseDataCentre chooses the data centre that schedules a job: this one if its workers
// could ever hold the job, else the first other one that could. A job that fits
// nowhere stays here and is told why.
func (c *control) chooseDataCentre(job *structs.Job) string {
	workers := map[string][]structs.Resources{}
	for _, vm := range c.vms {
		if vm.Kind == structs.VMWorker && vm.State == structs.VMLive {
			workers[vm.DataCentre] = append(workers[vm.DataCentre], vm.Capacity)
		}
	}
	own := c.d.settings.DataCentre
	if couldHold(workers[own], job) {
		return own
	}
	others := make([]string, 0, len(workers))
	for dataCentre := range workers {
		others = append(others, dataCentre)
	}
	slices.Sort(others)
	for _, dataCentre := range others {
		if couldHold(workers[dataCentre], job) {
			return dataCentre
		}
	}
	return own
}

// couldHold reports whether empty workers could run every task of a job, and
// hold each all-at-once group as a whole.
func couldHold(workers []structs.Resources, job *structs.Job) bool {
	for _, group := range job.Groups {
		places := int64(0)
		for _, capacity := range workers {
			places += fitCount(group.Resources, capacity)
		}
		if places == 0 || group.Gang && places < int64(group.Count) {
			return false
		}
	}
	return true
}

// fitCount returns how often a size fitCount into a capacity.
func fitCount(size, capacity structs.Resources) int64 {
	const unlimited = 1 << 30
	n := int64(unlimited)
	for _, d := range [][2]int64{
		{size.MilliCPU, capacity.MilliCPU},
		{size.MemoryMB, capacity.MemoryMB},
		{size.Accelerators, capacity.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return n
}
