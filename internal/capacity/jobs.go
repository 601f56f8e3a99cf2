package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
	"gypsumwinch/standin/logstore"
	"gypsumwinch/standin/worker"
)

// Jobs measures the job plane without I/O: memory, placements, usage reports,
// ticks and changes of the configuration.
func Jobs(out io.Writer, target Target) error {
	mem := newTable(out, "Memory and decisions of the job plane", "workers", "tasks", "jobstate B/task",
		"scheduler B/task", "CPU per placement", "CPU per tick", "CPU per usage report", "tasks/report", "CPU per change of a quota")
	var tasks, ticks, changes []float64
	for _, s := range jobSizes {
		p := newJobPlane(target, s)
		tick, err := measure(200, nil, func(i int) error {
			p.now += 100 * time.Millisecond
			p.sched.Apply(p.now, scheduler.Tick{})
			return nil
		})
		if err != nil {
			return err
		}
		reports := p.usageReports()
		usage, err := measure(10*len(reports), nil, func(i int) error {
			p.sched.Apply(p.now, reports[i%len(reports)])
			return nil
		})
		if err != nil {
			return err
		}
		change, err := measure(20, nil, func(i int) error {
			p.sched.Apply(p.now, scheduler.ConfigChanged{Config: config(target, i)})
			return nil
		})
		if err != nil {
			return err
		}
		n := float64(s.Tasks)
		mem.row(s.Workers, s.Tasks, p.stateBytes/n, p.schedulerBytes/n, p.cpuPerPlacement, tick.CPU, usage.CPU, s.Tasks/s.Workers, change.CPU)
		tasks = append(tasks, n)
		ticks = append(ticks, tick.CPU.Seconds()*1e6)
		changes = append(changes, change.CPU.Seconds()*1e6)
	}
	perDC := target.PerDataCentre(float64(target.Tasks))
	fmt.Fprintf(out, "\nAt %.0f tasks of a data centre: tick %.1f us, change of a quota %.0f us.\n",
		perDC, Fit(tasks, ticks).At(perDC), Fit(tasks, changes).At(perDC))
	return nil
}

// usageReports returns one report of each worker, with half of the declared
// resources in use.
func (p *jobPlane) usageReports() []scheduler.UsageReport {
	var reports []scheduler.UsageReport
	for _, w := range p.workers {
		r := scheduler.UsageReport{Worker: w.ID}
		for _, a := range p.running[w.ID] {
			r.Tasks = append(r.Tasks, scheduler.TaskUsage{Attempt: a, Used: structs.Resources{MilliCPU: 500, MemoryMB: 512}})
		}
		reports = append(reports, r)
	}
	return reports
}

