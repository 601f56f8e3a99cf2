package node

import (
	"errors"
	"io"
	"testing"
	"unsafe"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// longChain returns a legal job of 180 KB: each step names all earlier ones.
func longChain(id cell.JobID) *cell.Job {
	job := &cell.Job{ID: id, Queue: cell.Queue{Name: "q", Service: "s"}}
	for i := range 320 {
		step := cell.Step{Count: 1}
		for d := range i {
			step.DependsOn = append(step.DependsOn, uint16(d))
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

func encoded(t *testing.T, job *cell.Job) cell.Record {
	t.Helper()
	value, err := cell.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	return cell.Record{Job: job.ID, Kind: cell.RecordJob, Value: value}
}

// TestAcceptedJobsFitInMemory guards against owners that are killed one after the other for their memory: nothing weighed accepted
// jobs against it, and a decoded one took three times as much as its record (review/15).
func TestAcceptedJobsFitInMemory(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1, MemoryMB: 9}, Ports{Store: store}, io.Discard)
	go n.committer.run(t.Context())
	n.jobsReader.isLoaded.Store(true)
	n.progressReader.isLoaded.Store(true)
	ids := "abcdefghijklmnopqrstuvwxyz"
	accepted := 0
	for _, c := range ids {
		err := n.Submit(t.Context(), longChain(cell.JobID(c)))
		if err == nil {
			accepted++
			continue
		}
		var notExecuted *cell.NotExecutedError
		is.True(errors.As(err, &notExecuted))
		is.True(notExecuted.RetryAfter >= cell.ShortRetryAfter)
	}
	is.True(accepted >= 10 && accepted < len(ids)) // 3.15 MB of 9
	is.Equal(store.Len(cell.TopicJobs), int64(accepted))
	is.NoErr(n.Submit(t.Context(), &cell.Job{ID: "small", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}}))
	n.replica.setState("a", cell.StateCompleted)
	is.NoErr(n.Submit(t.Context(), longChain("z"))) // there is room again

	unknowing := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 0.1, MemoryMB: 1}, Ports{Store: store}, io.Discard)
	is.True(unknowing.hasMemoryFor(encoded(t, longChain("y")).Value)) // it does not know which jobs have ended
}

// TestJobMemoryIsEstimated guards against an estimate below what a job takes, and against one that refuses jobs for which there is memory.
func TestJobMemoryIsEstimated(t *testing.T) {
	is := is.New(t)
	small := &cell.Job{ID: "a", Queue: cell.Queue{Name: "q"}, Spec: "x", Steps: []cell.Step{{Count: 4}, {Count: 20, DependsOn: []uint16{0}}}}
	empty := &cell.Job{ID: "a", Queue: cell.Queue{Name: "q"}, Steps: make([]cell.Step, 1000)}
	for _, job := range []*cell.Job{small, empty, longChain("a")} {
		value := encoded(t, job).Value
		decoded, err := cell.DecodeJob("a", value)
		is.NoErr(err)
		used := decodedBytes(decoded) + int64(len(packRecord(value)))
		estimate := estimateJobBytes(value, packRecord(value))
		t.Logf("%d bytes encoded, %d packed, %d in memory, estimate %d", len(value), len(packRecord(value)), used, estimate)
		is.True(used <= estimate)
		is.True(estimate <= 4*used+jobBaseBytes)
	}
}

// decodedBytes returns what a decoded job takes in memory, including capacity that is not used.
func decodedBytes(job *cell.Job) int64 {
	n := int64(unsafe.Sizeof(*job)) + int64(cap(job.Steps))*int64(unsafe.Sizeof(cell.Step{})) + int64(len(job.Spec))
	for _, s := range job.Steps {
		n += int64(cap(s.DependsOn))*int64(unsafe.Sizeof(s.DependsOn[0])) + int64(len(s.Label)+len(s.DataRack)+len(s.Image))
	}
	return n
}

// TestMemoryOfEndedJobsIsFree guards against a VM that refuses all jobs after some days: each way in which a job leaves the unfinished ones
// has to give back its memory once.
func TestMemoryOfEndedJobsIsFree(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	for _, id := range []cell.JobID{"published", "read", "deleted", "forgotten"} {
		r.apply(jobRecord(t, id, "q"))
		r.apply(jobRecord(t, id, "q")) // a repetition
	}
	is.True(r.unfinishedBytes() > 4*jobBaseBytes)
	r.setState("published", cell.StateCompleted)
	r.apply(progressRecord(t, "published", cell.Progress{State: cell.StateCompleted}))
	r.apply(progressRecord(t, "read", cell.Progress{State: cell.StateFailed}))
	r.apply(cell.Record{Job: "deleted", Kind: cell.RecordProgress})
	r.forgetBefore(bootTime() + 1)
	is.Equal(r.unfinishedBytes(), int64(0))
	r.apply(jobRecord(t, "again", "q"))
	r.clear()
	is.Equal(r.unfinishedBytes(), int64(0))
}

// TestPackedRecordsAreUnchanged guards against a submission that is taken for another one, or cannot be read, after it was compressed.
func TestPackedRecordsAreUnchanged(t *testing.T) {
	is := is.New(t)
	for _, job := range []*cell.Job{longChain("a"), {ID: "a", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}}} {
		value := encoded(t, job).Value
		packed := packRecord(value)
		unpacked, err := packed.unpack()
		is.NoErr(err)
		is.Equal(unpacked, value)
		is.True(len(packed) <= len(value))
		_, err = packedRecord(packed[:1]).unpack()
		is.True(err != nil || len(value) < minPackedBytes)
	}
}
