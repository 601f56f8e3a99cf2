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
					before := owner.host.up.carried.Load()
					begin := time.Now()
					ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
					defer cancel()
					loop.writeBatch(ctx, records, 1, 0)
					is.Equal(len(loop.flushResults), 1)
					is.Equal((<-loop.flushResults).refused, "")
					alone := time.Duration(float64(5*cell.MaxRecordBytes) / owner.host.up.bytesPerSecond * float64(time.Second))
					is.True(time.Since(begin) < alone+500*time.Millisecond)
					is.True(owner.host.up.carried.Load()-before < 6*cell.MaxRecordBytes) // one copy
				})
			})
		})
	}
}
