package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// slowOwner drives the Machine of a VM that is paused for a time, works for a moment, and is paused again. What arrives
// meanwhile, as the answer to an append, is handled when it works.
type slowOwner struct {
	*fixture
	pause  time.Duration
	worker string
	batch  int
	sent   []SendStart
	// renewalSentAt is when the renewal was sent that the worker answers after idlePollTimeout.
	renewalSentAt time.Duration
}

// work lets the owner handle what has arrived: the record of the last batch first, as the worst order.
func (o *slowOwner) work() {
	if o.batch > 0 {
		o.apply(BatchStored{Batch: o.batch})
		o.batch = 0
	}
	o.apply(Tick{})
	if o.renewalSentAt > 0 && o.now >= o.renewalSentAt+idlePollTimeout {
		o.apply(RenewResult{Worker: o.worker, SentAt: o.renewalSentAt, Inventory: cell.Inventory{Clock: o.now, Born: 1}})
		o.renewalSentAt = 0
	}
	o.actions = append(o.actions, o.m.Place(o.time(), unlimitedAdvice)...)
	_, number, err := o.m.TakeBatch()
	if err != nil {
		o.t.Fatal(err)
	}
	o.batch = number
	o.sent = append(o.sent, actionsOf[SendStart](o.fixture)...)
	for _, r := range actionsOf[Renew](o.fixture) {
		if r.Renewal.Worker == o.worker {
			o.renewalSentAt = o.now
		}
	}
	o.clearActions()
}

// run lets the owner work and pause by turns until a time.
func (o *slowOwner) run(until time.Duration) {
	for o.now < until {
		o.now += 25 * time.Millisecond
		o.work()
		o.now += o.pause
	}
}

// newSlowOwner has a worker of its own kind, on which sound jobs and some that always fail run, and others.
func newSlowOwner(t *testing.T, pause time.Duration) *slowOwner {
	f := newFixture(t, 1000)
	for _, id := range []string{"x", "y", "z"} {
		f.addWorker(id, 1000)
	}
	f.apply(WorkersListed{Workers: []cell.Worker{{ID: "special", Service: "s", Addr: "special:1", Born: 1,
		Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}, Labels: []string{"only"}}}})
	return &slowOwner{fixture: f, pause: pause, worker: "special"}
}

// TestIdleStepOfASlowOwnerStartsInTime guards against a job that has nothing running for 3 s: the time for which its step avoids a suspect
// worker, which is sound, was as long on a slow VM as on others, and the pauses of the VM came on top (review/8).
func TestIdleStepOfASlowOwnerStartsInTime(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond} {
		for offset := time.Duration(0); offset <= pause; offset += 50 * time.Millisecond {
			o := newSlowOwner(t, pause)
			o.run(6 * time.Second)
			o.m.workers["special"].health = health{failedJobs: 10, lastFailureAt: o.now}
			step := newStep(1, 500)
			step.Label = "only"
			// The dependency ends while the owner is paused, which learns of it offset later.
			readyAt := o.now - offset
			o.apply(JobSubmitted{Job: newJob("j", step)})
			o.run(o.now + 5*time.Second)
			is.Equal(len(o.sent) > 0, true)
			if idle := o.startedAt() - readyAt; idle >= maxIdleTime {
				t.Errorf("pauses of %v, ready %v before the end of one: idle for %v", pause, offset, idle)
			}
		}
	}
}

// startedAt returns when the first start request was sent.
func (o *slowOwner) startedAt() time.Duration {
	for _, r := range o.m.workers["special"].runList {
		return r.firstSentAt
	}
	return o.now
}

// TestIdleStepOfAFastOwnerKeepsItsAttempts guards against steps that go to suspect workers at once: these may fail all they start.
func TestIdleStepOfAFastOwnerKeepsItsAttempts(t *testing.T) {
	is := is.New(t)
	o := newSlowOwner(t, 0)
	o.run(6 * time.Second)
	q := cell.Queue{Advice: &cell.AdviceTiming{BaseTime: 400 * time.Millisecond, TimePerWorker: 20 * time.Millisecond}}
	is.Equal(o.m.idleAvoidTime(&cell.Queue{}), idleAvoidLimit)
	is.True(o.m.idleAvoidTime(&q)+q.Advice.AnswerTime(queryWorkers)+idleMargin <= maxIdleTime)
	is.True(o.m.idleAvoidTime(&q) >= time.Second)
	o.m.startDelay.observeRecord(time.Hour) // an outage of the store
	is.True(o.m.idleAvoidTime(&cell.Queue{}) >= time.Second)
	for range 10 {
		o.m.startDelay.observeRecord(10 * time.Millisecond)
	}
	is.Equal(o.m.idleAvoidTime(&cell.Queue{}), idleAvoidLimit)
}

// TestUnsentStartDoesNotRestartTheIdleTime guards against a job that has nothing running for 3 s: its step avoided workers anew after each
// start that was not sent since the worker's answer was late.
func TestUnsentStartDoesNotRestartTheIdleTime(t *testing.T) {
	is := is.New(t)
	f := newQuarantineFixture(t, 0)
	readyAt := f.now
	for len(actionsOf[SendStart](f)) == 0 {
		f.now += 25 * time.Millisecond
		f.answerRenewal()
		f.apply(Tick{})
		f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
		_, number, err := f.m.TakeBatch()
		is.NoErr(err)
		if number > 0 && f.now < readyAt+idleAvoidLimit+500*time.Millisecond {
			f.m.workers["w"].failedRenewals = 1 // a renewal was not answered in time
		}
		if number > 0 {
			f.apply(BatchStored{Batch: number})
		}
	}
	is.True(f.now-readyAt < maxIdleTime-idleMargin)
}
