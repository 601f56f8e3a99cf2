package owner

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// startGangOfTwo submits a gang with one member each on workers w and z; the one on w is confirmed,
// and the first start request of the one on z gets no answer. It returns the latter.
func startGangOfTwo(f *fixture) cell.Start {
	f.t.Helper()
	f.addWorker("z", 1000)
	f.apply(JobSubmitted{Job: newJob("j", newGang(2))})
	f.scheduleAndRecord()
	var unanswered cell.Start
	starts := actionsOf[SendStart](f)
	if len(starts) != 2 {
		f.t.Fatalf("%d start requests are sent, not 2", len(starts))
	}
	for _, s := range starts {
		if s.Start.Worker == "w" {
			f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "w"})
			continue
		}
		unanswered = s.Start
		f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "z", Err: errNoAnswer})
	}
	f.clearActions()
	return unanswered
}

// isStopSent reports whether a stop request has been sent to a worker.
func isStopSent(f *fixture, worker string) bool {
	for _, s := range actionsOf[SendStop](f) {
		if s.Stop.Worker == worker {
			return true
		}
	}
	return false
}

// TestGangStopsWhenARepeatedStartIsRefused guards against a member that runs alone while the owner waits until a
// start request without an answer is closed, whose repetition was refused (GANG 4 on desai-pramaan-grown, issue 25).
func TestGangStopsWhenARepeatedStartIsRefused(t *testing.T) {
	for _, refusal := range []cell.Refusal{cell.RefusedTicket, cell.RefusedCapacity, cell.RefusedLeaseExpired, cell.RefusedBusy} {
		t.Run(string(refusal), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 1000)
			start := startGangOfTwo(f)
			f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "z", Refusal: refusal})
			is.True(isStopSent(f, "z")) // the first request may still be carried out
			is.True(isStopSent(f, "w")) // the other member would wait for it in vain
		})
	}
}

// TestGangStopsWhenAnUnansweredMemberRestarts guards against a member that runs alone while the owner waits for the
// new incarnation of the other's worker to answer the stop request.
func TestGangStopsWhenAnUnansweredMemberRestarts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startGangOfTwo(f)
	f.apply(RenewResult{Worker: "z", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1,
		ActiveRuns: []cell.ActiveRun{{Task: start.Task.String(), Run: start.Run}}}})
	f.clearActions()
	restarted := restartedWorker(2)
	restarted.ID, restarted.Addr = "z", "z:1"
	f.apply(WorkersListed{Workers: []cell.Worker{restarted}})
	is.True(isStopSent(f, "z"))
	is.True(isStopSent(f, "w"))
}
