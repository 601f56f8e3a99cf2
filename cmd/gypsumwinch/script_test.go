package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"gypsumwinch/internal/audit"
	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// TestMain makes the tool available to the scripts as the program gypsumwinch.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gypsumwinch": main,
	})
}

// Guards against wrong exit codes and output of the commands. Each script in
// testdata/script says at its head which failure it guards against. It has a fake
// entry VM of its own at $GYPSUMWINCH_ADDR; nothing listens at $CLOSED.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			vm := newFakeEntryVM()
			server := httptest.NewServer(vm.handler())
			env.Defer(server.Close)
			closed := httptest.NewServer(nil)
			closed.Close()
			env.Setenv("GYPSUMWINCH_ADDR", strings.TrimPrefix(server.URL, "http://"))
			env.Setenv("CLOSED", strings.TrimPrefix(closed.URL, "http://"))
			env.Setenv("USER", "asha")
			env.Setenv("NEWID", ulid.Make().String())
			env.Values["vm"] = vm
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// fault FAULT sets the fault of the entry VM.
			"fault": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("vm").(*fakeEntryVM).setFault(args[0])
			},
			// exits CODE ARGS runs a command line and checks its exit code.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec("gypsumwinch", args[1:]...)
				got := "0"
				if err != nil {
					got = strings.TrimPrefix(err.Error(), "exit status ")
				}
				if got != args[0] {
					ts.Fatalf("exit code %s, want %s", got, args[0])
				}
			},
		},
	})
}

// fakeEntryVM answers the requests of callers and operators as an entry VM does,
// from a configuration state and jobs in memory.
type fakeEntryVM struct {
	mu              sync.Mutex
	state           *configstate.State
	trail           *audit.Trail
	nextAuditOffset int64
	jobs            map[string]*structs.Job
	// fault is none, lost (the answer to a publication or submission is lost
	// after it took effect), dropped (a publication is lost before it takes
	// effect) or down (submissions are not run because the log is down).
	fault string
}

// newFakeEntryVM returns an entry VM without configuration and jobs. Each script
// gets its own.
func newFakeEntryVM() *fakeEntryVM {
	return &fakeEntryVM{state: configstate.New(), trail: audit.New(), jobs: map[string]*structs.Job{}}
}

// setFault sets the fault for the next requests. The script command fault calls it.
func (v *fakeEntryVM) setFault(fault string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = fault
}

// handler returns the HTTP handler with the routes of operators and callers.
func (v *fakeEntryVM) handler() http.Handler {
	e := echo.New()
	operatorapi.Register(e, v)
	e.POST("/v1/jobs", v.submit)
	e.GET("/v1/jobs/:id", v.job)
	e.DELETE("/v1/jobs/:id", v.cancel)
	return e
}

// PublishConfig decides a publication at once, or loses the request or the answer
// according to the fault. It implements operatorapi.Backend.
func (v *fakeEntryVM) PublishConfig(_ context.Context, req operatorapi.PublishRequest) (operatorapi.PublishResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault == "dropped" {
		panic(http.ErrAbortHandler)
	}
	p := operatorapi.RecordOf(req, v.state.Next()-1, time.Now())
	effect := v.state.Apply(v.state.Next(), records.Record{ConfigPublish: &p})
	for _, rec := range audit.Entries(effect) {
		v.trail.Apply(v.nextAuditOffset, rec)
		v.nextAuditOffset++
	}
	if v.fault == "lost" {
		panic(http.ErrAbortHandler)
	}
	d, _ := v.state.Decision(req.ID)
	return operatorapi.PublishResponseOf(d), nil
}

// Config implements operatorapi.Backend.
func (v *fakeEntryVM) Config(context.Context) (operatorapi.Config, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return operatorapi.ConfigOf(v.state), nil
}

// ConfigHistory implements operatorapi.Backend.
func (v *fakeEntryVM) ConfigHistory(_ context.Context, q operatorapi.HistoryQuery) (operatorapi.History, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return operatorapi.HistoryOf(v.state, q, true), nil
}

// Audit implements operatorapi.Backend.
func (v *fakeEntryVM) Audit(_ context.Context, limit int) (operatorapi.Audit, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return operatorapi.AuditOf(v.trail.Newest(limit)), nil
}

