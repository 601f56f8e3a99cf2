package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// adviceCost is long, so that questions need a free lane.
var adviceCost = cell.AdviceTiming{BaseTime: time.Second, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}

// newAdvisedFixture is a machine with workers of 1000 mCPU and a queue whose
// steps need advice.
func newAdvisedFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLease, GangTimeout: simGang}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{
		{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, Priority: 1, Advice: &adviceCost},
	}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	for i := range workers {
		id := string(rune('a' + i))
		f.apply(WorkersListed{Workers: []cell.Worker{{
			ID: id, Service: "s", Addr: id + ":1", Born: 1, Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000},
		}}})
		f.apply(RenewResult{Worker: id, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
	}
	f.m.stats("q").eligible = 1
	return f
}

func gangOf(count int) cell.Step {
	return cell.Step{Count: count, Need: structs.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true}
}

func (f *fixture) place(lanes AdviceCapacity) {
	f.actions = append(f.actions, f.m.Place(f.time(), lanes)...)
}

// TestQuestionsWaitForAFreeLane guards against questions that wait in a line
// until the room that they were asked for is gone: the most urgent step takes
// the free lane, the other asks when one is free again.
func TestQuestionsWaitForAFreeLane(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(t, 8)
	later := gangOf(2)
	later.Estimate = 10 * time.Second
	f.apply(JobSubmitted{Job: newJob("later", later)})
	f.apply(JobSubmitted{Job: newJob("soon", gangOf(2))})
	one := AdviceCapacity{FreeProxies: 1, FreeForLongQueries: 1, LongQueryTime: time.Second}
	f.place(one)
	asks := taken[QueryAdvice](f)
	is.Equal(len(asks), 1)
	is.Equal(asks[0].Step.Job, cell.JobID("soon"))
	f.forget()
	f.apply(AdviceResult{Step: asks[0].Step, AskedWorkers: asks[0].Workers})
	f.place(one)
	asks = taken[QueryAdvice](f)
	is.Equal(len(asks), 1)
}

// TestGangsDoNotAskForTheSameRoom guards against gangs that ask for the same
// room at once: all but one would ask again, at the price of a full answer.
func TestGangsDoNotAskForTheSameRoom(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(t, 4)
	f.apply(JobSubmitted{Job: newJob("first", gangOf(3))})
	f.apply(JobSubmitted{Job: newJob("second", gangOf(3))})
	f.place(manyLanes)
	for _, a := range taken[QueryAdvice](f) {
		is.Equal(a.Step.Job, cell.JobID("first"))
	}
}

// TestLargeQuestionsWhileLanesAreShort guards the throughput of the advice
// service: most of an answer's time does not depend on the workers named.
func TestLargeQuestionsWhileLanesAreShort(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(t, 3*questionSize)
	f.apply(JobSubmitted{Job: newJob("j", gangOf(2*questionSize))})
	f.place(AdviceCapacity{FreeProxies: 2, FreeForLongQueries: 2, LongQueryTime: time.Second})
	is.Equal(len(taken[QueryAdvice](f)), 1)
}

// TestSmallStepsFillTheFullestWorkers guards the room of gangs: a step that can
// start anywhere asks about workers that it fills, not about empty ones.
func TestSmallStepsFillTheFullestWorkers(t *testing.T) {
	is := is.New(t)
	f := newAdvisedFixture(t, 8)
	for i, w := range f.m.order {
		if i%2 == 0 {
			w.used = structs.Resources{MilliCPU: 500}
		}
	}
	step := cell.Step{Count: 1, Need: structs.Resources{MilliCPU: 500}, Estimate: time.Second}
	f.apply(JobSubmitted{Job: newJob("small", step)})
	f.place(manyLanes)
	asks := taken[QueryAdvice](f)
	is.Equal(len(asks), 1)
	for _, id := range asks[0].Workers[:2] {
		is.Equal(f.m.workers[id].used.MilliCPU, int64(500))
	}
}
