package node

import (
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/cellstore"
)

// TestPanicInTheTakeoverEndsTheOwnership guards against heartbeats of an ownership that go on after it, beside the next claim, and against jobs that are passed to its control loop, which does not run.
func TestPanicInTheTakeoverEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	n.progressReader.apply = func([]cell.KeyValue) { panic("unexpected state") }
	term, err := n.election.Campaign(ctx)
	is.NoErr(err)
	is.NoErr(n.panics.contain("campaign", func() { n.runOwnership(ctx, term) })) // runs on the goroutine of campaign
	is.True(n.activeLoop() == nil)
	is.True(n.election.LastRecord().Resigned)
}

// fencedStore refuses to fence the progress for an owner.
type fencedStore struct{ cell.Store }

func (s fencedStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	if a.Topic == cell.TopicProgress {
		return 0, cell.ErrFenced
	}
	return s.Store.Append(ctx, a)
}

// TestOwnerThatCannotTakeOverResigns guards against a VM that claims the cell again and again although it cannot load the state, before others may claim.
func TestOwnerThatCannotTakeOverResigns(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: fencedStore{store}}, io.Discard)
	term, err := n.election.Campaign(ctx)
	is.NoErr(err)
	n.runOwnership(ctx, term)
	batch, err := store.Newest(ctx, cell.TopicOwner)
	is.NoErr(err)
	var newest election.OwnerRecord
	is.NoErr(json.Unmarshal(batch.Records[0].Value, &newest))
	is.True(newest.Resigned)
}

// TestTakeoverDoesNotRunADeletedJob guards against a completed job that runs again on a VM that has read neither its end nor its deletion.
func TestTakeoverDoesNotRunADeletedJob(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	write := func(topic cell.Topic, records ...cell.KeyValue) {
		_, err := store.Append(ctx, cell.Append{Topic: topic, Records: records, ExpectedEnd: -1})
		is.NoErr(err)
	}
	write(cell.TopicJobs, recordOf(t, "a"))
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	n.config.Store(&cell.Config{Version: 1})
	is.NoErr(n.progressReader.readToEnd(ctx))
	is.NoErr(n.jobsReader.readToEnd(ctx))
	completed := progressRecord(t, "a", cell.Progress{State: cell.StateCompleted})
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a"), Value: completed.Value})
	write(cell.TopicJobs, cell.KeyValue{Key: cell.JobKey("a")})
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a")})
	write(cell.TopicJobs, recordOf(t, "b"))
	store.Forget(cell.TopicProgress)
	store.Forget(cell.TopicJobs)
	c := newControlLoop(n, 1)
	is.NoErr(n.takeOver(ctx, c))
	_, isKnown := c.machine.State("a")
	is.True(!isKnown)
	_, isKnown = c.machine.State("b")
	is.True(isKnown)
}
