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

// benchJob is the id of the job that submit accepts.
var benchJob = ulid.Make().String()

const (
	benchConfig = "classes: [{name: batch, kind: batch, start_target: 10s, finish_target: 1h}]"
	benchStep   = 100 * time.Millisecond
	benchSteps  = 3000
)

// noPlatform is a log and VM list that the tests of the control loop replace by
// events.
type noPlatform struct{}

var errNoPlatform = errors.New("no platform in this test")

func (noPlatform) Append(context.Context, string, []json.RawMessage) (int64, error) {
	return 0, errNoPlatform
}

func (noPlatform) Read(context.Context, string, int64, int, time.Duration) ([]platform.Entry, int64, bool, error) {
	return nil, 0, false, errNoPlatform
}

func (noPlatform) Bounds(context.Context, string) (int64, int64, error) {
	return 0, 0, errNoPlatform
}

func (noPlatform) List(context.Context) ([]structs.VM, error) { return nil, errNoPlatform }

// bench drives the control loop of one VM with a log in memory, a clock that
// moves in steps, and workers that are stand-ins on loopback.
type bench struct {
	t       *testing.T
	d       *Daemon
	c       *control
	next    map[string]int64
	workers map[string]*worker.Worker
	vms     []structs.VM
	// keep, if set, tells which appended records reach the log.
	keep func(records.Record) bool
}

func newBench(t *testing.T, workers ...string) *bench {
	t.Helper()
	settings := DefaultSettings()
	settings.VM, settings.DataCentre, settings.PeerListen = "e1", "krk-a", "127.0.0.1:1"
	d := New(settings, hclog.NewNullLogger(), Dependencies{Log: noPlatform{}, VMList: noPlatform{}})
	b := &bench{t: t, d: d, c: newControl(d, t.Context()), next: map[string]int64{}, workers: map[string]*worker.Worker{}}
	for _, id := range workers {
		size := structs.Resources{MilliCPU: 4000, MemoryMB: 4096}
		w := worker.New(id, size)
		server := httptest.NewServer(w.Handler())
		t.Cleanup(server.Close)
		t.Cleanup(w.Close)
		b.workers[id] = w
		b.vms = append(b.vms, structs.VM{
			ID: id, DataCentre: "krk-a", Rack: "r", Kind: structs.VMWorker, State: structs.VMLive,
			Addr: server.Listener.Addr().String(), Capacity: size,
		})
	}
	vmsListed{vms: b.vms, at: time.Now()}.apply(b.c)
	return b
}

// put appends records to a stream as the log would and lets the VM read them.
func (b *bench) put(stream string, rs ...records.Record) {
	batch := logBatch{stream: stream, end: true, sent: b.c.now()}
	for _, r := range rs {
		batch.entries = append(batch.entries, logEntry{offset: b.next[stream], at: time.Now(), record: r})
		b.next[stream]++
	}
	batch.next = b.next[stream]
	batch.apply(b.c)
}

// pump lets the log take what the VM appended.
func (b *bench) pump() {
	b.t.Helper()
	for _, stream := range b.d.streams() {
		var rs []records.Record
		queue := b.d.writers[stream].queue
		for len(queue) > 0 {
			p := <-queue
			r, err := records.Decode(p.data)
			if err != nil {
				b.t.Fatal(err)
			}
			if b.keep != nil && !b.keep(r) {
				continue
			}
			rs = append(rs, r)
			finish(p.done, nil)
		}
		b.put(stream, rs...)
	}
}

// inFlight reports whether a call to a worker is not answered yet.
func (b *bench) inFlight() bool {
	for _, w := range b.c.workers {
		if w.leaseInFlight || w.inventoryInFlight {
			return true
		}
	}
	for _, s := range b.c.pendingStarts {
		if s.inFlight {
			return true
		}
	}
	for _, s := range b.c.pendingStops {
		if s.inFlight {
			return true
		}
	}
	return false
}

// drain handles events until every call to a worker is answered.
func (b *bench) drain() {
	for b.inFlight() || len(b.d.events) > 0 {
		ev := <-b.d.events
		ev.apply(b.c)
	}
}

func (b *bench) step() {
	b.t.Helper()
	b.d.start = b.d.start.Add(-benchStep)
	b.c.tick()
	b.drain()
	b.pump()
	b.drain()
}

// until steps until cond holds and fails the test if that takes benchSteps.
func (b *bench) until(what string, cond func() bool) {
	b.t.Helper()
	for range benchSteps {
		if cond() {
			return
		}
		b.step()
	}
	b.t.Fatalf("not within %v of the VM's time: %s", benchSteps*benchStep, what)
}

// own makes the VM the owner of its data centre.
func (b *bench) own() {
	b.t.Helper()
	b.put(records.StreamConfig, records.Record{ConfigPublish: &records.ConfigPublish{ID: "c", Base: records.NoVersion, YAML: benchConfig}})
	b.until("the VM schedules jobs", func() bool { return b.c.scheduler != nil })
	b.until("the workers are up", func() bool {
		for id := range b.workers {
			if !b.c.workers[id].isUp {
				return false
			}
		}
		return true
	})
}

// submit puts a job with one long task on the log.
func (b *bench) submit(nonIdempotent bool) {
	b.put(b.jobsStream(), records.Record{JobAccepted: &records.JobAccepted{Job: structs.Job{
		ID: benchJob, Class: "batch", DataCentre: "krk-a", NonIdempotent: nonIdempotent, AcceptedAt: time.Now(),
		Groups: []structs.TaskGroup{{
			Count: 1, Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: time.Hour,
			Payload: []byte(`{"run_ms":3600000}`),
		}},
	}}})
}

func (b *bench) jobsStream() string { return records.JobsStream("krk-a") }

// runs returns the intervals in which a worker ran an attempt.
func (b *bench) runs() int {
	n := 0
	for _, w := range b.workers {
		n += len(w.Observed().(worker.Observed).Intervals)
	}
	return n
}

// live returns the attempt of the task that the jobs stream shows as live.
func (b *bench) live() (structs.Attempt, bool) {
	return b.c.jobs.LiveAttempt(structs.TaskID{Job: benchJob})
}

// running reports whether the live attempt runs on its worker and is confirmed.
func (b *bench) running() bool {
	a, ok := b.live()
	return ok && b.c.pendingStarts[a] == nil && b.c.pendingStops[a] == nil
}
