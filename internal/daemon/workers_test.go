package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
)

func (b *bench) restart(id string) {
	b.t.Helper()
	b.setFaults(id, `{"dead":true}`)
	b.setFaults(id, `{}`)
}

func (b *bench) setFaults(id, faults string) {
	b.t.Helper()
	if err := b.workers[id].SetFaults(json.RawMessage(faults)); err != nil {
		b.t.Fatal(err)
	}
}

// Guards against tasks that hang for ever after their worker restarted within
// its lease: it renews as before, but the tasks have ended without a report.
func TestRestartedWorkerLosesItsTasks(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	b.own()
	b.submit(false)
	b.until("the task runs", b.running)
	b.restart("w1")
	b.until("the task runs again", func() bool {
		a, ok := b.live()
		return ok && a.Number == 2 && b.running()
	})
	is.Equal(b.runs(), 2)
}

// Guards against operations with the term of the claim on a worker that leased
// with a later round of it, after another VM tried to take over: the worker
// refuses them, so that its tasks would neither start nor stop.
func TestOperationsUseTheTermOfTheLease(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1", "w2", "w3")
	b.own()
	round := b.c.term + 1
	w := b.c.workers["w1"]
	b.restart("w1")
	_, err := b.d.workers.Lease(t.Context(), w.vm.Addr, "other", round, time.Millisecond, time.Millisecond, workerclient.Ack{})
	is.NoErr(err)
	b.until("w1 is leased with a later round", func() bool { return w.isUp && w.leaseTerm > round })
	for _, id := range []string{"w2", "w3"} {
		b.c.workers[id].vm.State = "leaving"
		b.c.handleWorkerChange(b.c.workers[id])
	}
	b.submit(false)
	b.until("the task runs", b.running)
	for range 50 {
		b.step()
		is.True(b.c.ownershipMachine.Authority(b.c.now()).MayStartTasks)
		is.True(w.isUp)
	}
	is.Equal(b.runs(), 1)
}

// Guards against a second run of a non-idempotent task, by a start that is sent
// again to a worker that ran the task and restarted before it answered.
func TestNonIdempotentStartIsNotRepeated(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	b.own()
	b.setFaults("w1", `{"lose_start_answers":true}`)
	b.submit(true)
	b.until("the task was sent", func() bool { return b.runs() == 1 })
	b.restart("w1")
	// The start is due again before the restart is noticed.
	for _, s := range b.c.pendingStarts {
		s.sentAt -= resendInterval
	}
	b.c.resendDue()
	b.until("the task ended", func() bool {
		status, _ := b.c.jobs.Status(benchJob)
		return status.Finished
	})
	status, _ := b.c.jobs.Status(benchJob)
	is.Equal(status.Tasks[0].State, jobstate.Failed)
	is.Equal(b.runs(), 1)
}

// Guards against a non-idempotent task that is stopped although its worker
// reports that it runs, only because the answer to its start was lost.
func TestLostStartAnswerIsReplacedByReport(t *testing.T) {
	b := newBench(t, "w1")
	b.own()
	b.setFaults("w1", `{"lose_start_answers":true}`)
	b.submit(true)
	b.until("the task runs", b.running)
}

// Guards against a result that is lost because it was acknowledged before the
// record of its start was read: a new owner leases workers before it has read
// the jobs stream.
func TestNoAcknowledgementBeforeScheduling(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	w := b.c.workers["w1"]
	a := structs.Attempt{Task: structs.TaskID{Job: benchJob}, Number: 1, Worker: "w1"}
	report := workerclient.Report{Incarnation: "i", Finished: []workerclient.Finished{{Seq: 7, Attempt: a}}}
	b.c.handleReport(w, report)
	is.Equal(b.c.acknowledgement(w).Seq, int64(0))
	b.own()
	b.c.handleReport(w, report)
	is.Equal(b.c.acknowledgement(w).Seq, int64(7)) // no job knows it
}

// Guards against memory that grows with each peer that was replaced: peers that
// were never listed here can send heartbeats too.
func TestUnlistedPeersAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	peerHeard{dataCentre: "kat-a", addr: "127.0.0.1:3", configVersion: records.NoVersion, ownerTerm: records.NoTerm}.apply(b.c)
	vmsListed{at: time.Now()}.apply(b.c)
	is.Equal(len(b.c.peerSeen), 0)
}
