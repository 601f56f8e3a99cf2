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

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gypsumwinch": main,
	})
}

// Runs the scripts in testdata/script. Each has an entry VM of its own at
// $GYPSUMWINCH_ADDR, and nobody listens at $CLOSED.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			vm := newEntryVM()
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
			"fault": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("vm").(*entryVM).setFault(args[0])
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

// entryVM answers as an entry VM does, from a log in memory.
type entryVM struct {
	mu    sync.Mutex
	state *configstate.State
	trail *audit.Trail
	audit int64
	jobs  map[string]*structs.Job
	// fault is none, lost (the answer to a publication or job is lost after it
	// took effect), dropped (it is lost before) or down (the log is down).
	fault string
}

func newEntryVM() *entryVM {
	return &entryVM{state: configstate.New(), trail: audit.New(), jobs: map[string]*structs.Job{}}
}

func (v *entryVM) setFault(fault string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = fault
}

func (v *entryVM) handler() http.Handler {
	e := echo.New()
	operatorapi.Register(e, v)
	e.POST("/v1/jobs", v.submit)
	e.GET("/v1/jobs/:id", v.job)
	e.DELETE("/v1/jobs/:id", v.cancel)
	return e
}

// PublishConfig implements operatorapi.Backend.
func (v *entryVM) PublishConfig(_ context.Context, req operatorapi.PublishRequest) (operatorapi.PublishResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault == "dropped" {
		panic(http.ErrAbortHandler)
	}
	p := operatorapi.RecordOf(req, v.state.Next()-1, time.Now())
	effect := v.state.Apply(v.state.Next(), records.Record{ConfigPublish: &p})
	for _, rec := range audit.Entries(effect) {
		v.trail.Apply(v.audit, rec)
		v.audit++
	}
	if v.fault == "lost" {
		panic(http.ErrAbortHandler)
	}
	d, _ := v.state.Decision(req.ID)
	return operatorapi.PublishResponseOf(d), nil
}

// Config implements operatorapi.Backend.
func (v *entryVM) Config(context.Context) (operatorapi.Config, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return operatorapi.ConfigOf(v.state), nil
}

// ConfigHistory implements operatorapi.Backend.
func (v *entryVM) ConfigHistory(_ context.Context, q operatorapi.HistoryQuery) (operatorapi.History, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return operatorapi.HistoryOf(v.state, q, true), nil
}

// Audit implements operatorapi.Backend.
func (v *entryVM) Audit(_ context.Context, limit int) (operatorapi.Audit, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return operatorapi.AuditOf(v.trail.Newest(limit)), nil
}

// Classes implements operatorapi.Backend.
func (v *entryVM) Classes(context.Context) (operatorapi.Classes, error) {
	return operatorapi.Classes{Version: 0, Classes: []operatorapi.Class{{
		Class: structs.Class{Name: "label-check", Kind: structs.KindRequest, StartTarget: time.Second, FinishTarget: 5 * time.Second},
		State: operatorapi.TargetMissed, Reason: "wait to start", Waiting: 3, WaitP99: 1500 * time.Millisecond,
	}}}, nil
}

// Workers implements operatorapi.Backend.
func (v *entryVM) Workers(context.Context) (operatorapi.Workers, error) {
	return operatorapi.Workers{Workers: []operatorapi.Worker{{ID: "w1", State: "set_aside", Reason: "5 failures"}}}, nil
}

// VMs implements operatorapi.Backend.
func (v *entryVM) VMs(context.Context) (operatorapi.VMs, error) {
	return operatorapi.VMs{VMs: []operatorapi.VM{{VM: structs.VM{ID: "e1", Kind: structs.VMEntry, State: structs.VMLeaving}}}}, nil
}

// Status implements operatorapi.Backend.
func (v *entryVM) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{VM: "e1", DataCentre: "rajkot", Owner: operatorapi.Owner{VM: "e2", Term: 4}, SlotsHeld: map[string]int{"s1": 2}}, nil
}

// ExplainJob implements operatorapi.Backend.
func (v *entryVM) ExplainJob(_ context.Context, id string) (operatorapi.Explanation, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.jobs[id] == nil {
		return operatorapi.Explanation{}, notFound(id)
	}
	return operatorapi.Explanation{Job: id, State: "pending", Groups: []operatorapi.GroupExplanation{
		{Name: "main", Pending: 1, CanNeverRun: true, Reasons: []string{"needs 99 cores, the largest worker has 64"}},
	}}, nil
}

// Handover implements operatorapi.Backend.
func (v *entryVM) Handover(ctx context.Context) (operatorapi.Handover, error) {
	classes, _ := v.Classes(ctx)
	status, _ := v.Status(ctx)
	changes, _ := v.Audit(ctx, 10)
	return operatorapi.Handover{Status: status, Classes: classes.Classes, Changes: changes.Entries, Failures: []operatorapi.Failure{
		{What: "worker w1 fails every task", Action: "it gets no tasks and is probed again"},
	}}, nil
}

func notFound(id string) error {
	return &operatorapi.Error{Code: http.StatusNotFound, ErrorBody: operatorapi.ErrorBody{Message: "no such job", Field: "id", Value: id}}
}

func (v *entryVM) submit(c echo.Context) error {
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

func (v *entryVM) job(c echo.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	job := v.jobs[c.Param("id")]
	if job == nil {
		return operatorapi.WriteError(c, notFound(c.Param("id")))
	}
	return c.JSON(http.StatusOK, job)
}

func (v *entryVM) cancel(c echo.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := c.Param("id")
	if v.jobs[id] == nil {
		return operatorapi.WriteError(c, notFound(id))
	}
	delete(v.jobs, id)
	return c.JSON(http.StatusOK, callerapi.Answer{ID: id, Status: structs.StatusCompleted})
}
