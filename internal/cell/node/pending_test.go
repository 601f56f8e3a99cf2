package node

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// isPendingUnknown reports whether a VM refuses to report a count.
func isPendingUnknown(n *Node) bool {
	_, err := n.Pending("q")
	var notExecuted *cell.NotExecutedError
	return errors.As(err, &notExecuted)
}

// TestOldCountOfPendingJobsIsNotReported guards against a count that misses jobs (MIXED on desai-pramaan-grown): a small
// VM reported the last one that it had received, also seconds after the last answer of an owner.
func TestOldCountOfPendingJobsIsNotReported(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 0.1}, Ports{}, io.Discard)
	n.pendingCounts.Store(&map[string]int32{"q": 7})
	n.pendingCountsAt.Store(int64(bootTime()))
	count, err := n.Pending("q")
	is.NoErr(err)
	is.Equal(count, 7)
	n.pendingCountsAt.Store(int64(bootTime() - maxPendingAge - time.Millisecond))
	is.True(isPendingUnknown(n))
}

// TestNoCountOfPendingJobsAtTheStart guards against a small VM that has just started and counts only its own submissions.
func TestNoCountOfPendingJobsAtTheStart(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 0.1}, Ports{}, io.Discard)
	n.replica.apply(jobRecord(t, "a", "q"))
	is.True(isPendingUnknown(n))
}
