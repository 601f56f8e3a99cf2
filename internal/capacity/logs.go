package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/audit"
	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/requestlog"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/logstore"
	"gypsumwinch/standin/vmlist"
)

var errIncomplete = errors.New("the state is not complete after the last record")

// replayJobs reads a jobs stream to its end and applies its records to a new
// state. For a snapshot, the reader's offsets begin after the records that the
// snapshot covers. It returns errIncomplete if the state lacks records.
func replayJobs(log platform.Log, stream string, first *records.JobSnapshot) error {
	base := int64(0)
	if first != nil {
		base = first.LastIncludedOffset + 1
	}
	state := jobstate.New()
	for from, end := int64(0), false; !end; {
		entries, next, last, err := log.Read(context.Background(), stream, from, maxReadRecords, 0)
		if err != nil {
			return err
		}
		for _, e := range entries {
			r, err := records.Decode(e.Data)
			if err != nil {
				return err
			}
			state.Apply(base+e.Offset, e.Time, r)
		}
		from, end = next, last
	}
	if !state.Complete() {
		return errIncomplete
	}
	return nil
}

// sampleRecords returns one record of each kind with names of usual length.
func sampleRecords(target Target) []struct {
	Name   string
	Record records.Record
} {
	j := newJob(1, time.Now())
	a := structs.Attempt{Task: structs.TaskID{Job: j.ID, Index: 7}, Number: 1, Worker: "region1-dc1-w17"}
	yaml := configYAML(target, 1)
	type sample = struct {
		Name   string
		Record records.Record
	}
	return []sample{
		{"heartbeat of an owner", records.Record{Heartbeat: &records.Heartbeat{DataCentre: "region1-dc1", Instance: fakeInstance, Term: fakeTerm, Majority: true}}},
		{"claim", records.Record{Claim: &records.Claim{DataCentre: "region1-dc1", VM: "region1-dc1-e1", Instance: fakeInstance, Addr: "10.20.1.17:7100"}}},
		{"task start", records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: fakeTerm}}},
		{"task end", records.Record{TaskEnd: &records.TaskEnd{Attempt: a, Result: records.TaskSucceeded, Term: fakeTerm}}},
		{"job accepted (one group)", records.Record{JobAccepted: &records.JobAccepted{Job: j}}},
		{"request start", records.Record{RequestStart: &records.RequestStart{ID: j.ID, Class: "part-matching", Instance: fakeInstance}}},
		{"request outcome", records.Record{RequestOutcome: &records.RequestOutcome{ID: j.ID, Instance: fakeInstance, Status: structs.StatusCompleted}}},
		{"configuration", records.Record{ConfigPublish: newConfigPublish(target, 1, yaml)}},
		{"audit entry", records.Record{Audit: &records.Audit{ID: j.ID, Who: "dyspozytor", When: time.Now(), Why: "more room for the night shift", What: "config publish", Accepted: true, Before: yaml, After: yaml}}},
	}
}

// newConfigPublish returns the record that publishes the YAML on top of the
// version before the given change.
func newConfigPublish(target Target, change int, yaml string) *records.ConfigPublish {
	return &records.ConfigPublish{
		ID: ulid.Make().String(), Base: int64(change) - 1, LastReadOffset: int64(change) - 1, YAML: yaml,
		Who: "dyspozytor", Why: "more room for the night shift", When: time.Now().UTC(),
	}
}

// Records prints the size of each kind of log record.
func Records(out io.Writer, target Target) error {
	t := newTable(out, "Log records", "record", "bytes", "bytes in an answer")
	for _, s := range sampleRecords(target) {
		data, err := records.Encode(s.Record)
		if err != nil {
			return err
		}
		entry, err := json.Marshal(platform.Entry{Offset: 1_000_000, Time: time.Now(), Data: data})
		if err != nil {
			return err
		}
		t.row(s.Name, len(data), len(entry))
	}
	return nil
}

