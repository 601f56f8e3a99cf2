package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/daemon"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/backendserver"
	"gypsumwinch/standin/control"
	"gypsumwinch/standin/logstore"
	"gypsumwinch/standin/vmlist"
	"gypsumwinch/standin/worker"
)

// Durations of a run with whole daemons.
const (
	settleTime   = 3 * time.Second
	sampleTime   = 6 * time.Second
	stepTimeout  = 35 * time.Second
	pollInterval = 5 * time.Millisecond
)

var (
	errPorts   = errors.New("no free port on loopback")
	errStep    = errors.New("a step of the cluster run took too long")
	errRefused = errors.New("a publication or job was not accepted")
)

// cluster runs real daemons in this process, with stand-ins for the log, the VM
// list, the workers and the backend servers.
type cluster struct {
	target         Target
	store          *logstore.Log
	logServer      *countingServer
	vmListServer   *countingServer
	vmList         *vmlist.List
	workerServers  countingServers
	backendServers countingServers
	daemons        []*daemon.Daemon
	entryVMs       []structs.VM
	jobIDs         map[string][]string // by data centre
	// workerNodes holds the workers by data centre. stopDaemon holds the
	// function that ends a daemon by VM.
	workerNodes map[string][]control.Node
	stopDaemon  map[string]context.CancelFunc

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// countingServers are the servers of many stand-ins.
type countingServers []*countingServer

// total returns the bytes of all servers.
func (t countingServers) total() int64 {
	n := int64(0)
	for _, c := range t {
		n += c.bytes.Load()
	}
	return n
}

// close ends the daemons, waits for them and then closes the stand-ins.
func (c *cluster) close() {
	c.cancel()
	c.wg.Wait()
	for _, s := range append(append(countingServers{c.logServer, c.vmListServer}, c.workerServers...), c.backendServers...) {
		s.close()
	}
}

// newCluster starts the stand-ins and reserves addresses for the entry VMs.
// startAll starts their daemons.
func newCluster(target Target, entry, workers int) (*cluster, error) {
	c := &cluster{target: target, store: logstore.New(logstore.Options{}), jobIDs: map[string][]string{},
		workerNodes: map[string][]control.Node{}, stopDaemon: map[string]context.CancelFunc{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var err error
	if c.logServer, err = serve(c.store.Handler()); err != nil {
		return nil, err
	}
	list := clusterVMs(target, entry, workers)
	for i := range list {
		vm := &list[i]
		var s *countingServer
		switch vm.Kind {
		case structs.VMWorker:
			w := worker.New(vm.ID, vm.Capacity)
			c.workerNodes[vm.DataCentre] = append(c.workerNodes[vm.DataCentre], w)
			s, err = serve(w.Handler())
			c.workerServers = append(c.workerServers, s)
		case structs.VMServer:
			s, err = serve(backendserver.New(vm.Slots).Handler())
			c.backendServers = append(c.backendServers, s)
		default:
			if vm.Addr, err = freeAddr(); err != nil {
				return nil, err
			}
			c.entryVMs = append(c.entryVMs, *vm)
			continue
		}
		if err != nil {
			return nil, err
		}
		vm.Addr = s.addr
	}
	c.vmList = vmlist.New(list)
	c.vmListServer, err = serve(c.vmList.Handler())
	return c, err
}

// nextPort counts the ports given to daemons. They are below the ports that the
// system gives to connections, which could otherwise take the port of a daemon
// that has not started yet.
var nextPort atomic.Int32

const firstPort, lastPort = 20_000, 30_000

// freeAddr returns a loopback address on which it could listen a moment ago.
func freeAddr() (string, error) {
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errPorts
}

// startDaemon runs a daemon for an entry VM until its context in stopDaemon or
// that of the cluster ends.
func (c *cluster) startDaemon(vm structs.VM) (*daemon.Daemon, error) {
	settings := daemon.DefaultSettings()
	settings.VM, settings.DataCentre, settings.PeerListen = vm.ID, vm.DataCentre, vm.Addr
	settings.Platform.Log, settings.Platform.VMList = c.logServer.addr, c.vmListServer.addr
	settings.BalancerDelay, settings.DrainTimeout = 0, daemon.Duration(20*time.Second)
	var err error
	if settings.Listen, err = freeAddr(); err != nil {
		return nil, err
	}
	d := daemon.New(settings, hclog.NewNullLogger(), daemon.Dependencies{})
	ctx, stop := context.WithCancel(c.ctx)
	c.stopDaemon[vm.ID] = stop
	c.wg.Go(func() {
		if err := d.Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, vm.ID, err)
		}
	})
	return d, nil
}

// startAll writes a configuration to the log, starts all daemons and waits until
// each has the configuration.
func (c *cluster) startAll() error {
	first, err := records.Encode(records.Record{ConfigPublish: newConfigPublish(c.target, 0, configYAML(c.target, 0))})
	if err != nil {
		return err
	}
	c.store.Append(records.StreamConfig, []json.RawMessage{first})
	for _, vm := range c.entryVMs {
		d, err := c.startDaemon(vm)
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	if _, err := c.wait(c.daemons, hasClass(classBatch)); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	return nil
}

// wait polls the daemons in order until ok has returned true for each, and
// returns the time that this took. It returns errStep after stepTimeout.
func (c *cluster) wait(list []*daemon.Daemon, ok func(i int, d *daemon.Daemon) bool) (time.Duration, error) {
	start := time.Now()
	for i, d := range list {
		for !ok(i, d) {
			if time.Since(start) > stepTimeout {
				return 0, errStep
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}

// hasClass returns a condition for wait: the daemon knows the class.
func hasClass(name string) func(int, *daemon.Daemon) bool {
	return func(_ int, d *daemon.Daemon) bool {
		_, found, _ := d.Class(name)
		return found
	}
}

// publish adds a class to the configuration through one daemon. It returns the
// name of the class and the new version.
func (c *cluster) publish(d *daemon.Daemon, n int, base int64) (string, int64, error) {
	name := fmt.Sprintf("added-%02d", n)
	yaml := configYAML(c.target, n)
	yaml = "classes:\n  - name: " + name + "\n    kind: request\n    start_target: 1s\n    finish_target: 1m\n" + yaml[len("classes:\n"):]
	out, err := d.PublishConfig(c.ctx, operatorapi.PublishRequest{
		ID: ulid.Make().String(), Base: base, YAML: yaml, Who: "dyspozytor", Why: "capacity",
	})
	if err == nil && out.Status != operatorapi.PublishAccepted {
		err = fmt.Errorf("%w: %s", errRefused, out.Reason)
	}
	return name, out.Version, err
}

// submitJobs submits jobs with the given total of tasks, divided among the data
// centres, and returns the time until they run. It checks the first, middle and
// last job of each data centre.
func (c *cluster) submitJobs(tasks int) (time.Duration, error) {
	perDC := tasks / tasksPerJob / c.target.DataCentres
	begin := time.Now()
	failed := make(chan error, len(c.daemons))
	var wg sync.WaitGroup
	for i := range c.target.DataCentres { // the first VM of each data centre
		for n := range perDC {
			j := newJob(n, time.Now())
			j.DataCentre = c.entryVMs[i].DataCentre
			c.jobIDs[j.DataCentre] = append(c.jobIDs[j.DataCentre], j.ID)
			wg.Go(func() {
				if out := c.daemons[i].SubmitJob(c.ctx, j); out.Status != structs.StatusCompleted {
					select {
					case failed <- fmt.Errorf("%w: %s", errRefused, out.Reason):
					default:
					}
				}
			})
		}
	}
	wg.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
	}
	_, err := c.wait(c.daemons[:c.target.DataCentres], func(i int, d *daemon.Daemon) bool {
		ids := c.jobIDs[c.entryVMs[i].DataCentre]
		for _, id := range []string{ids[0], ids[len(ids)/2], ids[len(ids)-1]} {
			if status, err := d.JobStatus(c.ctx, id); err != nil || status == nil || status.Counts["running"] != tasksPerJob {
				return false
			}
		}
		return true
	})
	return time.Since(begin), err
}

// Cluster returns the measurement of the i-th of three sizes of cluster.
func Cluster(i int) func(io.Writer, Target) error {
	return func(out io.Writer, target Target) error {
		t := newTable(out, "Whole daemons and all stand-ins in one process", "entry VMs", "data centres", "workers", "tasks", "start of all tasks",
			"CPU of the process", "heap per VM, MB", "goroutines per VM", "log KB/s per VM", "VM list KB/s per VM", "KB/s per worker",
			"log reads/s", "log appends/s", "change in force on all VMs", "the same, one data centre without the log", "new VM: configuration", "new VM: jobs")
		target.VMs, target.DataCentres = vmCounts[i], vmCounts[i]/4
		return runCluster(t, target, jobSizes[i])
	}
}

// runCluster starts a cluster of the given size and prints its row of the table.
func runCluster(t table, target Target, s planeSize) error {
	c, err := newCluster(target, target.VMs, s.Workers)
	if err != nil {
		return err
	}
	defer c.close()
	idle, goroutines := liveHeapBytes(), runtime.NumGoroutine()
	if err := c.startAll(); err != nil {
		return err
	}
	n := float64(len(c.daemons))
	time.Sleep(settleTime)
	perVM, routines := (liveHeapBytes()-idle)/n/1e6, (runtime.NumGoroutine()-goroutines)/len(c.daemons)
	started, err := c.submitJobs(s.Tasks)
	if err != nil {
		return fmt.Errorf("start of tasks: %w", err)
	}
	time.Sleep(settleTime)
	m := c.measureRates()
	change, err := c.measureChange(false)
	if err != nil {
		return fmt.Errorf("change of the configuration: %w", err)
	}
	withoutLog, err := c.measureChange(true)
	if err != nil {
		return fmt.Errorf("change without the log: %w", err)
	}
	configured, caughtUp, err := c.measureNewVM()
	if err != nil {
		return fmt.Errorf("new VM: %w", err)
	}
	t.row(target.VMs, target.DataCentres, s.Workers, s.Tasks, started.Round(time.Millisecond), percent(m.cpu), perVM, routines,
		m.log/n/1000, m.list/n/1000, m.workers/float64(s.Workers)/1000, m.reads, m.appends, change, withoutLog, configured, caughtUp)
	return nil
}

// rates are amounts per second: processor time, bytes of the log, the VM list
// and the workers, and calls of the log.
type rates struct{ cpu, log, list, workers, reads, appends float64 }

// measureRates returns the average rates over sampleTime.
func (c *cluster) measureRates() rates {
	read := func() rates {
		o := c.store.Observed().(logstore.Observed)
		r := rates{
			cpu: processorTime().Seconds(), log: float64(c.logServer.bytes.Load()),
			list: float64(c.vmListServer.bytes.Load()), workers: float64(c.workerServers.total()),
		}
		for _, n := range o.Reads {
			r.reads += float64(n)
		}
		for _, n := range o.Appends {
			r.appends += float64(n)
		}
		return r
	}
	a, start := read(), time.Now()
	time.Sleep(sampleTime)
	b, s := read(), time.Since(start).Seconds()
	return rates{
		cpu: (b.cpu - a.cpu) / s, log: (b.log - a.log) / s, list: (b.list - a.list) / s,
		workers: (b.workers - a.workers) / s, reads: (b.reads - a.reads) / s, appends: (b.appends - a.appends) / s,
	}
}

// measureChange publishes five times and returns the longest time until all VMs
// have the change. With withoutLog, the VMs of the last data centre cannot reach
// the log.
func (c *cluster) measureChange(withoutLog bool) (time.Duration, error) {
	if withoutLog {
		var faults logstore.Faults
		for _, vm := range c.entryVMs {
			if vm.DataCentre == c.entryVMs[c.target.DataCentres-1].DataCentre {
				faults.Cut = append(faults.Cut, vm.ID)
			}
		}
		if err := setFaults(c.store, faults); err != nil {
			return 0, err
		}
		defer setFaults(c.store, logstore.Faults{}) //nolint:errcheck // Empty faults always parse.
		time.Sleep(2 * time.Second)                 // lets pending reads end
	}
	longest := time.Duration(0)
	base := int64(len(c.store.Entries(records.StreamConfig)) - 1)
	for n := range 5 {
		begin := time.Now()
		name, version, err := c.publish(c.daemons[0], int(base)+n+1, base)
		if err != nil {
			return 0, err
		}
		base = version
		if _, err := c.wait(c.daemons, hasClass(name)); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(begin))
	}
	return longest, nil
}

// setFaults sets the faults of a stand-in.
func setFaults(n control.Node, faults any) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return n.SetFaults(data)
}

// measureNewVM adds a VM to the first data centre and returns the times until it
// has the configuration and until it knows the last job.
func (c *cluster) measureNewVM() (configured, caughtUp time.Duration, err error) {
	vm := c.entryVMs[0]
	vm.ID += "-new"
	if vm.Addr, err = freeAddr(); err != nil {
		return 0, 0, err
	}
	c.vmList.Put(vm)
	d, err := c.startDaemon(vm)
	if err != nil {
		return 0, 0, err
	}
	list := []*daemon.Daemon{d}
	if configured, err = c.wait(list, func(int, *daemon.Daemon) bool { _, _, ready := d.Class(classBatch); return ready }); err != nil {
		return 0, 0, err
	}
	ids := c.jobIDs[vm.DataCentre]
	more, err := c.wait(list, func(int, *daemon.Daemon) bool {
		status, err := d.JobStatus(c.ctx, ids[len(ids)-1])
		return err == nil && status != nil && status.Counts["running"] == tasksPerJob
	})
	return configured, configured + more, err
}
