package standin

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/backend"
	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
	"gypsumwinch/standin/backendserver"
	"gypsumwinch/standin/control"
	"gypsumwinch/standin/worker"
)

// startCell starts a cell with one backend server and one worker for a test.
func startCell(t *testing.T) *Cell {
	t.Helper()
	cell, err := StartCell(t.Context(), CellOptions{DataCentres: []string{"dc1"}, ServersPerDC: 1, WorkersPerDC: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	return cell
}

// addr returns the address of a worker or backend server, or "" if there is none.
func (c *Cell) addr(id string) string {
	for _, vm := range c.VMs {
		if vm.ID == id {
			return vm.Addr
		}
	}
	return ""
}

// setFaults sets the faults of a node during a test and fails the test on an error.
func setFaults(t *testing.T, c *Cell, node, faults string) {
	t.Helper()
	if err := c.SetFaults(node, json.RawMessage(faults)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a log stand-in that loses records, or that reports success to the
// client for an append whose answer was to be lost.
func TestLogOverHTTP(t *testing.T) {
	is := is.New(t)
	cell := startCell(t)
	ctx := t.Context()
	log := platform.NewHTTPLog(cell.LogAddr, platform.HTTPOptions{Name: "e1"})
	first, err := log.Append(ctx, "s", []json.RawMessage{[]byte(`1`), []byte(`2`)})
	is.NoErr(err)
	is.Equal(first, int64(0))
	setFaults(t, cell, NodeLog, `{"lose_answers":1}`)
	_, err = log.Append(ctx, "s", []json.RawMessage{[]byte(`3`)})
	is.True(err != nil) // answer is lost
	entries, next, atEnd, err := log.Read(ctx, "s", 0, 2, 0)
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(next, int64(2))
	is.True(!atEnd)
	entries, next, atEnd, err = log.Read(ctx, "s", next, 10, time.Second)
	is.NoErr(err)
	is.Equal(string(entries[0].Data), "3")
	is.Equal(next, int64(3))
	is.True(atEnd)
	setFaults(t, cell, NodeLog, `{"cut":["e1"]}`)
	_, _, err = log.Bounds(ctx, "s")
	is.True(err != nil) // the connections of e1 are aborted
	other := platform.NewHTTPLog(cell.LogAddr, platform.HTTPOptions{Name: "e2"})
	_, next, err = other.Bounds(ctx, "s")
	is.NoErr(err)
	is.Equal(next, int64(3))
}

// Guards against a backend client that classifies a failure as not run although the
// request may have run, or the reverse.
func TestBackendFailureKinds(t *testing.T) {
	cell := startCell(t)
	addr := cell.addr("dc1-s1")
	client := backend.New(backend.Options{Name: "e1"})
	client.SetLimit(addr, 1)
	tests := []struct {
		name, addr, faults, payload string
		want                        backend.Kind
	}{
		{"connection refused", "127.0.0.1:1", `{}`, `{}`, backend.KindNotSent},
		{"leaving", addr, `{"leaving":true,"refuse_leaving":true}`, `{}`, backend.KindLeaving},
		{"failed", addr, `{}`, `{"fail":true}`, backend.KindFailed},
		{"dropped half way", addr, `{"drop_half":1}`, `{"size":1000}`, backend.KindLost},
		{"wrong echo", addr, `{"wrong_echo":1}`, `{"size":1000}`, backend.KindLost},
		{"corrupt", addr, `{"corrupt":1}`, `{"size":1000}`, backend.KindLost},
		{"aborted after it was sent", addr, `{"down":true}`, `{}`, backend.KindLost},
	}
	client.SetLimit("127.0.0.1:1", 1)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			setFaults(t, cell, "dc1-s1", tt.faults)
			_, err := client.Run(t.Context(), tt.addr, tt.name, 1, "c", []byte(tt.payload))
			is.True(err != nil)
			is.Equal(backend.KindOf(err), tt.want)
		})
	}
}

// Guards against a caller that gets the answer to another request, and against more
// connections or runs on a backend server than the limit of the client allows.
func TestBackendRunAndLimit(t *testing.T) {
	is := is.New(t)
	cell := startCell(t)
	addr := cell.addr("dc1-s1")
	client := backend.New(backend.Options{Name: "e1"})
	client.SetLimit(addr, 3)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			payload, _ := json.Marshal(control.Payload{RunMS: 20, Size: 100 * i, Key: string(rune('a' + i))})
			answer, err := client.Run(context.Background(), addr, string(rune('a'+i)), 1, "c", payload)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				is.Equal(backend.KindOf(err), backend.KindNotSent)
				refused++
				return
			}
			is.Equal(answer.Body, control.Answer(payload))
		}()
	}
	wg.Wait()
	observed := cell.Servers["dc1-s1"].Observed().(backendserver.Observed)
	is.True(observed.MaxConnections <= 3)
	is.True(observed.MaxInFlight <= 3)
	is.Equal(len(observed.Runs), 40-refused)
	client.SetLimit(addr, 1)
	waitFor(t, func() bool { return cell.Servers["dc1-s1"].Observed().(backendserver.Observed).Connections <= 1 })
	status, err := client.Status(t.Context(), addr)
	is.NoErr(err)
	is.Equal(status.InUse, 0)
}

