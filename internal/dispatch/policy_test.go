package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/structs"
)

// harness applies events to a dispatcher and collects the actions by kind.
type harness struct {
	d         *dispatch.Dispatcher
	now       time.Duration
	sends     []dispatch.Send
	rejects   []dispatch.Reject
	unknowns  []dispatch.ReportUnknown
	completes []dispatch.Complete
	aborts    []dispatch.Abort
	logStarts []dispatch.LogStart
	// demand is the last demand by data centre.
	demand   map[string]int
	enqueued int
}

func newHarness(slots int) *harness {
	h := &harness{
		d:      dispatch.New(dispatch.Options{Seed: 1, DataCentre: "krk-a", Classes: testClasses}),
		demand: make(map[string]int),
	}
	h.setSlots("s0", "krk-a", slots)
	return h
}

func (h *harness) apply(ev dispatch.Event) {
	for _, a := range h.d.Apply(h.now, ev) {
		switch a := a.(type) {
		case dispatch.Send:
			h.sends = append(h.sends, a)
		case dispatch.Reject:
			h.rejects = append(h.rejects, a)
		case dispatch.ReportUnknown:
			h.unknowns = append(h.unknowns, a)
		case dispatch.Complete:
			h.completes = append(h.completes, a)
		case dispatch.Abort:
			h.aborts = append(h.aborts, a)
		case dispatch.LogStart:
			h.logStarts = append(h.logStarts, a)
		case dispatch.SlotDemand:
			h.demand[a.DataCentre] = a.Slots
		}
	}
}

func (h *harness) setSlots(server, dataCentre string, slots int) {
	h.apply(dispatch.SlotsChanged{Server: server, DataCentre: dataCentre, Count: slots, Expires: 1000 * time.Hour})
}

func (h *harness) enqueue(class string, n int) {
	for range n {
		h.enqueued++
		c, _ := (&structs.ClusterConfig{Classes: testClasses}).Class(class)
		h.apply(dispatch.Enqueue{
			ID: fmt.Sprintf("%s-%d", class, h.enqueued), Class: class, NonIdempotent: c.NonIdempotent, At: h.now,
		})
	}
}

// advance moves the clock and sends a Tick every 100 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += min(100*time.Millisecond, end-h.now)
		h.apply(dispatch.Tick{})
	}
}

func (h *harness) finish(s dispatch.Send, result dispatch.Result) {
	h.apply(dispatch.Finished{ID: s.ID, Attempt: s.Attempt, Result: result})
}

// train runs n requests of a class one after the other, so that the dispatcher
// learns the run time.
func (h *harness) train(class string, n int, run time.Duration) {
	for range n {
		h.enqueue(class, 1)
		h.advance(run)
		h.finish(h.sends[len(h.sends)-1], dispatch.ResultOK)
	}
	h.advance(100 * time.Millisecond)
	h.sends = nil
}

// TestLongWorkLeavesSlotsFree guards against requests of a long class that use
// every slot, so that a lookup waits until one of them ends.
func TestLongWorkLeavesSlotsFree(t *testing.T) {
	is := is.New(t)
	h := newHarness(20)
	h.train("lookup", 20, 10*time.Millisecond)
	h.train("analysis", 20, 2*time.Second)
	h.enqueue("analysis", 100)
	is.True(len(h.sends) < 20)
	is.True(len(h.sends) >= 10) // most slots still serve the long class
	before := len(h.sends)
	h.enqueue("lookup", 1)
	is.Equal(len(h.sends), before+1)
	is.Equal(h.sends[before].ID[:6], "lookup")
}

// TestOrderBySlack guards against classes served in the order of arrival, and
// against overdue requests that go first and make all later requests late too.
func TestOrderBySlack(t *testing.T) {
	for _, test := range []struct {
		name    string
		waits   time.Duration
		second  string
		longest string
	}{
		{"less slack first", time.Second, "match", "match"},
		{"older request first", 50 * time.Second, "match", "analysis"},
		{"overdue request last", 70 * time.Second, "match", "match"},
		{"long overdue request first", 400 * time.Second, "match", "analysis"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(0)
			h.enqueue("analysis", 1)
			h.advance(test.waits)
			h.enqueue(test.second, 1)
			h.setSlots("s0", "krk-a", 2)
			is.True(len(h.sends) > 0)
			is.Equal(h.sends[0].ID[:len(test.longest)], test.longest)
		})
	}
}

