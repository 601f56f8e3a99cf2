package fleet_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/platform"
	"gypsumwinch/standin/fleet"
)

const jobID = "00000000000000aa"

// testFleet is a fleet of two workers with the adapter's client.
type testFleet struct {
	*fleet.Fleet
	t      *testing.T
	client *platform.WorkerClient
	addrs  map[string]string
	w      map[string]*fleet.Worker
}

func newTestFleet(t *testing.T, steps ...fleet.Step) *testFleet {
	t.Helper()
	f := &testFleet{Fleet: fleet.New(1), t: t, client: platform.NewWorkerClient(0), addrs: map[string]string{}, w: map[string]*fleet.Worker{}}
	for _, id := range []string{"a", "b"} {
		f.w[id] = f.AddWorker(id, 2000, 2000)
		server := httptest.NewServer(f.w[id].Handler())
		t.Cleanup(server.Close)
		f.addrs[id] = server.Listener.Addr().String()
	}
	f.AddJob(fleet.Job{ID: jobID, Spec: "spec", Steps: steps, MaxAttempts: 2})
	stop := make(chan struct{})
	go f.Run(stop)
	t.Cleanup(func() { close(stop) })
	return f
}

// start starts a run of a task of the job.
func (f *testFleet) start(worker string, step, index, run int) cell.Refusal {
	f.t.Helper()
	task := cell.TaskID{StepID: cell.StepID{Job: jobID, Step: step}, Index: index}
	_, refused, err := f.client.Start(context.Background(), cell.Start{Task: task, Run: run, Worker: worker, Addr: f.addrs[worker], Spec: "spec", LeaseEnd: time.Hour, Token: 1})
	if err != nil {
		f.t.Fatal(err)
	}
	return refused
}

// renew renews the lease and waits for an end, if there is none beyond the cursor yet.
func (f *testFleet) renew(worker string, cursor int64) cell.Inventory {
	f.t.Helper()
	inv, _, err := f.client.Renew(context.Background(), cell.Renewal{Worker: worker, Addr: f.addrs[worker], Token: 1, LeaseEnd: time.Hour, Cursor: cursor, Wait: 2 * time.Second})
	if err != nil {
		f.t.Fatal(err)
	}
	return inv
}

// broken returns the rules that were broken.
func (f *testFleet) broken() string {
	var rules []string
	for _, v := range f.Violations() {
		rules = append(rules, strings.TrimSuffix(strings.Fields(v)[1], ":"))
	}
	return strings.Join(rules, " ")
}

func short() fleet.Step { return fleet.Step{Count: 1, MilliCPU: 1000, Duration: time.Millisecond} }

func long() fleet.Step { return fleet.Step{Count: 1, MilliCPU: 1000, Duration: time.Hour} }

// TestTwoRunsOfATaskAreSeen guards against a fleet that misses a task that runs twice at a time.
func TestTwoRunsOfATaskAreSeen(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, long())
	is.Equal(f.start("a", 0, 0, 1), cell.RefusedNone)
	is.Equal(f.start("a", 0, 0, 1), cell.RefusedNone) // a repetition
	is.Equal(f.broken(), "")
	is.Equal(f.start("b", 0, 0, 2), cell.RefusedNone)
	is.Equal(f.broken(), "TWICE")
}

// TestRunAfterAnAcknowledgedEndIsSeen guards against a fleet that misses a task that runs again after its end was taken note of, also if that comes later.
func TestRunAfterAnAcknowledgedEndIsSeen(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, short())
	f.start("a", 0, 0, 1)
	is.Equal(len(f.renew("a", 0).FinishedRuns), 1)
	time.Sleep(time.Millisecond)
	f.start("b", 0, 0, 2)
	is.Equal(f.broken(), "")
	_, _, _ = f.client.Renew(context.Background(), cell.Renewal{Worker: "a", Addr: f.addrs["a"], Token: 1, Cursor: 1})
	is.Equal(f.broken(), "TWICE")
}

// TestOverfullWorkerIsSeen guards against a fleet that misses a worker over its capacity.
func TestOverfullWorkerIsSeen(t *testing.T) {
	is := is.New(t)
	step := long()
	step.Count = 3
	f := newTestFleet(t, step)
	f.start("a", 0, 0, 1)
	f.start("a", 0, 1, 1)
	is.Equal(f.broken(), "")
	f.start("a", 0, 2, 1)
	is.Equal(f.broken(), "LIMIT")
}