// waitFor polls a condition during a test and fails the test after 30 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition does not hold after 30 s")
		}
	}
}

// Guards against a worker stand-in that accepts requests of a former lease holder,
// loses reports of finished runs or keeps tasks running after the lease has expired.
func TestWorkerLeaseAndReport(t *testing.T) {
	is := is.New(t)
	cell := startCell(t)
	ctx := t.Context()
	addr := cell.addr("dc1-w1")
	client := workerclient.New(workerclient.Options{Name: "e1"})
	lease, err := client.Lease(ctx, addr, "a", 5, time.Minute, time.Minute, workerclient.Ack{})
	is.NoErr(err)
	is.True(lease.Granted)
	lease, err = client.Lease(ctx, addr, "b", 6, time.Minute, time.Minute, workerclient.Ack{})
	is.NoErr(err)
	is.Equal(lease.Refusal, workerclient.RefusedHeld)
	lease, err = client.Lease(ctx, addr, "a", 4, time.Minute, time.Minute, workerclient.Ack{})
	is.NoErr(err)
	is.Equal(lease.Refusal, workerclient.RefusedTerm)

	attempt := func(i int) structs.Attempt {
		return structs.Attempt{Task: structs.TaskID{Job: "j", Index: i}, Number: 1, Worker: "dc1-w1"}
	}
	start := workerclient.StartRequest{Authority: workerclient.Authority{Holder: "a", Term: 5}}
	for i := range 3 {
		payload := []byte(`{"run_ms":1}`)
		if i == 2 {
			payload = []byte(`{"run_ms":3600000}`)
		}
		start.Tasks = append(start.Tasks, workerclient.Start{Attempt: attempt(i), Payload: payload})
	}
	for range 2 { // a repeated start has no effect
		answer, err := client.Start(ctx, addr, start)
		is.NoErr(err)
		is.Equal(len(answer.Tasks), 3)
	}
	start.Holder = "b"
	answer, err := client.Start(ctx, addr, start)
	is.NoErr(err)
	is.Equal(answer.Refusal, workerclient.RefusedNoLease)

	var inventory workerclient.Inventory
	waitFor(t, func() bool {
		inventory, err = client.Tasks(ctx, addr)
		return err == nil && len(inventory.Report.Finished) == 2
	})
	is.Equal(len(inventory.Running), 1)
	lease, err = client.Lease(ctx, addr, "a", 5, time.Millisecond, time.Millisecond, inventory.Report.Ack())
	is.NoErr(err)
	is.Equal(len(lease.Report.Finished), 0)
	waitFor(t, func() bool {
		inventory, err = client.Tasks(ctx, addr)
		return err == nil && len(inventory.Running) == 0
	})
	is.Equal(inventory.Report.Finished[0].Result, workerclient.ResultLapsed)
	observed := cell.Workers["dc1-w1"].Observed().(worker.Observed)
	is.Equal(len(observed.Intervals), 3)
}
