package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// Guards against a job that waits forever in a data centre without the
// accelerators that it needs, while another data centre has them.
func TestFitsOnWorkers(t *testing.T) {
	plain := structs.Resources{MilliCPU: 32000, MemoryMB: 64 << 10}
	accelerated := structs.Resources{MilliCPU: 32000, MemoryMB: 64 << 10, Accelerators: 8}
	task := func(count int, gang bool, accelerators int64) structs.TaskGroup {
		return structs.TaskGroup{
			Count: count, Gang: gang,
			Resources: structs.Resources{MilliCPU: 4000, MemoryMB: 1024, Accelerators: accelerators},
		}
	}
	for _, c := range []struct {
		name    string
		workers []structs.Resources
		group   structs.TaskGroup
		want    bool
	}{
		{"no workers", nil, task(1, false, 0), false},
		{"fits", []structs.Resources{plain}, task(1, false, 0), true},
		{"more tasks than places, one by one", []structs.Resources{plain}, task(100, false, 0), true},
		{"gang that fits", []structs.Resources{plain, plain}, task(16, true, 0), true},
		{"gang that never fits", []structs.Resources{plain, plain}, task(17, true, 0), false},
		{"no accelerators", []structs.Resources{plain}, task(1, false, 1), false},
		{"accelerators", []structs.Resources{plain, accelerated}, task(8, true, 1), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fitsOnWorkers(c.workers, &structs.Job{Groups: []structs.TaskGroup{c.group}}), c.want)
		})
	}
}

// Guards against a job that is accepted in two data centres, because its caller
// submitted it through two VMs or because it was submitted again after its
// assignment was dropped from memory.
func TestFirstAssignmentRecordCounts(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	id := ulid.MustNew(ulid.Timestamp(now), nil).String()
	h := newJobAssignments()
	is.Equal(h.apply(now, &records.JobAssignment{Job: id, DataCentre: "krk-a"}), "krk-a")
	is.Equal(h.apply(now, &records.JobAssignment{Job: id, DataCentre: "krk-b"}), "krk-a")

	late := now.Add(dedupeWindow + maxAssignmentDelay + time.Second)
	fresh := newJobAssignments()
	is.Equal(fresh.apply(late, &records.JobAssignment{Job: id, DataCentre: "krk-b"}), "")
	_, known := fresh.get(id)
	is.True(!known)

	h.prune(now.Add(assignmentTTL + time.Second))
	is.Equal(len(h.byJob), 0)
	is.Equal(len(h.order), 0)
}
