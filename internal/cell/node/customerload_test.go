package node

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/cellstore"
)

// TestCustomerLoadsAreReplaced guards the metrics against values of customers that have ended
// or that another VM, the new owner, counts now.
func TestCustomerLoadsAreReplaced(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	l := newCustomerLoads(registry)
	l.set([]owner.CustomerLoad{{Name: "a", RunningTasks: 2}, {Name: "b"}})
	l.set([]owner.CustomerLoad{{Name: "b"}})
	families, err := registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			is.Equal(m.GetLabel()[0].GetValue(), "b")
		}
	}
	l.set(nil)
	families, err = registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 0)
}

// TestTakeoverCountsRecordedRuns guards QUOTA against a new owner that places tasks before it
// has counted the runs of the former one, also those of a job that has ended.
func TestTakeoverCountsRecordedRuns(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	for id, state := range map[cell.JobID]cell.State{"runs": cell.StateRunning, "stops": cell.StateCancelled, "waits": cell.StateQueued} {
		job, err := cell.EncodeJob(&cell.Job{ID: id, Customer: "c", Steps: []cell.Step{{Count: 1, Need: structs.Resources{MilliCPU: 500}}}})
		is.NoErr(err)
		_, err = store.Append(t.Context(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: cell.JobKey(id), Value: job}}})
		is.NoErr(err)
		if state == cell.StateQueued {
			continue
		}
		progress, err := cell.EncodeProgress(&cell.Progress{State: state, Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 1}}}}})
		is.NoErr(err)
		_, err = store.Append(t.Context(), cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: cell.ProgressKey(id), Value: progress}}})
		is.NoErr(err)
	}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: store}, io.Discard)
	config := &cell.Config{Version: 1, Customers: &cell.Customers{List: []cell.Customer{{Name: "c", Weight: 9, MaxRunning: structs.Resources{MilliCPU: 1000}}}}}
	config.Index()
	n.config.Store(config)
	c := newControlLoop(n, 1)
	is.NoErr(n.takeOver(t.Context(), c))
	is.Equal(c.machine.CustomerLoads(maxLoggedCustomers), []owner.CustomerLoad{{Name: "c", RunningTasks: 2, WaitingTasks: 1, QuotaUsed: 1}})
}