// TestEarlyStepIsSeen guards against a fleet that misses a step that starts before the one it depends on has ended.
func TestEarlyStepIsSeen(t *testing.T) {
	is := is.New(t)
	second := long()
	second.DependsOn = []int{0}
	f := newTestFleet(t, long(), second)
	f.start("a", 0, 0, 1)
	f.start("b", 1, 0, 1)
	is.Equal(f.broken(), "ORDER")
}

// TestRunBeyondTheAttemptsIsSeen guards against a fleet that misses a run after the last permitted failure.
func TestRunBeyondTheAttemptsIsSeen(t *testing.T) {
	is := is.New(t)
	step := short()
	step.FailureRate = 1
	f := newTestFleet(t, step)
	for run := 1; run <= 2; run++ {
		f.start("a", 0, 0, run)
		f.renew("a", int64(run-1))
	}
	_, _, _ = f.client.Renew(context.Background(), cell.Renewal{Worker: "a", Addr: f.addrs["a"], Token: 1, Cursor: 2})
	is.Equal(f.broken(), "")
	f.start("b", 0, 0, 3)
	is.Equal(f.broken(), "BUDGET")
}

// TestRefusedJobThatRunsIsSeen guards against a fleet that misses a job that runs although its caller was told that it was not run.
func TestRefusedJobThatRunsIsSeen(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, long())
	f.RejectJob(jobID)
	f.start("a", 0, 0, 1)
	is.Equal(f.broken(), "REFUSED")
}

// TestLeaseEndsRuns guards against workers whose runs outlive their lease.
func TestLeaseEndsRuns(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, long())
	task := cell.TaskID{StepID: cell.StepID{Job: jobID}}
	refused := cell.RefusedLeaseExpired
	for refused == cell.RefusedLeaseExpired { // the process may be paused between the two calls
		inv, _, err := f.client.Renew(context.Background(), cell.Renewal{Worker: "a", Addr: f.addrs["a"], Token: 1})
		is.NoErr(err)
		_, refused, err = f.client.Start(context.Background(), cell.Start{Task: task, Run: 1, Worker: "a", Addr: f.addrs["a"], Spec: "spec", LeaseEnd: inv.Clock + time.Second, Token: 1})
		is.NoErr(err)
	}
	is.Equal(refused, cell.RefusedNone)
	for len(f.RunningTasks(jobID)) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.renew("a", 0).FinishedRuns[0].Outcome, cell.OutcomeLeaseExpired)
}

// TestLowerTokenIsRefused guards against workers that obey a former owner.
func TestLowerTokenIsRefused(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, long())
	f.renewWith(t, 5)
	_, refused, err := f.client.Renew(context.Background(), cell.Renewal{Worker: "a", Addr: f.addrs["a"], Token: 4})
	is.NoErr(err)
	is.Equal(refused, cell.RefusedStaleToken)
}

func (f *testFleet) renewWith(t *testing.T, token int64) {
	t.Helper()
	if _, _, err := f.client.Renew(context.Background(), cell.Renewal{Worker: "a", Addr: f.addrs["a"], Token: token}); err != nil {
		t.Fatal(err)
	}
}

// TestGangEndsTogether guards against members of a gang that work before all are present, or end apart.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, fleet.Step{Count: 2, MilliCPU: 1000, Duration: time.Millisecond, Gang: true})
	f.start("a", 0, 0, 1)
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(f.RunningTasks(jobID)), 1)
	f.start("b", 0, 1, 1)
	is.Equal(f.renew("a", 0).FinishedRuns[0].Outcome, cell.OutcomeDone)
	is.Equal(f.renew("b", 0).FinishedRuns[0].Outcome, cell.OutcomeDone)
	done, _ := f.IsDone(jobID)
	is.True(done)
}

// TestRunsAreListed guards against a record of runs that lacks their ends, or does not tell the starts that were carried out late.
func TestRunsAreListed(t *testing.T) {
	is := is.New(t)
	step := short()
	step.Count = 2
	f := newTestFleet(t, step)
	f.start("a", 0, 0, 1)
	f.renew("a", 0)
	f.w["b"].SetOrderFault(fleet.OrderFault{LateShare: 1, LateBy: 10 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	task := cell.TaskID{StepID: cell.StepID{Job: jobID}, Index: 1}
	_, _, err := f.client.Start(ctx, cell.Start{Task: task, Run: 1, Worker: "b", Addr: f.addrs["b"], Spec: "spec", LeaseEnd: time.Hour, Token: 1})
	is.True(err != nil)
	for len(f.Runs(jobID)) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	runs := f.Runs(jobID)
	is.Equal(runs[0].Worker, "a")
	is.True(!runs[0].IsLate)
	is.True(!runs[0].EndedAt.IsZero())
	is.Equal(runs[1].Worker, "b")
	is.True(runs[1].IsLate)
}
