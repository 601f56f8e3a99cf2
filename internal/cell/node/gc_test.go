package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// endJobs records that jobs have ended, numbered from first on.
func endJobs(t *testing.T, n *Node, store cell.Store, first, count int) {
	t.Helper()
	value, err := cell.EncodeProgress(&cell.Progress{State: cell.StateCompleted})
	if err != nil {
		t.Fatal(err)
	}
	var records []cell.KeyValue
	for i := range count {
		id := cell.JobID(fmt.Sprintf("%016x", first+i))
		records = append(records, cell.KeyValue{Key: cell.ProgressKey(id), Value: value})
		n.replica.apply(cell.Record{Job: id, Kind: cell.RecordProgress, Value: value})
	}
	if _, err := store.Append(context.Background(), cell.Append{Topic: cell.TopicProgress, Records: records, ExpectedEnd: -1}); err != nil {
		t.Fatal(err)
	}
}

// storedProgress returns the number of jobs whose progress is in the store.
func storedProgress(t *testing.T, store cell.Store) int {
	t.Helper()
	batch, err := store.Newest(context.Background(), cell.TopicProgress)
	if err != nil {
		t.Fatal(err)
	}
	return len(batch.Records)
}

// TestDeletionKeepsUpWithEndedJobs guards against states that pile up in the store and in each VM: 20 of them were deleted in a
// second, while the cells of the users take 33 jobs a second and the size ahead is 69.
func TestDeletionKeepsUpWithEndedJobs(t *testing.T) {
	const (
		jobsPerSecond = 69
		rounds        = 360 // an hour
	)
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := newFollower(t, store)
	ended := 0
	for range rounds {
		perRound := jobsPerSecond * int(stateGCInterval/time.Second)
		endJobs(t, n, store, ended, perRound)
		ended += perRound
		n.deleteExpired(ctx, bootTime()+time.Hour)
		is.Equal(len(n.replica.jobs), 0)
	}
	is.Equal(storedProgress(t, store), 0)
}

// TestDeletionAfterAnOutageIsDoneInBatches guards against a backlog that outlasts the outage in which it built up, and against
// an append that is longer than the store accepts.
func TestDeletionAfterAnOutageIsDoneInBatches(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := newFollower(t, store)
	endJobs(t, n, store, 0, 10*maxExpiredPerAppend+1)
	isDown, appends := true, 0
	store.SetFault(func(call string, _ cell.Topic) cellstore.Fault {
		if call != "append" {
			return cellstore.None
		}
		if isDown {
			return cellstore.Refuse
		}
		appends++
		return cellstore.None
	})
	n.deleteExpired(ctx, bootTime()+time.Hour)
	is.Equal(len(n.replica.jobs), 10*maxExpiredPerAppend+1)
	isDown = false
	n.deleteExpired(ctx, bootTime()+time.Hour)
	is.Equal(len(n.replica.jobs), 0)
	is.Equal(appends, 11)
	is.Equal(storedProgress(t, store), 0)
}
