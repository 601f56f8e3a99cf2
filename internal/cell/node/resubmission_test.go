package node

import (
	"bytes"
	"context"
	"io"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
)

// submissionOf returns the record of a job of a customer.
func submissionOf(t *testing.T, id cell.JobID, customer string) cell.KeyValue {
	t.Helper()
	value, err := cell.EncodeJob(&cell.Job{ID: id, Customer: customer, Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return cell.KeyValue{Key: cell.JobKey(id), Value: value}
}

// takenOverCustomer returns the customer of the only unfinished job that a new owner loads.
func takenOverCustomer(t *testing.T, store cell.Store) string {
	t.Helper()
	n := New(Settings{Name: "next", PeerAddr: "next:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	n.config.Store(&cell.Config{Version: 1})
	if err := n.takeOver(context.Background(), newControlLoop(n, 2)); err != nil {
		t.Fatal(err)
	}
	jobs := slices.Collect(n.replica.unfinishedJobs(func(id cell.JobID, err error) { t.Error(id, err) }))
	if len(jobs) != 1 {
		t.Fatalf("the new owner knows %d jobs", len(jobs))
	}
	return jobs[0].job.Customer
}

// TestJobKeepsItsCustomer guards against a job whose quota and share change with a takeover, since it was submitted
// again with the key of another customer: through the owner, or by a VM that has appended it
// without the owner.
func TestJobKeepsItsCustomer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	n.setLoop(newControlLoop(n, 1))
	go n.committer.run(ctx)
	submit := func(customer string) {
		kv := submissionOf(t, "a", customer)
		resp, err := (&rpcServer{node: n}).Submit(ctx, &cellpb.SubmitRequest{Records: recordsToProto([]cell.KeyValue{kv})})
		is.NoErr(err)
		is.Equal(resp.Outcome, cellpb.Outcome_DONE)
	}
	submit("first")
	submit("second")
	is.Equal(store.Len(cell.TopicJobs), int64(1)) // the second submission is not recorded
	is.Equal(takenOverCustomer(t, store), "first")

	direct := submissionOf(t, "a", "second")
	_, err := store.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{direct}})
	is.NoErr(err)
	_, err = n.jobsReader.read(ctx, 0)
	is.NoErr(err)
	waitFor(t, "the first submission to be restored", func() bool {
		batch, err := store.Newest(ctx, cell.TopicJobs)
		return err == nil && len(batch.Records) == 1 && bytes.Equal(batch.Records[0].Value, submissionOf(t, "a", "first").Value)
	})
	is.Equal(takenOverCustomer(t, store), "first")
}
