package node

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// recordOf returns the record that EncodeJob makes of a job with one task.
func recordOf(t *testing.T, id cell.JobID) cell.KeyValue {
	t.Helper()
	value, err := cell.EncodeJob(&cell.Job{ID: id, Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return cell.KeyValue{Key: cell.JobKey(id), Value: value}
}

// drainEvents applies the queued events of a control loop that does not run.
func (c *controlLoop) drainEvents() {
	for len(c.events) > 0 {
		c.machine.Apply(eventTime(), <-c.events)
	}
}

// TestCancellationThatPrecedesItsJobIsKept guards against a job that runs after its
// cancellation was acknowledged: the owner received the cancellation through another VM
// before it had read the submission.
func TestCancellationThatPrecedesItsJobIsKept(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: &cellstore.Store{}}, io.Discard)
	c := newControlLoop(n, 1)
	n.setLoop(c)
	n.applyJobRecords([]cell.KeyValue{{Key: cell.CancelKey("a"), Value: []byte("1")}})
	n.applyJobRecords([]cell.KeyValue{recordOf(t, "a")})
	c.drainEvents()
	records, _, err := c.machine.TakeBatch()
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.Equal(cell.State(records[0].Value[0]), cell.StateCancelled)
}
