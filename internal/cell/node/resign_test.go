package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/standin/cellstore"
)

// resignationRefusingStore refuses the records of resignations.
type resignationRefusingStore struct{ cell.Store }

func (s resignationRefusingStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	var record election.OwnerRecord
	if a.Topic == cell.TopicOwner && json.Unmarshal(a.Records[0].Value, &record) == nil && record.Resigned {
		return 0, cell.ErrNotExecuted
	}
	return s.Store.Append(ctx, a)
}

// waitFor fails the test if a condition does not become true within a minute.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited a minute for: %s", what)
		}
	}
}

// startSingleNode runs a node that is the only entry VM of a cell without workers.
func startSingleNode(t *testing.T, store cell.Store) *Node {
	t.Helper()
	is := is.New(t)
	config, err := json.Marshal(cell.Config{Version: 1, Queues: []cell.Queue{{Name: soakQueueName, Service: "s"}}})
	is.NoErr(err)
	_, err = store.Append(context.Background(), cell.Append{
		Topic: cell.TopicConfig, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "config", Value: config}},
	})
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.9:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	listener.Close()
	n := New(Settings{
		Name: "vm", DataCentre: "dc", PeerAddr: addr, CPUCores: 0.8,
		LeaseLimit: 6 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 2,
	}, Ports{Store: store, Workers: &soakFleet{}, Advisor: soakAdvisor{}, Decoder: soakDecoder{}}, io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	waitFor(t, "an owner", func() bool { return n.activeLoop() != nil })
	return n
}

// submitAndCancel submits a job and cancels it, so that the owner records its final state.
func submitAndCancel(t *testing.T, n *Node, id cell.JobID) {
	t.Helper()
	is := is.New(t)
	is.NoErr(n.Submit(context.Background(), &cell.Job{ID: id, Queue: cell.Queue{Name: soakQueueName, Service: "s"}, Steps: []cell.Step{{Count: 1}}}))
	known, err := n.Cancel(context.Background(), id)
	is.NoErr(err)
	is.True(known)
}

// hasRecordedProgress reports whether the store has a progress record of a job.
func hasRecordedProgress(t *testing.T, store cell.Store, id cell.JobID) bool {
	t.Helper()
	batch, err := store.Newest(context.Background(), cell.TopicProgress)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range batch.Records {
		if r.Key == cell.ProgressKey(id) {
			return true
		}
	}
	return false
}

// TestProgressIsRecordedAfterAnUnrecordedResignation guards against progress that the store drops as a repetition of an earlier ownership's.
func TestProgressIsRecordedAfterAnUnrecordedResignation(t *testing.T) {
	store := resignationRefusingStore{&cellstore.Store{}}
	n := startSingleNode(t, store)
	submitAndCancel(t, n, "0000000000000001")
	waitFor(t, "the progress of the first ownership", func() bool { return hasRecordedProgress(t, store, "0000000000000001") })
	first := n.activeLoop()
	first.post(context.Background(), owner.WorkersListed{Workers: []cell.Worker{{ID: "w", Addr: "w"}}})
	first.post(context.Background(), owner.StopResult{Worker: "w", Refusal: cell.RefusedStaleToken})
	waitFor(t, "the second ownership", func() bool { c := n.activeLoop(); return c != nil && c != first })
	submitAndCancel(t, n, "0000000000000002")
	waitFor(t, "the progress of the second ownership", func() bool { return hasRecordedProgress(t, store, "0000000000000002") })
}

// outOfSequenceStore refuses the progress of an owner because of its sequence number.
type outOfSequenceStore struct{ cell.Store }

func (s outOfSequenceStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	if a.Topic == cell.TopicProgress && len(a.Records) > 0 {
		return 0, &cell.SequenceError{Expected: a.Sequence + 7}
	}
	return s.Store.Append(ctx, a)
}

// TestOwnerWhoseBatchesAreOutOfSequenceResigns guards against an owner that keeps the cell although it can record nothing.
func TestOwnerWhoseBatchesAreOutOfSequenceResigns(t *testing.T) {
	n := startSingleNode(t, outOfSequenceStore{&cellstore.Store{}})
	first := n.activeLoop()
	submitAndCancel(t, n, "0000000000000001")
	waitFor(t, "the end of the ownership", func() bool { return n.activeLoop() != first })
}
