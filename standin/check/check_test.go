package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/worker"
)

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newInterval returns the interval of an attempt from and to seconds after baseTime;
// to 0 means that it still runs. TestCapacityAndOverlaps calls it.
func newInterval(job string, number int, cpu int64, from, to int) worker.Interval {
	i := worker.Interval{
		Attempt:   structs.Attempt{Task: structs.TaskID{Job: job}, Number: number},
		Resources: structs.Resources{MilliCPU: cpu},
		Start:     baseTime.Add(time.Duration(from) * time.Second),
	}
	if to > 0 {
		i.End = baseTime.Add(time.Duration(to) * time.Second)
	}
	return i
}

// Guards against checks that miss an overcommitted worker or a task that runs twice
// at once, and against false alarms for consecutive runs of a task.
func TestCapacityAndOverlaps(t *testing.T) {
	capacity := structs.Resources{MilliCPU: 10}
	tests := []struct {
		name              string
		intervals         []worker.Interval
		capacity, overlap int
	}{
		{"one after the other", []worker.Interval{newInterval("a", 1, 10, 0, 5), newInterval("a", 2, 10, 5, 0)}, 0, 0},
		{"together within capacity", []worker.Interval{newInterval("a", 1, 5, 0, 0), newInterval("b", 1, 5, 1, 0)}, 0, 0},
		{"overcommitted for a moment", []worker.Interval{newInterval("a", 1, 6, 0, 5), newInterval("b", 1, 5, 4, 9)}, 1, 0},
		{"same task twice", []worker.Interval{newInterval("a", 1, 1, 0, 5), newInterval("a", 2, 1, 4, 0)}, 0, 1},
		{"second run while the first lasts", []worker.Interval{newInterval("a", 1, 1, 0, 0), newInterval("a", 2, 1, 4, 5)}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := &Observation{Workers: map[string]worker.Observed{"w": {Capacity: capacity, Intervals: tt.intervals}}}
			is.Equal(len(o.Capacity()), tt.capacity)
			is.Equal(len(o.Overlaps()), tt.overlap)
		})
	}
}
