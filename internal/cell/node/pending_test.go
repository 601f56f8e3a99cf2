package node

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
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

// TestSmallVMLearnsThatNoJobWaits guards against a small VM that keeps its last counts, or refuses to report any, once no job waits: an empty map is not transmitted.
func TestSmallVMLearnsThatNoJobWaits(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(cellpb.NewCellServer(&rpcServer{node: newFollower(t, &cellstore.Store{})}))
	defer server.Close()
	n := New(Settings{Name: "small", PeerAddr: "small:1", CPUCores: 0.1}, Ports{}, io.Discard)
	n.pendingCounts.Store(&map[string]int32{"q": 7})
	_, err := n.sendHello(context.Background(), cellpb.NewCellProtobufClient(server.URL, server.Client()))
	is.NoErr(err)
	count, err := n.Pending("q")
	is.NoErr(err)
	is.Equal(count, 0)
}