// TestStragglerRestart guards against a straggler that is never aborted and keeps
// its slot, and against a second attempt that is sent before the first has ended.
func TestStragglerRestart(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.setSlots("s1", "krk-a", 4)
	h.train("analysis", 30, time.Second)
	h.enqueue("analysis", 1)
	h.advance(3 * time.Second)
	is.Equal(len(h.aborts), 0)
	h.advance(3 * time.Second)
	is.Equal(len(h.aborts), 1)
	is.Equal(len(h.sends), 1) // not before the first has ended
	first := h.sends[0]
	h.finish(first, dispatch.ResultAborted)
	is.Equal(len(h.sends), 2)
	is.True(h.sends[1].Server != first.Server)
	is.Equal(h.sends[1].Attempt, 2)
	h.finish(first, dispatch.ResultOK) // a late answer of the ended attempt
	is.Equal(len(h.completes), 30)
	h.advance(time.Minute)
	is.Equal(len(h.aborts), 1) // a request is restarted once
	h.finish(h.sends[1], dispatch.ResultOK)
	is.Equal(h.completes[30].Attempt, 2)
	is.Equal(h.d.Stats(h.now).Aborted, uint64(1))
}

// TestNonIdempotentStragglerIsNotAborted guards against a non-idempotent request
// that is aborted as a straggler, although it can't be sent again.
func TestNonIdempotentStragglerIsNotAborted(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.train("match", 30, 100*time.Millisecond)
	h.enqueue("match", 1)
	h.advance(time.Hour)
	is.Equal(len(h.aborts), 0)
}

// TestEarlyRejection guards against urgent requests that are queued although they
// can't start in time, and against non-urgent requests that are rejected while the
// queue has room.
func TestEarlyRejection(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.train("lookup", 20, 20*time.Millisecond)
	h.enqueue("lookup", 200)
	is.True(len(h.rejects) > 100)
	is.True(len(h.rejects) < 180)
	for _, reject := range h.rejects {
		is.True(reject.RetryAfter > 0)
	}
	rejected := len(h.rejects)
	h.advance(2 * time.Second)
	is.Equal(len(h.rejects), 196) // the queued ones can no longer finish in time
	is.True(rejected < 196)
	h.enqueue("analysis", 1000)
	h.advance(time.Hour)
	is.Equal(len(h.rejects), 196)
}

// TestQueueLimit guards against a queue that grows without bound and fills the VM's
// memory.
func TestQueueLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.enqueue("analysis", 20010)
	is.Equal(len(h.rejects), 10)
	is.True(h.rejects[0].RetryAfter > 0)
	is.Equal(h.d.Stats(h.now).QueueLength, 20000)
}

// TestOtherDataCentres guards against a burst that overloads the other data
// centres, and against requests that miss their target waiting for local slots
// while other data centres have free ones.
func TestOtherDataCentres(t *testing.T) {
	is := is.New(t)
	h := newHarness(40)
	h.train("analysis", 30, 10*time.Second)
	h.setSlots("far", "kat-a", 40)
	h.enqueue("analysis", 30)
	for _, s := range h.sends {
		is.Equal(s.Server, "s0")
	}
	h.enqueue("analysis", 1000) // far more than local slots can start within a minute
	remote := 0
	for _, s := range h.sends {
		if s.Server == "far" {
			remote++
		}
	}
	is.Equal(remote, 10) // a quarter of the local slots
	h.advance(time.Second)
	is.Equal(h.demand["kat-a"], 10)
	// About 980 requests of 10 s wait for slots and have 60 s left.
	is.True(h.demand["krk-a"] > 600)
	is.True(h.demand["krk-a"] < 700)
}

// TestRetryBudget guards against retries that multiply the load when every attempt
// fails, because each failure leads to another attempt.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000)
	h.train("analysis", 100, time.Second) // adds 10 retries to the initial 10
	h.enqueue("analysis", 500)
	for i := 0; i < len(h.sends); i++ {
		h.finish(h.sends[i], dispatch.ResultLost)
		h.advance(100 * time.Millisecond)
	}
	h.advance(10 * time.Second)
	stats := h.d.Stats(h.now)
	is.True(stats.Retried <= 20)
	is.True(len(h.unknowns) >= 480)
	for range 10 {
		for i := 0; i < len(h.sends); i++ {
			h.finish(h.sends[i], dispatch.ResultLost)
		}
		h.advance(10 * time.Second)
	}
	is.Equal(len(h.unknowns), 500)
}