// Classes returns one class that misses its target. It implements
// operatorapi.Backend.
func (v *fakeEntryVM) Classes(context.Context) (operatorapi.Classes, error) {
	return operatorapi.Classes{Version: 0, Classes: []operatorapi.Class{{
		Class: structs.Class{Name: "label-check", Kind: structs.KindRequest, StartTarget: time.Second, FinishTarget: 5 * time.Second},
		State: operatorapi.TargetMissed, Reason: "wait to start", Waiting: 3, WaitP99: 1500 * time.Millisecond,
	}}}, nil
}

// Workers implements operatorapi.Backend.
func (v *fakeEntryVM) Workers(context.Context) (operatorapi.Workers, error) {
	return operatorapi.Workers{Workers: []operatorapi.Worker{{ID: "w1", State: "set_aside", Reason: "5 failures"}}}, nil
}

// VMs implements operatorapi.Backend.
func (v *fakeEntryVM) VMs(context.Context) (operatorapi.VMs, error) {
	return operatorapi.VMs{VMs: []operatorapi.VM{{VM: structs.VM{ID: "e1", Kind: structs.VMEntry, State: structs.VMLeaving}}}}, nil
}

// Status implements operatorapi.Backend.
func (v *fakeEntryVM) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{VM: "e1", DataCentre: "rajkot", Owner: operatorapi.Owner{VM: "e2", Term: 4}, SlotsHeld: map[string]int{"s1": 2}}, nil
}

// ExplainJob explains that the job is too large for every worker. It implements
// operatorapi.Backend.
func (v *fakeEntryVM) ExplainJob(_ context.Context, id string) (operatorapi.Explanation, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.jobs[id] == nil {
		return operatorapi.Explanation{}, notFound(id)
	}
	return operatorapi.Explanation{Job: id, State: "pending", Groups: []operatorapi.GroupExplanation{
		{Name: "main", Pending: 1, CanNeverRun: true, Reasons: []string{"needs 99 cores, the largest worker has 64"}},
	}}, nil
}

// Handover returns a report with one failure. It implements operatorapi.Backend.
func (v *fakeEntryVM) Handover(ctx context.Context) (operatorapi.Handover, error) {
	classes, _ := v.Classes(ctx)
	status, _ := v.Status(ctx)
	changes, _ := v.Audit(ctx, 10)
	return operatorapi.Handover{Status: status, Classes: classes.Classes, Changes: changes.Entries, Failures: []operatorapi.Failure{
		{What: "worker w1 fails every task", Action: "it gets no tasks and is probed again"},
	}}, nil
}

// notFound returns the error of an entry VM for an unknown job.
func notFound(id string) error {
	return &operatorapi.Error{Code: http.StatusNotFound, ErrorBody: operatorapi.ErrorBody{Message: "no such job", Field: "id", Value: id}}
}

// submit answers POST /v1/jobs: it accepts the job, unless the fault is down, and
// loses the answer if the fault is lost.
func (v *fakeEntryVM) submit(c echo.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var spec callerapi.JobBody
	if err := c.Bind(&spec); err != nil {
		return operatorapi.WriteError(c, &operatorapi.Error{Code: 400, ErrorBody: operatorapi.ErrorBody{Message: err.Error()}})
	}
	if v.fault == "down" {
		return c.JSON(http.StatusServiceUnavailable, callerapi.Answer{ID: spec.ID, Status: structs.StatusNotRun, Reason: "the log is down"})
	}
	v.jobs[spec.ID] = &structs.Job{ID: spec.ID, Team: spec.Team}
	if v.fault == "lost" {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, callerapi.Answer{ID: spec.ID, Status: structs.StatusCompleted})
}

// job answers GET /v1/jobs/:id.
func (v *fakeEntryVM) job(c echo.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	job := v.jobs[c.Param("id")]
	if job == nil {
		return operatorapi.WriteError(c, notFound(c.Param("id")))
	}
	return c.JSON(http.StatusOK, job)
}

// cancel answers DELETE /v1/jobs/:id. It removes the job.
func (v *fakeEntryVM) cancel(c echo.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := c.Param("id")
	if v.jobs[id] == nil {
		return operatorapi.WriteError(c, notFound(id))
	}
	delete(v.jobs, id)
	return c.JSON(http.StatusOK, callerapi.Answer{ID: id, Status: structs.StatusCompleted})
}
