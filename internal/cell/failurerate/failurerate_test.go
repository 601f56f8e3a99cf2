package failurerate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/failurerate"
)

func newWork(image string) failurerate.Work {
	return failurerate.Work{Queue: "q", Image: image, Step: &failurerate.Outcomes{}}
}

// weigh returns the weight of failed runs of the works on a worker, beside others with one failed run each.
func weigh(m *failurerate.Model, now time.Duration, others []failurerate.Work, areSuspect bool, failed ...failurerate.Work) float64 {
	records := []*failurerate.Record{{}}
	for _, w := range failed {
		records[0].Add(w)
	}
	for _, w := range others {
		r := &failurerate.Record{IsSuspect: areSuspect}
		r.Add(w)
		records = append(records, r)
	}
	m.Weigh(now, records)
	return float64(len(failed)) - records[0].Explained()
}

// TestWeightFollowsTheFinestKnownRate guards against failures that count against a worker although the step, the image or the
// queue fails elsewhere, or do not count because other work of the queue does. At first the prior counts.
func TestWeightFollowsTheFinestKnownRate(t *testing.T) {
	is := is.New(t)
	m := failurerate.New()
	step := newWork("sound")
	is.Equal(weigh(m, 0, nil, false, newWork(""), newWork("")), 2.0)
	is.True(weigh(m, 0, nil, false, step, step, step, step) < 1.5) // a step that always fails on its only worker
	for range 1000 {
		m.ObserveDone(0, newWork("sound"))
	}
	for range 30 {
		m.ObserveFailed(0, newWork("broken"))
	}
	is.Equal(weigh(m, 0, nil, false, newWork("sound")), 1.0)
	is.True(weigh(m, 0, nil, false, newWork("broken")) < 0.2)
	is.True(weigh(m, 0, []failurerate.Work{step}, false, step) < 0.3)
	is.True(weigh(m, 0, nil, false, newWork("unknown")) > 0.8)
	is.True(weigh(m, time.Hour, nil, false, newWork("broken")) > 0.99) // old outcomes lose their weight
}

// TestSuspectWorkersDoNotExplainEachOther guards against workers that fail everything at once and hide each other by the
// rate that they cause.
func TestSuspectWorkersDoNotExplainEachOther(t *testing.T) {
	is := is.New(t)
	others := make([]failurerate.Work, 200)
	for i := range others {
		others[i] = newWork("")
	}
	is.True(weigh(failurerate.New(), 0, others, false, newWork("")) < 0.5) // nothing tells the workers from the work
	is.Equal(weigh(failurerate.New(), 0, others, true, newWork("")), 1.0)
}