// TestRefusingServerCoolsDown guards against a server that refuses a request and
// gets it again and again without a pause, since such retries cost no retry token.
func TestRefusingServerCoolsDown(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.enqueue("match", 1)
	for range 100 {
		if last := h.sends[len(h.sends)-1]; last.Attempt == len(h.sends) {
			h.finish(last, dispatch.ResultRefused)
		}
		h.advance(100 * time.Millisecond)
	}
	is.True(len(h.sends) > 3)
	is.True(len(h.sends) < 10)
	h.advance(10 * time.Second)
	h.finish(h.sends[len(h.sends)-1], dispatch.ResultOK)
	is.Equal(len(h.completes), 1)
}

// TestLogAhead guards against a start record for every queued request, and against
// requests whose start record is written only when they come first, so that a slot
// stays idle during the append.
func TestLogAhead(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	for i := range 100 {
		h.apply(dispatch.Enqueue{ID: fmt.Sprint(i), Class: "match", NonIdempotent: true, MustLogStart: true})
	}
	is.Equal(len(h.logStarts), 32)
	is.Equal(len(h.sends), 0)
	h.apply(dispatch.StartLogged{ID: "0"})
	is.Equal(h.sends[0].ID, "0")
	is.Equal(len(h.logStarts), 33) // the next request
	h.apply(dispatch.Cancel{ID: "1", Reason: "log is down"})
	is.Equal(h.rejects[0], dispatch.Reject{ID: "1", Reason: "log is down"})
	is.Equal(len(h.logStarts), 34)
}

// TestClassesChanged guards against queued requests that are lost when their class
// is removed, and against new requests that are accepted for a removed class.
func TestClassesChanged(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.enqueue("analysis", 1)
	h.apply(dispatch.ClassesChanged{Classes: testClasses[:1]})
	h.enqueue("analysis", 1)
	is.Equal(len(h.rejects), 1)
	h.setSlots("s0", "krk-a", 8)
	is.Equal(len(h.sends), 1)
	h.finish(h.sends[0], dispatch.ResultOK)
	is.Equal(len(h.completes), 1)
	h.apply(dispatch.ClassesChanged{Classes: testClasses})
	h.enqueue("analysis", 1)
	is.Equal(len(h.sends), 2)
}

// TestRemovedServer guards against the state of removed servers that accumulates as
// VMs are replaced, and against a send to a server after its removal.
func TestRemovedServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.enqueue("analysis", 1)
	h.apply(dispatch.ServerChanged{Server: "s0", DataCentre: "krk-a", Health: dispatch.HealthRemoved})
	h.enqueue("analysis", 1)
	is.Equal(len(h.sends), 1)
	h.advance(time.Second)
	is.Equal(len(h.d.Holdings(h.now)), 1) // one attempt is still live
	h.finish(h.sends[0], dispatch.ResultLost)
	h.advance(time.Second)
	is.Equal(len(h.d.Holdings(h.now)), 0)
}

// TestRetryAfterWithoutSlots guards against a RetryAfter of a minute or more for an
// urgent class while the VM only waits for its first slots: nothing runs then, so
// that the time until the queue is empty is unknown.
func TestRetryAfterWithoutSlots(t *testing.T) {
	is := is.New(t)
	d := dispatch.New(dispatch.Options{DataCentre: "krk-a", Classes: []structs.Class{{
		Name: "hotline-lookup", Kind: structs.KindRequest, StartTarget: 2 * time.Second, FinishTarget: 8 * time.Second,
	}}})
	d.Apply(0, dispatch.Enqueue{ID: "a", Class: "hotline-lookup"})
	var rejected *dispatch.Reject
	for now := time.Duration(0); now < time.Minute && rejected == nil; now += time.Second {
		for _, a := range d.Apply(now, dispatch.Tick{}) {
			if reject, ok := a.(dispatch.Reject); ok {
				rejected = &reject
			}
		}
	}
	is.True(rejected != nil)
	is.True(rejected.RetryAfter > 0 && rejected.RetryAfter <= 10*time.Second)
}
