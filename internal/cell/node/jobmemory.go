package node

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

// A VM that owns the cell holds all unfinished jobs in memory, so that accepted jobs are weighed
// against its memory limit. A submission that would exceed the limit is refused before it is recorded.

const (
	// jobMemoryFraction is the part of the memory limit that unfinished jobs may take. Bodies that
	// are read may take 1/8, open occurrences 1/16; the collector works harder from 0.7 on.
	jobMemoryFraction = 0.4
	// Jobs of up to smallJobBytes have all of it, larger ones largeJobFraction, so that these keep
	// no ordinary job out.
	smallJobBytes    = 16 << 10
	largeJobFraction = 0.875
	// jobBaseBytes is what a job takes in the memory of an owner, the others what each of its steps
	// and dependencies take in addition. A dependency has 2 bytes, and the capacity that decoding
	// leaves unused.
	jobBaseBytes       = 1500
	jobStepBytes       = 320
	jobDependencyBytes = 3
	// jobMemoryRetryAfter is when a caller may try again: jobs end all the time, but not at once.
	jobMemoryRetryAfter = 2 * time.Second
)

// errJobMemoryFull is the cause reported for submissions for which there is no memory.
var errJobMemoryFull = eris.New("unfinished jobs take all memory that they may")

// stepMarker begins each step of an encoded job.
var stepMarker = []byte(`{"n":`)

// estimateJobBytes estimates what a job takes in the memory of an owner, from its encoded submission and
// its packed one. Commas bound the number of dependencies.
func estimateJobBytes(value []byte, packed packedRecord) int64 {
	steps := int64(bytes.Count(value, stepMarker))
	dependencies := int64(bytes.Count(value, []byte{','}))
	return jobBaseBytes + steps*jobStepBytes + dependencies*jobDependencyBytes + int64(len(packed))
}

// hasMemoryFor reports whether a job with an encoded submission may be accepted beside the
// unfinished ones. A VM that does not know all jobs cannot tell, and accepts it.
func (n *Node) hasMemoryFor(value []byte) bool {
	limit := int64(jobMemoryFraction * float64(n.settings.MemoryMB<<20))
	if limit == 0 || !n.knowsAllJobs() {
		return true
	}
	job := estimateJobBytes(value, packRecord(value))
	if job > smallJobBytes {
		limit = int64(largeJobFraction * float64(limit))
	}
	return n.replica.unfinishedBytes()+job <= limit
}

// unfinishedBytes returns what the unfinished jobs take in the memory of an owner.
func (r *replica) unfinishedBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobBytes
}

// markFinished removes a job from the unfinished ones. It is called with r.mu held.
func (r *replica) markFinished(id cell.JobID) {
	if e, ok := r.unfinished[id]; ok {
		r.jobBytes -= e.bytes
		delete(r.unfinished, id)
	}
}
