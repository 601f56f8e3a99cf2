package failurerate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/failurerate"
)

func newWork(queue, image string) failurerate.Work {
	return failurerate.Work{Queue: queue, Image: image, Step: &failurerate.Outcomes{}}
}

func newRecord(failed ...failurerate.Work) *failurerate.Record {
	r := &failurerate.Record{}
	for _, w := range failed {
		r.Add(w)
	}
	return r
}

func totalWeight(r *failurerate.Record) float64 {
	total := 0.0
	for _, f := range r.Failures {
		total += f.Weight
	}
	return total
}

// TestPriorCountsFailuresFully guards a new owner, which knows no rates yet: two failures of different steps count as two.
func TestPriorCountsFailuresFully(t *testing.T) {
	is := is.New(t)
	r := newRecord(newWork("q", ""), newWork("q", ""))
	failurerate.New().Weigh(0, []*failurerate.Record{r})
	is.Equal(totalWeight(r), 2.0)
	is.Equal(r.Explained(), 0.0)
}

// TestWeightFollowsTheFinestKnownRate guards the order of the levels: a step, an image and a queue that fail on other workers
// explain failures, others of the same queue or image that succeed do not hide that.
func TestWeightFollowsTheFinestKnownRate(t *testing.T) {
	is := is.New(t)
	m := failurerate.New()
	for range 1000 {
		m.ObserveDone(0, newWork("q", "sound"))
	}
	for range 30 {
		m.ObserveFailed(0, newWork("q", "broken"))
	}
	weightOf := func(w failurerate.Work, elsewhere int) float64 {
		records := []*failurerate.Record{newRecord(w)}
		for range elsewhere {
			records = append(records, newRecord(w))
		}
		m.Weigh(0, records)
		return totalWeight(records[0])
	}
	is.Equal(weightOf(newWork("q", "sound"), 0), 1.0)
	is.True(weightOf(newWork("q", "broken"), 0) < 0.2)
	is.True(weightOf(newWork("q", "sound"), 1) < 0.3) // the step fails elsewhere
	is.True(weightOf(newWork("q", "unknown"), 0) > 0.8)
}

// TestRepeatedFailuresOfAStepCountLittle guards against a step that always fails and makes its only worker suspect.
func TestRepeatedFailuresOfAStepCountLittle(t *testing.T) {
	is := is.New(t)
	w := newWork("q", "")
	r := newRecord(w, w, w, w)
	m := failurerate.New()
	m.Weigh(0, []*failurerate.Record{r})
	is.True(totalWeight(r) < 1.5)
	for range 20 {
		m.ObserveDone(0, w) // its siblings succeed on other workers
	}
	m.Weigh(0, []*failurerate.Record{r})
	is.True(totalWeight(r) > 2)
}

// TestSuspectWorkersDoNotExplainEachOther guards against workers that fail everything at once and hide each other by the
// rate that they cause.
func TestSuspectWorkersDoNotExplainEachOther(t *testing.T) {
	is := is.New(t)
	var records []*failurerate.Record
	for range 200 {
		records = append(records, newRecord(newWork("q", ""), newWork("q", "")))
	}
	m := failurerate.New()
	m.Weigh(0, records)
	is.True(totalWeight(records[0]) < 1) // nothing tells the workers from the work yet
	for _, r := range records {
		r.IsSuspect = true
	}
	m.Weigh(0, records)
	is.Equal(totalWeight(records[0]), 2.0)
}

// TestOldOutcomesLoseWeight guards against a rate that stays high after the cause has gone.
func TestOldOutcomesLoseWeight(t *testing.T) {
	is := is.New(t)
	m := failurerate.New()
	for range 100 {
		m.ObserveFailed(0, newWork("q", ""))
	}
	r := newRecord(newWork("q", ""))
	m.Weigh(0, []*failurerate.Record{r})
	is.True(totalWeight(r) < 0.5)
	m.Weigh(time.Hour, []*failurerate.Record{r})
	is.True(totalWeight(r) > 0.99)
}
