package daemon

import (
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// maxAssignmentDelay is how long an assignment record may take from the
	// check of its job's id to the log, including clock differences.
	maxAssignmentDelay = time.Minute
	// assignmentTTL is how long assignments are retained to find jobs. It
	// exceeds the dedupe window, which decides whether a job may be accepted.
	assignmentTTL = 24 * time.Hour
	// maxAssignments bounds the assignments in memory. At 7,800 jobs a day it
	// is not reached.
	maxAssignments = 100_000
)

// jobAssignments holds the assigned data centre of each job, as derived from
// the assignment records. A record counts if it is the first of its job and was
// stored within the dedupe window of the job's id, so that a job whose
// assignment was dropped from memory is not accepted again.
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

// apply applies a record that the log stored at the given time. It returns the
// job's assigned data centre, or "" if the record was stored too late. The
// control loop calls it for each assignment record that it reads from stream
// "requests".
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

// prune drops the oldest assignments while there are more than maxAssignments
// or they are older than assignmentTTL. apply calls it after each new
// assignment; at is the time at which the log stored that record.
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

// isTooOld reports whether an id was created before the dedupe window.
func isTooOld(id string, now time.Time) bool {
	return now.Sub(createdAt(id)) > dedupeWindow
}

// createdAt returns the time in a ULID, or the zero time for any other id. It
// is used by isTooOld when a job is submitted, and when an assignment record is
// applied.
func createdAt(id string) time.Time {
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}
	}
	return ulid.Time(parsed.Time())
}

// chooseDataCentre returns the data centre that schedules a job: this one if
// its workers could ever hold the job, else the first other one, by name, that
// could. A job that fits nowhere stays in this data centre, whose scheduler
// explains why it waits. The control loop calls it for the submission of a job
// that has no assignment yet.
func (c *control) chooseDataCentre(job *structs.Job) string {
	workers := map[string][]structs.Resources{}
	for _, vm := range c.vms {
		if vm.Kind == structs.VMWorker && vm.State == structs.VMLive {
			workers[vm.DataCentre] = append(workers[vm.DataCentre], vm.Capacity)
		}
	}
	own := c.d.settings.DataCentre
	if fitsOnWorkers(workers[own], job) {
		return own
	}
	others := make([]string, 0, len(workers))
	for dataCentre := range workers {
		others = append(others, dataCentre)
	}
	slices.Sort(others)
	for _, dataCentre := range others {
		if fitsOnWorkers(workers[dataCentre], job) {
			return dataCentre
		}
	}
	return own
}

// fitsOnWorkers reports whether the workers, if empty, could run every task of
// a job and hold each gang as a whole. chooseDataCentre calls it for each data
// centre until one fits.
func fitsOnWorkers(workers []structs.Resources, job *structs.Job) bool {
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

// fitCount returns how many times a size fits into a capacity. A size without
// any requirement fits 1<<30 times. fitsOnWorkers calls it for each task group
// and worker.
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