// View measures what publishView computes every 5 s on an owner: the declared
// sizes of the live attempts on each worker that is up. The code repeats
// control.workerUsed of internal/daemon, which is not exported.
func View(out io.Writer, target Target) error {
	t := newTable(out, "Allocated processors of the workers, every 5 s on an owner", "workers", "tasks", "CPU per sum", "part of a core")
	sizes := append([]planeSize{{target.Workers / target.DataCentres, target.Tasks / target.DataCentres}}, jobSizes...)
	for _, s := range sizes {
		p := newJobPlane(target, s)
		var sum structs.Resources
		c, err := measure(20, nil, func(int) error {
			for _, w := range p.workers {
				for _, a := range p.state.RunningOn(w.ID) {
					if j, ok := p.state.Job(a.Task.Job); ok {
						sum = sum.Add(j.Groups[0].Resources)
					}
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		t.row(s.Workers, s.Tasks, c.CPU, percent(c.CPU.Seconds()/allocationInterval.Seconds()))
	}
	return nil
}

// percent formats a fraction as a percentage.
func percent(part float64) string { return fmt.Sprintf("%.2f %%", part*100) }

// Leases measures one renewal of a worker's lease with its report, for several
// numbers of tasks on the worker.
func Leases(out io.Writer, target Target) error {
	t := newTable(out, "Renewal of one worker's lease (both ends of the call)", "tasks on the worker", "CPU", "bytes", "bytes/s per worker", "CPU per worker")
	var n, bytes, cpu []float64
	for _, tasks := range []int{0, 10, 30, 100} {
		c, err := measureLeaseRenewal(tasks)
		if err != nil {
			return err
		}
		t.row(tasks, c.CPU, c.Bytes, c.Bytes/leaseRenewInterval.Seconds(), percent(c.CPU.Seconds()/leaseRenewInterval.Seconds()))
		n = append(n, float64(tasks))
		bytes = append(bytes, c.Bytes)
		cpu = append(cpu, c.CPU.Seconds()*1e6)
	}
	b, u := Fit(n, bytes), Fit(n, cpu)
	workers := target.PerDataCentre(float64(target.Workers))
	perWorker := float64(target.Tasks) / float64(target.Workers)
	fmt.Fprintf(out, "\n%.0f B + %.1f B/task; %.0f us + %.2f us/task. An owner with %.1f workers of %.0f tasks: %.1f KB/s, %s of a core.\n",
		b.Fixed, b.Slope, u.Fixed, u.Slope, workers, perWorker,
		workers*b.At(perWorker)/leaseRenewInterval.Seconds()/1000, percent(workers*u.At(perWorker)/1e6/leaseRenewInterval.Seconds()))
	return nil
}

// measureLeaseRenewal starts the tasks on a stand-in of a worker and returns the
// cost of one renewal of its lease.
func measureLeaseRenewal(tasks int) (cost, error) {
	const id, holder = "region1-dc1-w17", "region1-dc1-e1-01JZZZZZZZZZZZZZZZZZZZZZZZ"
	w := worker.New(id, workerCapacity(0))
	defer w.Close()
	served, err := serve(w.Handler())
	if err != nil {
		return cost{}, err
	}
	defer served.close()
	client := workerclient.New(workerclient.Options{Name: "region1-dc1-e1"})
	ctx := context.Background()
	renew := func(int) error {
		_, err := client.Lease(ctx, served.addr, holder, fakeTerm, 10*time.Second, 30*time.Second, workerclient.Ack{})
		return err
	}
	if err := renew(0); err != nil {
		return cost{}, err
	}
	in := workerclient.StartRequest{Authority: workerclient.Authority{Holder: holder, Term: fakeTerm}}
	for i := range tasks {
		j := newJob(i, time.Now())
		in.Tasks = append(in.Tasks, workerclient.Start{
			Attempt:   structs.Attempt{Task: structs.TaskID{Job: j.ID, Index: i % tasksPerJob}, Number: 1, Worker: id},
			Resources: taskSize, Payload: j.Groups[0].Payload,
		})
	}
	if tasks > 0 {
		if _, err := client.Start(ctx, served.addr, in); err != nil {
			return cost{}, err
		}
	}
	return measure(500, served, renew)
}

// Rebuild measures how a new VM obtains the state of a jobs stream: from all
// records in the log, and from a snapshot of the same state.
func Rebuild(out io.Writer, target Target) error {
	t := newTable(out, "Rebuilding the state of a jobs stream", "tasks", "records", "read, decode and fold, wall", "CPU per record", "bytes per record",
		"snapshot parts", "snapshot bytes/task", "encode CPU", "restore wall", "scheduler.Recover wall")
	for _, s := range jobSizes {
		p := newJobPlane(target, s)
		tail, err := p.readBack(p.log)
		if err != nil {
			return err
		}
		var parts []records.JobSnapshot
		encode, err := measure(3, nil, func(int) (err error) {
			parts, err = p.state.Encode("snapshot", fakeTerm)
			return err
		})
		if err != nil {
			return err
		}
		snapshot, bytes := []records.Record{}, 0
		for i := range parts {
			snapshot = append(snapshot, records.Record{JobSnapshot: &parts[i]})
			bytes += len(parts[i].State)
		}
		restored, err := p.readBack(snapshot)
		if err != nil {
			return err
		}
		recover, err := measure(3, nil, func(int) error {
			jobs, cancelled := scheduler.Jobs(p.state, p.at)
			scheduler.Recover(p.now, scheduler.Inventory{
				Config: p.config, Workers: p.workers, Jobs: jobs, Cancelled: cancelled, Running: p.running,
			})
			return nil
		})
		if err != nil {
			return err
		}
		n := len(p.log)
		t.row(s.Tasks, n, tail.Wall, tail.CPU/time.Duration(n), tail.Bytes/float64(n),
			len(parts), float64(bytes)/float64(s.Tasks), encode.CPU, restored.Wall, recover.Wall)
	}
	return nil
}

// readBack writes records to a log and returns the cost of replaying them from
// there, in reads of the daemon's size. Snapshots are replayed by a reader that
// lacks the records before them.
func (p *jobPlane) readBack(recs []records.Record) (cost, error) {
	store := logstore.New(logstore.Options{})
	const stream = "jobs-region1-dc1"
	var batch []json.RawMessage
	for _, r := range recs {
		data, err := records.Encode(r)
		if err != nil {
			return cost{}, err
		}
		batch = append(batch, data)
	}
	store.Append(stream, batch)
	served, err := serve(store.Handler())
	if err != nil {
		return cost{}, err
	}
	defer served.close()
	log := platform.NewHTTPLog(served.addr, platform.HTTPOptions{Name: "reader"})
	return measure(1, served, func(int) error { return replayJobs(log, stream, recs[0].JobSnapshot) })
}
