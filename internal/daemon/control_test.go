package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/worker"
)

// testJobID is the id of the job that submitJob accepts.
var testJobID = ulid.Make().String()

const (
	testConfig   = "classes: [{name: batch, kind: batch, start_target: 10s, finish_target: 1h}]"
	testStep     = 100 * time.Millisecond
	maxTestSteps = 3000
)

// unavailablePlatform is a log and VM list on which every call fails. Tests of
// the control loop post events instead.
type unavailablePlatform struct{}

var errPlatformUnavailable = errors.New("no platform in this test")

func (unavailablePlatform) Append(context.Context, string, []json.RawMessage) (int64, error) {
	return 0, errPlatformUnavailable
}

func (unavailablePlatform) Read(context.Context, string, int64, int, time.Duration) ([]platform.Entry, int64, bool, error) {
	return nil, 0, false, errPlatformUnavailable
}

func (unavailablePlatform) Bounds(context.Context, string) (int64, int64, error) {
	return 0, 0, errPlatformUnavailable
}

func (unavailablePlatform) List(context.Context) ([]structs.VM, error) {
	return nil, errPlatformUnavailable
}

// testVM drives the control loop of one VM with a log in memory, a clock that
// moves in steps, and stand-ins for workers on loopback.
type testVM struct {
	t          *testing.T
	d          *Daemon
	c          *control
	nextOffset map[string]int64
	workers    map[string]*worker.Worker
	vms        []structs.VM
	// storesRecord, if set, reports whether an appended record reaches the log.
	storesRecord func(records.Record) bool
}

func newTestVM(t *testing.T, workers ...string) *testVM {
	t.Helper()
	settings := DefaultSettings()
	settings.VM, settings.DataCentre, settings.PeerListen = "e1", "krk-a", "127.0.0.1:1"
	d := New(settings, hclog.NewNullLogger(), Dependencies{Log: unavailablePlatform{}, VMList: unavailablePlatform{}})
	vm := &testVM{t: t, d: d, c: newControl(d, t.Context()), nextOffset: map[string]int64{}, workers: map[string]*worker.Worker{}}
	for _, id := range workers {
		size := structs.Resources{MilliCPU: 4000, MemoryMB: 4096}
		w := worker.New(id, size)
		server := httptest.NewServer(w.Handler())
		t.Cleanup(server.Close)
		t.Cleanup(w.Close)
		vm.workers[id] = w
		vm.vms = append(vm.vms, structs.VM{
			ID: id, DataCentre: "krk-a", Rack: "r", Kind: structs.VMWorker, State: structs.VMLive,
			Addr: server.Listener.Addr().String(), Capacity: size,
		})
	}
	vmsListed{vms: vm.vms, at: time.Now()}.apply(vm.c)
	return vm
}

// storeAndRead stores records in a stream, as the log would, and makes the VM
// read them.
func (vm *testVM) storeAndRead(stream string, rs ...records.Record) {
	batch := logBatch{stream: stream, atEnd: true, sentAt: vm.c.now()}
	for _, r := range rs {
		batch.entries = append(batch.entries, logEntry{offset: vm.nextOffset[stream], storedAt: time.Now(), record: r})
		vm.nextOffset[stream]++
	}
	batch.next = vm.nextOffset[stream]
	batch.apply(vm.c)
}

// flushAppends moves the records that the VM has queued to the log and makes
// the VM read them.
func (vm *testVM) flushAppends() {
	vm.t.Helper()
	for _, stream := range vm.d.streams() {
		var rs []records.Record
		queue := vm.d.writers[stream].queue
		for len(queue) > 0 {
			p := <-queue
			r, err := records.Decode(p.data)
			if err != nil {
				vm.t.Fatal(err)
			}
			if vm.storesRecord != nil && !vm.storesRecord(r) {
				continue
			}
			rs = append(rs, r)
			notifyResult(p.onResult, nil)
		}
		vm.storeAndRead(stream, rs...)
	}
}

// hasCallInFlight reports whether a request to a worker has no response yet.
func (vm *testVM) hasCallInFlight() bool {
	for _, w := range vm.c.workers {
		if w.leaseInFlight || w.inventoryInFlight {
			return true
		}
	}
	for _, s := range vm.c.pendingStarts {
		if s.inFlight {
			return true
		}
	}
	for _, s := range vm.c.pendingStops {
		if s.inFlight {
			return true
		}
	}
	return false
}

// handleEvents handles events until no request to a worker is in flight.
func (vm *testVM) handleEvents() {
	for vm.hasCallInFlight() || len(vm.d.events) > 0 {
		ev := <-vm.d.events
		ev.apply(vm.c)
	}
}

func (vm *testVM) step() {
	vm.t.Helper()
	vm.d.startedAt = vm.d.startedAt.Add(-testStep)
	vm.c.tick()
	vm.handleEvents()
	vm.flushAppends()
	vm.handleEvents()
}

// stepUntil steps until cond holds. It fails the test after maxTestSteps.
func (vm *testVM) stepUntil(what string, cond func() bool) {
	vm.t.Helper()
	for range maxTestSteps {
		if cond() {
			return
		}
		vm.step()
	}
	vm.t.Fatalf("not within %v of the VM's time: %s", maxTestSteps*testStep, what)
}

// becomeOwner makes the VM the owner of its data centre.
func (vm *testVM) becomeOwner() {
	vm.t.Helper()
	vm.storeAndRead(records.StreamConfig, records.Record{ConfigPublish: &records.ConfigPublish{ID: "c", Base: records.NoVersion, YAML: testConfig}})
	vm.stepUntil("the VM schedules jobs", func() bool { return vm.c.scheduler != nil })
	vm.stepUntil("the workers are up", func() bool {
		for id := range vm.workers {
			if !vm.c.workers[id].isUp {
				return false
			}
		}
		return true
	})
}

// submitJob stores the acceptance of a job with one long task.
func (vm *testVM) submitJob(nonIdempotent bool) {
	vm.storeAndRead(vm.jobsStream(), records.Record{JobAccepted: &records.JobAccepted{Job: structs.Job{
		ID: testJobID, Class: "batch", DataCentre: "krk-a", NonIdempotent: nonIdempotent, AcceptedAt: time.Now(),
		Groups: []structs.TaskGroup{{
			Count: 1, Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: time.Hour,
			Payload: []byte(`{"run_ms":3600000}`),
		}},
	}}})
}

func (vm *testVM) jobsStream() string { return records.JobsStream("krk-a") }

// runCount returns how many times the workers have run an attempt.
func (vm *testVM) runCount() int {
	n := 0
	for _, w := range vm.workers {
		n += len(w.Observed().(worker.Observed).Intervals)
	}
	return n
}

// liveAttempt returns the attempt of the task that is live in the jobs stream.
func (vm *testVM) liveAttempt() (structs.Attempt, bool) {
	return vm.c.jobs.LiveAttempt(structs.TaskID{Job: testJobID})
}

// isRunning reports whether the live attempt runs on its worker and is
// confirmed.
func (vm *testVM) isRunning() bool {
	a, ok := vm.liveAttempt()
	return ok && vm.c.pendingStarts[a] == nil && vm.c.pendingStops[a] == nil
}
