package node

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestLargeBatchOfProgressIsRecordedOverNarrowLinks guards against an owner with a narrow link that records nothing any more, since each attempt to append the same batch is cut off while it moves.
func TestLargeBatchOfProgressIsRecordedOverNarrowLinks(t *testing.T) {
	for _, megabits := range []float64{200, 10, 2} {
		t.Run(fmt.Sprint(megabits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				runCell(t, 4, 1, megabits, 640, func(ctx context.Context, c *simulatedCell) {
					owner := c.vms[len(c.vms)-1]
					loop := &controlLoop{
						node: &Node{store: owner.router, metrics: newMetrics(func() float64 { return 0 })},
						log:  hclog.NewNullLogger(), term: 1, flushResults: make(chan flushResult, 1),
					}
					var records []cell.KeyValue
					for i := range 5 { // the largest batch that maxBatchBytes of package owner allows
						records = append(records, cell.KeyValue{Key: fmt.Sprint(i), Value: bytes.Repeat([]byte{'x'}, cell.MaxRecordBytes-10)})
					}
					before := owner.host.Up.Carried()
					begin := time.Now()
					ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
					defer cancel()
					loop.writeBatch(ctx, records, 1, 0)
					is.Equal(len(loop.flushResults), 1)
					is.Equal((<-loop.flushResults).refused, "")
					alone := owner.host.Up.TransferTime(5 * cell.MaxRecordBytes)
					is.True(time.Since(begin) < alone+500*time.Millisecond)
					is.True(owner.host.Up.Carried()-before < 6*cell.MaxRecordBytes) // one copy
				})
			})
		})
	}
}

// TestListOfWorkersIsLoadedOverNarrowLinks guards against a new owner with a narrow link that places nothing for seconds, since its first reads of the list of workers are cut off while they move.
func TestListOfWorkersIsLoadedOverNarrowLinks(t *testing.T) {
	const workers, entryBytes = 1300, 300
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runCell(t, 4, 1, 2, 640, func(ctx context.Context, c *simulatedCell) {
			for i := range workers {
				is.NoErr(c.store.Write(workersTopic, cell.KeyValue{Key: fmt.Sprintf("i-%08d", i), Value: bytes.Repeat([]byte{'x'}, entryBytes)}))
			}
			owner := c.vms[len(c.vms)-1]
			read := 0
			tracker := &workerTracker{reader: readerOf(owner.router, cell.TopicWorkers, func(records []cell.KeyValue) { read += len(records) })}
			before, begin := owner.host.Down.Carried(), time.Now()
			is.NoErr(tracker.load(ctx, 1))
			is.Equal(read, workers)
			transferred := owner.host.Down.Carried() - before
			is.True(time.Since(begin) < owner.host.Down.TransferTime(transferred)+500*time.Millisecond)
			is.True(transferred < 2*workers*entryBytes) // one copy, in base64
		})
	})
}
