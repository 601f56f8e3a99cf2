package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/structs"
)

// rig applies events and collects actions by kind.
type rig struct {
	d        *dispatch.Dispatcher
	now      time.Duration
	sends    []dispatch.Send
	rejects  []dispatch.Reject
	unknown  []dispatch.ReportUnknown
	complete []dispatch.Complete
	aborts   []dispatch.Abort
	logs     []dispatch.LogStart
	wants    map[string]int
	next     int
}

func newRig(slots int) *rig {
	r := &rig{
		d:     dispatch.New(dispatch.Options{Seed: 1, DataCentre: "krk-a", Classes: testClasses}),
		wants: make(map[string]int),
	}
	r.hold("s0", "krk-a", slots)
	return r
}

func (r *rig) apply(ev dispatch.Event) {
	for _, a := range r.d.Apply(r.now, ev) {
		switch a := a.(type) {
		case dispatch.Send:
			r.sends = append(r.sends, a)
		case dispatch.Reject:
			r.rejects = append(r.rejects, a)
		case dispatch.ReportUnknown:
			r.unknown = append(r.unknown, a)
		case dispatch.Complete:
			r.complete = append(r.complete, a)
		case dispatch.Abort:
			r.aborts = append(r.aborts, a)
		case dispatch.LogStart:
			r.logs = append(r.logs, a)
		case dispatch.SlotDemand:
			r.wants[a.DataCentre] = a.Slots
		}
	}
}

func (r *rig) hold(server, centre string, slots int) {
	r.apply(dispatch.SlotsChanged{Server: server, DataCentre: centre, Count: slots, Expires: 1000 * time.Hour})
}

func (r *rig) enqueue(class string, n int) {
	for range n {
		r.next++
		c, _ := (&structs.ClusterConfig{Classes: testClasses}).Class(class)
		r.apply(dispatch.Enqueue{
			ID: fmt.Sprintf("%s-%d", class, r.next), Class: class, NonIdempotent: c.NonIdempotent, At: r.now,
		})
	}
}

// pass lets time pass with ticks.
func (r *rig) pass(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += min(100*time.Millisecond, end-r.now)
		r.apply(dispatch.Tick{})
	}
}

func (r *rig) finish(s dispatch.Send, result dispatch.Result) {
	r.apply(dispatch.Finished{ID: s.ID, Attempt: s.Attempt, Result: result})
}

// teach runs n requests of a class, one after the other.
func (r *rig) teach(class string, n int, run time.Duration) {
	for range n {
		r.enqueue(class, 1)
		r.pass(run)
		r.finish(r.sends[len(r.sends)-1], dispatch.ResultOK)
	}
	r.pass(100 * time.Millisecond)
	r.sends = nil
}

// TestLongWorkLeavesSlotsFree guards against long work that takes the last slot,
// so that a lookup waits for its end.
func TestLongWorkLeavesSlotsFree(t *testing.T) {
	is := is.New(t)
	r := newRig(20)
	r.teach("lookup", 20, 10*time.Millisecond)
	r.teach("analysis", 20, 2*time.Second)
	r.enqueue("analysis", 100)
	is.True(len(r.sends) < 20)
	is.True(len(r.sends) >= 10) // most slots serve long work all the same
	before := len(r.sends)
	r.enqueue("lookup", 1)
	is.Equal(len(r.sends), before+1)
	is.Equal(r.sends[before].ID[:6], "lookup")
}

// TestOrderBySlack guards against an order by arrival across classes, and
// against overdue work that makes all later work late too.
func TestOrderBySlack(t *testing.T) {
	for _, test := range []struct {
		name    string
		waits   time.Duration
		second  string
		longest string
	}{
		{"less slack first", time.Second, "match", "match"},
		{"aged work first", 50 * time.Second, "match", "analysis"},
		{"overdue work last", 70 * time.Second, "match", "match"},
		{"overdue work returns by aging", 400 * time.Second, "match", "analysis"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(0)
			r.enqueue("analysis", 1)
			r.pass(test.waits)
			r.enqueue(test.second, 1)
			r.hold("s0", "krk-a", 2)
			is.True(len(r.sends) > 0)
			is.Equal(r.sends[0].ID[:len(test.longest)], test.longest)
		})
	}
}