// Polls measures the calls of the log: a read with an empty answer, a read with
// one record, and an append.
func Polls(out io.Writer, target Target) error {
	store := logstore.New(logstore.Options{})
	served, err := serve(store.Handler())
	if err != nil {
		return err
	}
	defer served.close()
	log := platform.NewHTTPLog(served.addr, platform.HTTPOptions{Name: "region1-dc1-e1"})
	ctx := context.Background()
	poll := func(stream string, from int64) error {
		_, _, _, err := log.Read(ctx, stream, from, maxReadRecords, time.Millisecond)
		return err
	}
	empty, err := measure(500, served, func(int) error { return poll(records.StreamRequests, 0) })
	if err != nil {
		return err
	}
	heartbeat, err := records.Encode(sampleRecords(target)[0].Record)
	if err != nil {
		return err
	}
	full, err := measure(500, served, func(i int) error {
		store.Append(records.StreamOwners, []json.RawMessage{heartbeat})
		return poll(records.StreamOwners, int64(i))
	})
	if err != nil {
		return err
	}
	appended, err := measure(500, served, func(int) error {
		_, err := log.Append(ctx, "appends", []json.RawMessage{heartbeat})
		return err
	})
	if err != nil {
		return err
	}
	t := newTable(out, "Calls of the log (both ends of the call)", "call", "CPU", "bytes")
	t.row("read, empty answer", empty.CPU, empty.Bytes)
	t.row("read, one heartbeat", full.CPU, full.Bytes)
	t.row("append of one heartbeat", appended.CPU, appended.Bytes)
	owners := float64(target.DataCentres) / ownerHeartbeatInterval.Seconds()
	quiet := 4 / logReadTimeout.Seconds()
	fmt.Fprintf(out, "\nOne VM: %.0f owner heartbeats/s and %.1f empty reads/s: %.2f KB/s, %s of a core. %d VMs: %.0f reads/s at the log.\n",
		owners, quiet, (owners*full.Bytes+quiet*empty.Bytes)/1000,
		percent(owners*full.CPU.Seconds()+quiet*empty.CPU.Seconds()), target.VMs, float64(target.VMs)*(owners+quiet))
	return nil
}

// VMList measures one read of the VM list, with the list unchanged and changed.
func VMList(out io.Writer, target Target) error {
	t := newTable(out, "One read of the VM list, 1/s per VM (both ends of the call)", "entry VMs", "workers", "VMs listed", "CPU, unchanged", "bytes, unchanged", "CPU, changed", "bytes, changed")
	for i, s := range jobSizes {
		list := clusterVMs(target, vmCounts[i], s.Workers)
		node := vmlist.New(list)
		served, err := serve(node.Handler())
		if err != nil {
			return err
		}
		client := platform.NewHTTPVMList(served.addr, platform.HTTPOptions{Name: "region1-dc1-e1"})
		read := func(int) error {
			_, err := client.List(context.Background())
			return err
		}
		same, err := measure(50, served, read)
		if err != nil {
			return err
		}
		changed, err := measure(50, served, func(i int) error {
			list[0].Slots = i + 1
			node.Set(list)
			return read(i)
		})
		served.close()
		if err != nil {
			return err
		}
		t.row(vmCounts[i], s.Workers, len(list), same.CPU, same.Bytes, changed.CPU, changed.Bytes)
	}
	return nil
}

// Requests measures how the starts and outcomes of non-idempotent requests are
// decoded and applied, and the memory of the retained requests.
func Requests(out io.Writer, target Target) error {
	t := newTable(out, "Stream of non-idempotent requests", "requests", "CPU per request (decode and fold)", "memory B/request")
	at := time.Now()
	for _, n := range []int{1000, 10_000, 39_000} {
		data, err := requestRecords(n)
		if err != nil {
			return err
		}
		before := liveHeapBytes()
		state := requestlog.New(time.Hour)
		cpu := processorTime()
		for i, d := range data {
			r, err := records.Decode(d)
			if err != nil {
				return err
			}
			state.Apply(int64(i), at, r)
		}
		cpu = processorTime() - cpu
		t.row(n, cpu/time.Duration(n), (liveHeapBytes()-before)/float64(state.Len()))
		runtime.KeepAlive(data)
		runtime.KeepAlive(state)
	}
	return nil
}

// requestRecords returns the encoded start and outcome of n requests.
func requestRecords(n int) ([]json.RawMessage, error) {
	var data []json.RawMessage
	for range n {
		id := ulid.Make().String()
		for _, r := range []records.Record{
			{RequestStart: &records.RequestStart{ID: id, Class: "part-matching", Instance: fakeInstance}},
			{RequestOutcome: &records.RequestOutcome{ID: id, Instance: fakeInstance, Status: structs.StatusCompleted}},
		} {
			d, err := records.Encode(r)
			if err != nil {
				return nil, err
			}
			data = append(data, d)
		}
	}
	return data, nil
}

