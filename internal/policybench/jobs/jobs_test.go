package jobs

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a policy that packs the recorded mix worse than 95 % of the
// bound, or strands accelerators. It counts tasks and workers, not time.
func TestPackingOfRecordedMix(t *testing.T) {
	is := is.New(t)
	mix, err := Mix()
	is.NoErr(err)
	workers := cellWorkers(packingWorkers)
	cores := milliCPUAtFirstMiss(newPolicyPlacer(workers), mix)
	is.True(float64(cores) >= minPackingFraction*float64(prefixBoundMilliCPU(mix, workers)))
	list := mix[:packingListLength]
	needed := workersNeeded(list, func(n int) placer { return newPolicyPlacer(cellWorkers(n)) })
	is.True(float64(workersLowerBound(list)) >= minPackingFraction*float64(needed))
	stranded, _ := strandedAccelerators(newPolicyPlacer(workers), mix)
	is.Equal(stranded, int64(0))
}

// Guards against urgent work that misses its start target when demand triples,
// and against broken invariants when patient work is preempted for it.
func TestUrgentSwing(t *testing.T) {
	is := is.New(t)
	u := measureUrgentWait(packingWorkers, 60)
	is.Equal(u.lateCount, 0)
	is.Equal(len(u.violations), 0)
}

// Guards against a report that lacks a row or a verdict.
func TestRunPrintsAllRows(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Run(context.Background(), &out, Options{Seed: 1, Workers: []int{10, 50}, Steps: 200}))
	for _, want := range []string{"gypsumwinch", "first fit", "random", "stranded", "placements/s", "slope", "urgent"} {
		is.True(strings.Contains(out.String(), want))
	}
}

// BenchmarkPlacement times the end of one task and the placement of another. The
// time per operation at 50, 400 and 1,300 workers gives the slope.
func BenchmarkPlacement(b *testing.B) {
	mix, err := Mix()
	if err != nil {
		b.Fatal(err)
	}
	for _, workers := range []int{50, 400, 1300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newChurn(workers, mix, 1)
			c.fill(workers, fillFraction)
			b.ResetTimer()
			for range b.N {
				c.step()
			}
		})
	}
}