// TestStragglerRestart guards against stragglers that hold a slot for good, and
// against a second attempt before the first has ended.
func TestStragglerRestart(t *testing.T) {
	is := is.New(t)
	r := newRig(4)
	r.hold("s1", "krk-a", 4)
	r.teach("analysis", 30, time.Second)
	r.enqueue("analysis", 1)
	r.pass(3 * time.Second)
	is.Equal(len(r.aborts), 0)
	r.pass(3 * time.Second)
	is.Equal(len(r.aborts), 1)
	is.Equal(len(r.sends), 1) // not before the first has ended
	first := r.sends[0]
	r.finish(first, dispatch.ResultAborted)
	is.Equal(len(r.sends), 2)
	is.True(r.sends[1].Server != first.Server)
	is.Equal(r.sends[1].Attempt, 2)
	r.finish(first, dispatch.ResultOK) // late: the answer of the ended attempt
	is.Equal(len(r.complete), 30)
	r.pass(time.Minute)
	is.Equal(len(r.aborts), 1) // a request is restarted once
	r.finish(r.sends[1], dispatch.ResultOK)
	is.Equal(r.complete[30].Attempt, 2)
	is.Equal(r.d.Stats(r.now).Aborted, uint64(1))
}

// TestNonIdempotentStragglerIsLeft guards against a stopped part order.
func TestNonIdempotentStragglerIsLeft(t *testing.T) {
	is := is.New(t)
	r := newRig(4)
	r.teach("match", 30, 100*time.Millisecond)
	r.enqueue("match", 1)
	r.pass(time.Hour)
	is.Equal(len(r.aborts), 0)
}

// TestEarlyRejection guards against urgent callers that wait in vain, and
// against patient work that is refused while the queue has room.
func TestEarlyRejection(t *testing.T) {
	is := is.New(t)
	r := newRig(4)
	r.teach("lookup", 20, 20*time.Millisecond)
	r.enqueue("lookup", 200)
	is.True(len(r.rejects) > 100)
	is.True(len(r.rejects) < 180)
	for _, reject := range r.rejects {
		is.True(reject.RetryAfter > 0)
	}
	rejected := len(r.rejects)
	r.pass(2 * time.Second)
	is.Equal(len(r.rejects), 196) // queued ones can no longer finish in time
	is.True(rejected < 196)
	r.enqueue("analysis", 1000)
	r.pass(time.Hour)
	is.Equal(len(r.rejects), 196)
}

// TestQueueLimit guards against a queue that grows until the VM's memory is full.
func TestQueueLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(0)
	r.enqueue("analysis", 20010)
	is.Equal(len(r.rejects), 10)
	is.True(r.rejects[0].RetryAfter > 0)
	is.Equal(r.d.Stats(r.now).QueueLength, 20000)
}

// TestOtherDataCentres guards against a swing of demand that overloads the
// neighbours, and against work that waits here beyond its target while they have
// room.
func TestOtherDataCentres(t *testing.T) {
	is := is.New(t)
	r := newRig(40)
	r.teach("analysis", 30, 10*time.Second)
	r.hold("far", "kat-a", 40)
	r.enqueue("analysis", 30)
	for _, s := range r.sends {
		is.Equal(s.Server, "s0")
	}
	r.enqueue("analysis", 1000) // far more than can start here within a minute
	away := 0
	for _, s := range r.sends {
		if s.Server == "far" {
			away++
		}
	}
	is.Equal(away, 10) // a quarter of the slots held here
	r.pass(time.Second)
	is.Equal(r.wants["kat-a"], 10)
	// About 980 requests of 10 s wait for slots and have 60 s left.
	is.True(r.wants["krk-a"] > 600)
	is.True(r.wants["krk-a"] < 700)
}

// TestRetryBudget guards against retries that multiply the load when everything
// fails.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(1000)
	r.teach("analysis", 100, time.Second) // earns 10 beyond the initial 10
	r.enqueue("analysis", 500)
	for i := 0; i < len(r.sends); i++ {
		r.finish(r.sends[i], dispatch.ResultLost)
		r.pass(100 * time.Millisecond)
	}
	r.pass(10 * time.Second)
	stats := r.d.Stats(r.now)
	is.True(stats.Retried <= 20)
	is.True(len(r.unknown) >= 480)
	for range 10 {
		for i := 0; i < len(r.sends); i++ {
			r.finish(r.sends[i], dispatch.ResultLost)
		}
		r.pass(10 * time.Second)
	}
	is.Equal(len(r.unknown), 500)
}

