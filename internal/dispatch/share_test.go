package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/dispatch"
)

// TestPatientWorkWaitsAtHome guards against use of other data centres by work
// that meets its targets in its own.
func TestPatientWorkWaitsAtHome(t *testing.T) {
	is := is.New(t)
	r := newRig(8)
	r.teach("analysis", 20, time.Second)
	r.hold("far", "kat-a", 40)
	r.enqueue("analysis", 20)
	is.True(len(r.sends) < 20)
	for _, s := range r.sends {
		is.Equal(s.Server, "s0")
	}
	r.pass(time.Second)
	is.Equal(r.wants["kat-a"], 0)
}

// TestClassShare guards against a class whose long attempts take every slot
// while another class waits.
func TestClassShare(t *testing.T) {
	is := is.New(t)
	r := newRig(0)
	r.pass(20 * time.Second)
	r.enqueue("analysis", 100)
	r.enqueue("match", 100)
	r.hold("s0", "krk-a", 40)
	count := map[string]int{}
	for _, s := range r.sends {
		count[s.ID[:5]]++
	}
	is.Equal(count["match"], 30)
	is.Equal(count["analy"], 9) // one slot is kept for lookups
}

// TestNewVMKeepsSlotsFree guards against a VM that has just started and fills
// all slots with long work before it has learned what urgent work needs.
func TestNewVMKeepsSlotsFree(t *testing.T) {
	is := is.New(t)
	r := newRig(40)
	r.enqueue("analysis", 100)
	is.Equal(len(r.sends), 35)
	r.enqueue("lookup", 5)
	is.Equal(len(r.sends), 40)
}

// TestStuckLookupsAreNotReserve guards against a reserve that is used up by
// stragglers of the class that it is kept for.
func TestStuckLookupsAreNotReserve(t *testing.T) {
	is := is.New(t)
	r := newRig(20)
	r.teach("analysis", 20, 2*time.Second)
	r.teach("lookup", 20, 10*time.Millisecond)
	for i := range 8 {
		r.apply(dispatch.Enqueue{ID: fmt.Sprint(i), Class: "lookup", NonIdempotent: true, At: r.now})
	}
	r.pass(time.Minute)
	r.enqueue("analysis", 100)
	running := len(r.sends)
	is.True(running < 20) // a slot is free although lookups use eight
	r.enqueue("lookup", 1)
	is.Equal(len(r.sends), running+1)
}

// TestShortClassTurnsLong guards against trust in a learned run time that the
// running attempts have long exceeded: work learned as short gets no free pass
// to the slots kept for lookups.
func TestShortClassTurnsLong(t *testing.T) {
	is := is.New(t)
	r := newRig(10)
	r.teach("lookup", 20, 10*time.Millisecond)
	r.teach("match", 20, 10*time.Millisecond)
	r.enqueue("match", 4)
	is.Equal(len(r.sends), 4)
	r.pass(10 * time.Second)
	r.enqueue("match", 100)
	running := len(r.sends)
	is.True(running < 10)
	r.enqueue("lookup", 1)
	is.Equal(len(r.sends), running+1)
}

// TestRestartedRequestIsNotDropped guards against a lookup that is reported as
// unknown although it can simply be sent again after its attempt was stopped.
func TestRestartedRequestIsNotDropped(t *testing.T) {
	is := is.New(t)
	r := newRig(4)
	r.teach("lookup", 20, 10*time.Millisecond)
	r.enqueue("lookup", 1)
	r.pass(10 * time.Second) // far beyond its finish target
	is.Equal(len(r.aborts), 1)
	r.finish(r.sends[0], dispatch.ResultAborted)
	is.Equal(len(r.sends), 2)
	is.Equal(len(r.unknown), 0)
}

// TestPatientDemandIsBounded guards against a long queue of patient work at one
// VM whose demand leaves the other VMs of the data centre without slots.
func TestPatientDemandIsBounded(t *testing.T) {
	is := is.New(t)
	r := newRig(10)
	for _, s := range []string{"s0", "s1", "s2"} {
		r.apply(dispatch.ServerChanged{Server: s, DataCentre: "krk-a", Health: dispatch.HealthLive, Slots: 8})
	}
	r.teach("analysis", 20, 10*time.Second)
	r.enqueue("analysis", 10000)
	r.pass(time.Second)
	is.Equal(r.wants["krk-a"], 24) // all slots of the data centre
}

// TestPatientDemandUsesIdleSlots guards against a queue that asks only for what
// its targets need while slots are idle, and so drains late for no reason.
func TestPatientDemandUsesIdleSlots(t *testing.T) {
	is := is.New(t)
	r := newRig(4)
	r.teach("analysis", 20, 10*time.Millisecond)
	r.enqueue("analysis", 100)
	r.pass(time.Second)
	is.True(r.wants["krk-a"] >= 4+8)
}

// TestRestartDoesNotRaiseDemand guards against an aborted straggler at the head
// of the queue whose age makes the whole class look late, so that the demand
// jumps and the broker takes other VMs' free slots.
func TestRestartDoesNotRaiseDemand(t *testing.T) {
	is := is.New(t)
	r := newRig(4)
	r.teach("analysis", 200, time.Second)
	r.enqueue("analysis", 1)
	straggler := r.sends[0]
	r.pass(50 * time.Second) // of 60 s to its start target
	is.Equal(len(r.aborts), 1)
	r.enqueue("analysis", 1)
	r.hold("s0", "krk-a", 1)
	r.enqueue("analysis", 100)
	r.pass(time.Second)
	before := r.wants["krk-a"]
	r.finish(straggler, dispatch.ResultAborted)
	r.pass(time.Second)
	is.Equal(len(r.sends), 2)
	is.True(r.wants["krk-a"] <= before)
}

// TestCancelledAttemptsTeachNothing guards against a burst of cancellations that
// makes a long class look short, so that it no longer leaves slots to lookups.
func TestCancelledAttemptsTeachNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(40)
	r.teach("analysis", 20, time.Second)
	r.enqueue("analysis", 30)
	for _, s := range r.sends {
		r.apply(dispatch.Cancel{ID: s.ID, Reason: "caller has gone"})
		r.finish(s, dispatch.ResultAborted)
	}
	r.pass(time.Second)
	is.Equal(len(r.unknown), 30)
	is.True(r.d.Stats(r.now).Classes[2].RunTimeP50 >= time.Second)
}
