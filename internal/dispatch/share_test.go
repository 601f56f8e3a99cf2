package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/dispatch"
)

// TestNonUrgentWorkStaysLocal guards against slots of other data centres that are
// used by requests which meet their targets on local ones.
func TestNonUrgentWorkStaysLocal(t *testing.T) {
	is := is.New(t)
	h := newHarness(8)
	h.train("analysis", 20, time.Second)
	h.setSlots("far", "kat-a", 40)
	h.enqueue("analysis", 20)
	is.True(len(h.sends) < 20)
	for _, s := range h.sends {
		is.Equal(s.Server, "s0")
	}
	h.advance(time.Second)
	is.Equal(h.demand["kat-a"], 0)
}

// TestClassShare guards against a class whose long attempts use every slot while
// another class waits.
func TestClassShare(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.advance(20 * time.Second)
	h.enqueue("analysis", 100)
	h.enqueue("match", 100)
	h.setSlots("s0", "krk-a", 40)
	count := map[string]int{}
	for _, s := range h.sends {
		count[s.ID[:5]]++
	}
	is.Equal(count["match"], 30)
	is.Equal(count["analy"], 9) // one slot is reserved for lookups
}

// TestNewVMKeepsSlotsFree guards against a VM that has just started and fills all
// slots with a long class, before it has estimates of what urgent classes need.
func TestNewVMKeepsSlotsFree(t *testing.T) {
	is := is.New(t)
	h := newHarness(40)
	h.enqueue("analysis", 100)
	is.Equal(len(h.sends), 35)
	h.enqueue("lookup", 5)
	is.Equal(len(h.sends), 40)
}

// TestStragglersDoNotUseUpReserve guards against a reserve that is used up by
// stragglers of the urgent class for which it is kept free.
func TestStragglersDoNotUseUpReserve(t *testing.T) {
	is := is.New(t)
	h := newHarness(20)
	h.train("analysis", 20, 2*time.Second)
	h.train("lookup", 20, 10*time.Millisecond)
	for i := range 8 {
		h.apply(dispatch.Enqueue{ID: fmt.Sprint(i), Class: "lookup", NonIdempotent: true, At: h.now})
	}
	h.advance(time.Minute)
	h.enqueue("analysis", 100)
	running := len(h.sends)
	is.True(running < 20) // a slot is free although eight lookups are stragglers
	h.enqueue("lookup", 1)
	is.Equal(len(h.sends), running+1)
}

// TestExceededRunTimeIsNotTrusted guards against a class that uses the slots
// reserved for lookups because of its short estimated run time, although its
// running attempts have long exceeded that estimate.
func TestExceededRunTimeIsNotTrusted(t *testing.T) {
	is := is.New(t)
	h := newHarness(10)
	h.train("lookup", 20, 10*time.Millisecond)
	h.train("match", 20, 10*time.Millisecond)
	h.enqueue("match", 4)
	is.Equal(len(h.sends), 4)
	h.advance(10 * time.Second)
	h.enqueue("match", 100)
	running := len(h.sends)
	is.True(running < 10)
	h.enqueue("lookup", 1)
	is.Equal(len(h.sends), running+1)
}

// TestRestartedRequestIsNotDropped guards against a lookup that is answered with an
// unknown outcome after its straggler was aborted, because it is past its finish
// target by then. It is idempotent and can be sent again.
func TestRestartedRequestIsNotDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.train("lookup", 20, 10*time.Millisecond)
	h.enqueue("lookup", 1)
	h.advance(10 * time.Second) // far beyond its finish target
	is.Equal(len(h.aborts), 1)
	h.finish(h.sends[0], dispatch.ResultAborted)
	is.Equal(len(h.sends), 2)
	is.Equal(len(h.unknowns), 0)
}

// TestNonUrgentDemandIsBounded guards against a long non-urgent queue at one VM
// whose demand leaves the other VMs of the data centre without slots.
func TestNonUrgentDemandIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(10)
	for _, s := range []string{"s0", "s1", "s2"} {
		h.apply(dispatch.ServerChanged{Server: s, DataCentre: "krk-a", Health: dispatch.HealthLive, Slots: 8})
	}
	h.train("analysis", 20, 10*time.Second)
	h.enqueue("analysis", 10000)
	h.advance(time.Second)
	is.Equal(h.demand["krk-a"], 24) // all slots of the data centre
}

// TestNonUrgentDemandUsesIdleSlots guards against a queue that demands only what its
// targets need, so that it drains slowly while slots are idle.
func TestNonUrgentDemandUsesIdleSlots(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.train("analysis", 20, 10*time.Millisecond)
	h.enqueue("analysis", 100)
	h.advance(time.Second)
	is.True(h.demand["krk-a"] >= 4+8)
}

// TestRestartDoesNotRaiseDemand guards against a demand that jumps when a straggler
// is aborted and its request returns to the head of the queue: its age must not
// count for the requests behind it, or the broker takes free slots from other VMs.
func TestRestartDoesNotRaiseDemand(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.train("analysis", 200, time.Second)
	h.enqueue("analysis", 1)
	straggler := h.sends[0]
	h.advance(50 * time.Second) // of 60 s to its start target
	is.Equal(len(h.aborts), 1)
	h.enqueue("analysis", 1)
	h.setSlots("s0", "krk-a", 1)
	h.enqueue("analysis", 100)
	h.advance(time.Second)
	before := h.demand["krk-a"]
	h.finish(straggler, dispatch.ResultAborted)
	h.advance(time.Second)
	is.Equal(len(h.sends), 2)
	is.True(h.demand["krk-a"] <= before)
}

// TestCancelledAttemptsAreNotObserved guards against cancelled attempts that count
// as short run times: a burst of them would make a long class look short, and it
// would no longer leave slots free for lookups.
func TestCancelledAttemptsAreNotObserved(t *testing.T) {
	is := is.New(t)
	h := newHarness(40)
	h.train("analysis", 20, time.Second)
	h.enqueue("analysis", 30)
	for _, s := range h.sends {
		h.apply(dispatch.Cancel{ID: s.ID, Reason: "caller disconnected"})
		h.finish(s, dispatch.ResultAborted)
	}
	h.advance(time.Second)
	is.Equal(len(h.unknowns), 30)
	is.True(h.d.Stats(h.now).Classes[2].RunTimeP50 >= time.Second)
}
