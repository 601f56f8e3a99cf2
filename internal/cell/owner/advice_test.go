package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// slowAdvice takes so long that its queries need a free advice proxy.
var slowAdvice = cell.AdviceTiming{BaseTime: time.Second, TimePerWorker: time.Millisecond, Validity: 2 * time.Second}

// newAdviceFixture returns a fixture with workers of 1000 mCPU and a queue whose
// steps need advice.
func newAdviceFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{
		{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, Priority: 1, Advice: &slowAdvice},
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
	f.m.statsFor("q").eligibleFraction = 1
	return f
}

func newGang(count int) cell.Step {
	return cell.Step{Count: count, Need: structs.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true}
}

func (f *fixture) schedule(capacity AdviceCapacity) {
	f.actions = append(f.actions, f.m.Place(f.time(), capacity)...)
}

// TestAdviceQueriesWaitForAFreeProxy guards against queries that are queued
// until the capacity that they are about is taken: the most urgent step uses the
// free proxy, and the other step sends its query when a proxy is free again.
func TestAdviceQueriesWaitForAFreeProxy(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t, 8)
	later := newGang(2)
	later.Estimate = 10 * time.Second
	f.apply(JobSubmitted{Job: newJob("later", later)})
	f.apply(JobSubmitted{Job: newJob("soon", newGang(2))})
	oneProxy := AdviceCapacity{FreeProxies: 1, FreeForLongQueries: 1, LongQueryTime: time.Second}
	f.schedule(oneProxy)
	queries := actionsOf[QueryAdvice](f)
	is.Equal(len(queries), 1)
	is.Equal(queries[0].Step.Job, cell.JobID("soon"))
	f.clearActions()
	f.apply(AdviceResult{Step: queries[0].Step, AskedWorkers: queries[0].Workers})
	f.schedule(oneProxy)
	queries = actionsOf[QueryAdvice](f)
	is.Equal(len(queries), 1)
}

// TestGangsDoNotQueryTheSameCapacity guards against gangs that send queries
// about the same capacity at once: all but one of them would have to wait for a
// second answer.
func TestGangsDoNotQueryTheSameCapacity(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t, 4)
	f.apply(JobSubmitted{Job: newJob("first", newGang(3))})
	f.apply(JobSubmitted{Job: newJob("second", newGang(3))})
	f.schedule(unlimitedAdvice)
	for _, query := range actionsOf[QueryAdvice](f) {
		is.Equal(query.Step.Job, cell.JobID("first"))
	}
}

// TestAdviceQueriesGrowWhileProxiesAreScarce guards the throughput of the advice
// service: most of an answer's time does not depend on the number of workers.
func TestAdviceQueriesGrowWhileProxiesAreScarce(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t, 3*queryWorkers)
	f.apply(JobSubmitted{Job: newJob("j", newGang(2*queryWorkers))})
	f.schedule(AdviceCapacity{FreeProxies: 2, FreeForLongQueries: 2, LongQueryTime: time.Second})
	is.Equal(len(actionsOf[QueryAdvice](f)), 1)
}

// TestSmallStepsFillTheFullestWorkers guards the free capacity for gangs: a step
// that can start anywhere queries the workers that it fills up, not empty ones.
func TestSmallStepsFillTheFullestWorkers(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t, 8)
	for i, w := range f.m.sortedWorkers {
		if i%2 == 0 {
			w.used = structs.Resources{MilliCPU: 500}
		}
	}
	step := cell.Step{Count: 1, Need: structs.Resources{MilliCPU: 500}, Estimate: time.Second}
	f.apply(JobSubmitted{Job: newJob("small", step)})
	f.schedule(unlimitedAdvice)
	queries := actionsOf[QueryAdvice](f)
	is.Equal(len(queries), 1)
	for _, id := range queries[0].Workers[:2] {
		is.Equal(f.m.workers[id].used.MilliCPU, int64(500))
	}
}

// TestStartWithAnExpiredTicketIsNotSent guards the end of an outage of the store: the
// starts whose records waited for it would be refused for their tickets, one after the
// other, while their tasks could have been advised about anew.
func TestStartWithAnExpiredTicketIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	config := &cell.Config{Version: 2, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2,
		Advice: &cell.AdviceTiming{BaseTime: 10 * time.Millisecond, Validity: time.Second}}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	query := actionsOf[QueryAdvice](f)[0]
	f.apply(AdviceResult{Step: query.Step, AskedWorkers: query.Workers, Answer: cell.AdviceAnswer{Eligible: []cell.Ticket{{Worker: "w", Ticket: "t"}}}})
	f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
	_, number, err := f.m.TakeBatch()
	is.NoErr(err)
	f.now += 1500 * time.Millisecond // the store does not answer
	f.apply(BatchStored{Batch: number})
	is.Equal(len(actionsOf[SendStart](f)), 0)
	f.clearActions()
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[QueryAdvice](f)), 1) // it is advised about again
}

// TestRestOfARoundIsQueriedOnceAProxyIsFree guards against a gang that has nothing running for 3 s because the two parts of a round of queries follow each other.
func TestRestOfARoundIsQueriedOnceAProxyIsFree(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t, 2*maxQueryWorkers)
	f.apply(JobSubmitted{Job: newJob("j", newGang(maxQueryWorkers+queryWorkers))})
	oneProxy := AdviceCapacity{FreeProxies: 1, FreeForLongQueries: 1, LongQueryTime: time.Second}
	f.schedule(oneProxy)
	first := actionsOf[QueryAdvice](f)
	is.Equal(len(first), 1)
	f.clearActions()
	f.now += adviceQueryInterval
	f.apply(Tick{})
	f.schedule(oneProxy)
	rest := actionsOf[QueryAdvice](f)
	is.Equal(len(rest), 1)
	for _, id := range rest[0].Workers {
		is.True(!slices.Contains(first[0].Workers, id)) // no worker is queried twice in a round
	}
	is.True(len(first[0].Workers)+len(rest[0].Workers) >= maxQueryWorkers+queryWorkers)
}

// TestTicketOfAFormerProcessIsNotUsed guards against starts that a worker refuses: a ticket that was given before the
// worker restarted was taken for one of its next process, since the answer came after the restart was seen.
func TestTicketOfAFormerProcessIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t, 1)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.schedule(unlimitedAdvice)
	query := actionsOf[QueryAdvice](f)[0]
	info := f.m.workers["a"].info
	info.Born = 2
	f.apply(WorkersListed{Workers: []cell.Worker{info}})
	f.apply(RenewResult{Worker: "a", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 2}})
	f.clearActions()
	answer := cell.AdviceAnswer{Eligible: []cell.Ticket{{Worker: "a", Ticket: "t"}}}
	f.apply(AdviceResult{Step: query.Step, AskedWorkers: query.Workers, Answer: answer})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	f.now += time.Second
	f.apply(Tick{})
	f.apply(RenewResult{Worker: "a", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 2}})
	f.schedule(unlimitedAdvice)
	again := actionsOf[QueryAdvice](f)
	is.Equal(len(again), 1)
	f.apply(AdviceResult{Step: query.Step, AskedWorkers: again[0].Workers, Answer: answer})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}