// TestRefusingServerIsPaused guards against a request that is sent again and
// again, without a pause, to a server that refuses it.
func TestRefusingServerIsPaused(t *testing.T) {
	is := is.New(t)
	r := newRig(1)
	r.enqueue("match", 1)
	for range 100 {
		if last := r.sends[len(r.sends)-1]; last.Attempt == len(r.sends) {
			r.finish(last, dispatch.ResultRefused)
		}
		r.pass(100 * time.Millisecond)
	}
	is.True(len(r.sends) > 3)
	is.True(len(r.sends) < 10)
	r.pass(10 * time.Second)
	r.finish(r.sends[len(r.sends)-1], dispatch.ResultOK)
	is.Equal(len(r.complete), 1)
}

// TestLogAhead guards against a start record for each queued request, and
// against requests that wait for the log only when their turn has come.
func TestLogAhead(t *testing.T) {
	is := is.New(t)
	r := newRig(1)
	for i := range 100 {
		r.apply(dispatch.Enqueue{ID: fmt.Sprint(i), Class: "match", NonIdempotent: true, MustLogStart: true})
	}
	is.Equal(len(r.logs), 32)
	is.Equal(len(r.sends), 0)
	r.apply(dispatch.StartLogged{ID: "0"})
	is.Equal(r.sends[0].ID, "0")
	is.Equal(len(r.logs), 33) // the next in turn
	r.apply(dispatch.Cancel{ID: "1", Reason: "log is down"})
	is.Equal(r.rejects[0], dispatch.Reject{ID: "1", Reason: "log is down"})
	is.Equal(len(r.logs), 34)
}

// TestClassesChanged guards against queued requests that are forgotten when their
// class goes, and against new ones of a class that has gone.
func TestClassesChanged(t *testing.T) {
	is := is.New(t)
	r := newRig(0)
	r.enqueue("analysis", 1)
	r.apply(dispatch.ClassesChanged{Classes: testClasses[:1]})
	r.enqueue("analysis", 1)
	is.Equal(len(r.rejects), 1)
	r.hold("s0", "krk-a", 8)
	is.Equal(len(r.sends), 1)
	r.finish(r.sends[0], dispatch.ResultOK)
	is.Equal(len(r.complete), 1)
	r.apply(dispatch.ClassesChanged{Classes: testClasses})
	r.enqueue("analysis", 1)
	is.Equal(len(r.sends), 2)
}

// TestGoneServer guards against servers that pile up as VMs are replaced, and
// against a slot that is used after its server has gone.
func TestGoneServer(t *testing.T) {
	is := is.New(t)
	r := newRig(2)
	r.enqueue("analysis", 1)
	r.apply(dispatch.ServerChanged{Server: "s0", DataCentre: "krk-a", Health: dispatch.HealthRemoved})
	r.enqueue("analysis", 1)
	is.Equal(len(r.sends), 1)
	r.pass(time.Second)
	is.Equal(len(r.d.Holdings(r.now)), 1) // one attempt is still live
	r.finish(r.sends[0], dispatch.ResultLost)
	r.pass(time.Second)
	is.Equal(len(r.d.Holdings(r.now)), 0)
}

// Guards against a caller of an urgent class that is told to come back after a
// minute or more while its VM merely waits for its first slots.
func TestRetryAfterWithoutSlots(t *testing.T) {
	is := is.New(t)
	d := dispatch.New(dispatch.Options{DataCentre: "krk-a", Classes: []structs.Class{{
		Name: "hotline-lookup", Kind: structs.KindRequest, StartTarget: 2 * time.Second, FinishTarget: 8 * time.Second,
	}}})
	d.Apply(0, dispatch.Enqueue{ID: "a", Class: "hotline-lookup"})
	var rejected *dispatch.Reject
	for now := time.Duration(0); now < time.Minute && rejected == nil; now += time.Second {
		for _, a := range d.Apply(now, dispatch.Tick{}) {
			if r, ok := a.(dispatch.Reject); ok {
				rejected = &r
			}
		}
	}
	is.True(rejected != nil)
	is.True(rejected.RetryAfter > 0 && rejected.RetryAfter <= 10*time.Second)
}