// Changes measures how a day's changes of the configuration and their audit
// entries are decoded and applied. It returns an error if a change was not
// accepted.
func Changes(out io.Writer, target Target) error {
	t := newTable(out, "Changes of the configuration, 67 teams and 20 classes", "changes", "log bytes per change with its audit entry", "CPU per change (decode, parse, fold)", "memory MB")
	for _, n := range []int{100, 800, target.Changes} {
		state, trail := configstate.New(), audit.New()
		before := liveHeapBytes()
		bytes, cpu := 0, time.Duration(0)
		for i := range n {
			data, err := records.Encode(records.Record{ConfigPublish: newConfigPublish(target, i, configYAML(target, i))})
			if err != nil {
				return err
			}
			bytes += len(data)
			start := processorTime()
			r, err := records.Decode(data)
			if err != nil {
				return err
			}
			effect := state.ApplyAt(int64(i), time.Now(), r)
			for _, entry := range audit.Entries(effect) {
				d, err := records.Encode(entry)
				if err != nil {
					return err
				}
				bytes += len(d)
				back, err := records.Decode(d)
				if err != nil {
					return err
				}
				trail.Apply(trail.Next(), back)
			}
			cpu += processorTime() - start
		}
		if state.Current().Version != int64(n-1) {
			return fmt.Errorf("version %d is in force after %d changes", state.Current().Version, n)
		}
		t.row(n, bytes/n, cpu/time.Duration(n), (liveHeapBytes()-before)/1e6)
		runtime.KeepAlive(state)
		runtime.KeepAlive(trail)
	}
	return nil
}

// Appends prints the appends per second of all VMs, computed from the wait of
// the group commit and the time of one append.
func Appends(out io.Writer, target Target) error {
	store := logstore.New(logstore.Options{})
	served, err := serve(store.Handler())
	if err != nil {
		return err
	}
	defer served.close()
	log := platform.NewHTTPLog(served.addr, platform.HTTPOptions{Name: "region1-dc1-e1"})
	call, err := measure(500, served, func(int) error {
		_, err := log.Append(context.Background(), "appends", []json.RawMessage{[]byte(`{}`)})
		return err
	})
	if err != nil {
		return err
	}
	t := newTable(out, fmt.Sprintf("Appends per second with %v for an append", call.Wall), "stream", "writers", "records/s", "appends/s of one writer", "appends/s")
	row := func(name string, writers int, total float64) {
		one := AppendsPerSecond(total/float64(writers), call.Wall)
		t.row(name, writers, total, one, one*float64(writers))
	}
	row("owners", target.DataCentres, float64(target.DataCentres)/ownerHeartbeatInterval.Seconds())
	row("jobs, starts and ends at the peak", target.DataCentres, 2*target.StartsPerSecond)
	row("config and audit", 1, 2*float64(target.Changes)/86400)
	for _, rate := range []float64{60, 420, 4000} {
		row(fmt.Sprintf("requests, %.0f non-idempotent/s in all", rate), target.VMs, 2*rate)
	}
	return nil
}

// AuditRead measures one read of as many audit entries as the daemon asks for. A
// read that fails is printed as a row.
func AuditRead(out io.Writer, target Target) error {
	t := newTable(out, fmt.Sprintf("One read of %d audit entries (both ends of the call)", maxReadLargeRecords), "bytes of the configuration", "wall", "CPU", "bytes")
	for _, copies := range []int{1, 4, 64} {
		yaml := strings.Repeat(configYAML(target, 1), copies)
		data, err := records.Encode(records.Record{Audit: &records.Audit{ID: ulid.Make().String(), Before: yaml, After: yaml}})
		if err != nil {
			return err
		}
		store := logstore.New(logstore.Options{})
		for range maxReadLargeRecords {
			store.Append(records.StreamAudit, []json.RawMessage{data})
		}
		served, err := serve(store.Handler())
		if err != nil {
			return err
		}
		log := platform.NewHTTPLog(served.addr, platform.HTTPOptions{Name: "region1-dc1-e1"})
		c, err := measure(1, served, func(int) error {
			_, _, _, err := log.Read(context.Background(), records.StreamAudit, 0, maxReadLargeRecords, 0)
			return err
		})
		served.close()
		if err != nil {
			t.row(len(yaml), "failed: "+err.Error(), "", "")
			continue
		}
		t.row(len(yaml), c.Wall, c.CPU, c.Bytes)
	}
	return nil
}
