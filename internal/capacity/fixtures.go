package capacity

import (
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// Names and sizes of the fake jobs.
const (
	classBatch     = "batch-jobs"
	classService   = "services"
	tasksPerJob    = 10
	jobsPerService = 5 // every fifth job is a service
	fakeTerm       = int64(1 << 20)
)

var taskSize = structs.Resources{MilliCPU: 1000, MemoryMB: 1024}

// planeSize is a size of the job plane: its workers and running tasks.
type planeSize struct{ Workers, Tasks int }

var jobSizes = []planeSize{{50, 1000}, {400, 10_000}, {1300, 39_000}}

// vmCounts are the numbers of entry VMs of the benchmark runs.
var vmCounts = []int{8, 28, 56}

// config returns a configuration with the teams of the target and 20 classes.
// Each change gives another quota to one team.
func config(target Target, change int) structs.ClusterConfig {
	var c structs.ClusterConfig
	c.Classes = []structs.Class{
		{Name: classBatch, Kind: structs.KindBatch, StartTarget: 8 * time.Second, FinishTarget: time.Hour},
		{Name: classService, Kind: structs.KindService, StartTarget: 8 * time.Second},
	}
	for i := len(c.Classes); i < 20; i++ {
		c.Classes = append(c.Classes, structs.Class{
			Name: fmt.Sprintf("request-class-%02d", i), Kind: structs.KindRequest,
			StartTarget: time.Second, FinishTarget: time.Minute,
		})
	}
	for i := range target.Teams {
		quota := structs.Resources{MilliCPU: 2_000_000, MemoryMB: 2 << 20, Accelerators: 100}
		if i == change%target.Teams {
			quota.Accelerators += int64(change)
		}
		c.Teams = append(c.Teams, structs.Team{Name: teamName(i), Quota: quota})
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// configYAML returns the same configuration as text.
func configYAML(target Target, change int) string {
	c := config(target, change)
	return string(clusterconfig.Format(&c))
}

// clusterVMs returns the VMs of a cluster with the given numbers of entry VMs
// and workers, and 50 backend servers for each region of two data centres at the
// target number of workers.
func clusterVMs(target Target, entry, workers int) []structs.VM {
	var list []structs.VM
	dc := func(i int) string {
		return fmt.Sprintf("region%d-dc%d", i%target.DataCentres/2+1, i%target.DataCentres+1)
	}
	add := func(n int, kind structs.VMKind, prefix string) {
		for i := range n {
			vm := structs.VM{
				ID: fmt.Sprintf("%s-%s%d", dc(i), prefix, i), DataCentre: dc(i),
				Addr: fmt.Sprintf("10.20.%d.%d:7100", i/250, i%250), Kind: kind, State: structs.VMLive,
			}
			switch kind {
			case structs.VMWorker:
				vm.Rack = fmt.Sprintf("%s-r%d", dc(i), i/100)
				vm.Capacity = workerCapacity(i)
			case structs.VMServer:
				vm.Slots, vm.Connections = 8, 64
			}
			list = append(list, vm)
		}
	}
	add(entry, structs.VMEntry, "e")
	add(workers, structs.VMWorker, "w")
	add(workers*25*target.DataCentres/target.Workers, structs.VMServer, "s")
	return list
}

// workerCapacity returns the capacity of the i-th worker. 300 of 1,300 workers
// have a second accelerator.
func workerCapacity(i int) structs.Resources {
	r := structs.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10, Accelerators: 1}
	if i%13 < 3 {
		r.Accelerators = 2
	}
	return r
}

// newJob returns the i-th job of a cluster, accepted at the given time. Every
// fifth job is a service.
func newJob(i int, at time.Time) structs.Job {
	class, service := classBatch, false
	if i%jobsPerService == 0 {
		class, service = classService, true
	}
	return structs.Job{
		ID: ulid.MustNew(ulid.Timestamp(at), ulid.DefaultEntropy()).String(), Team: teamName(i % 67), Class: class,
		DataCentre: "region1-dc1", AcceptedAt: at,
		Groups: []structs.TaskGroup{{
			Name: "main", Count: tasksPerJob, Resources: taskSize, Service: service, RunTime: time.Hour,
			Payload: []byte(`{"run_ms":3600000,"usage_factor":0.5}`),
		}},
	}
}

// jobPlane is the state of a job plane whose tasks all run.
type jobPlane struct {
	state           *jobstate.State
	sched           *scheduler.Scheduler
	at              time.Time
	now             time.Duration
	log             []records.Record // of the jobs stream
	workers         []scheduler.Worker
	running         map[string][]structs.Attempt
	config          structs.ClusterConfig
	stateBytes      float64
	schedulerBytes  float64
	cpuPerPlacement time.Duration // processor time of the scheduler per placement
}

// newJobPlane lets the scheduler place the tasks and applies their records to
// the job state. It also determines the memory of both and the processor time of
// a placement.
func newJobPlane(target Target, s planeSize) *jobPlane {
	p := &jobPlane{at: time.Now(), running: map[string][]structs.Attempt{}, config: config(target, 0)}
	jobs := make([]structs.Job, s.Tasks/tasksPerJob)
	for i := range jobs {
		jobs[i] = newJob(i, p.at)
	}
	before := liveHeapBytes()
	p.sched = scheduler.New(p.config)
	for i := range s.Workers {
		w := scheduler.Worker{ID: fmt.Sprintf("region1-dc1-w%d", i), Rack: fmt.Sprintf("r%d", i/8), Capacity: workerCapacity(i)}
		p.workers = append(p.workers, w)
		p.sched.Apply(p.now, scheduler.WorkerUp{Worker: w})
	}
	var starts []structs.Attempt
	cpu := processorTime()
	for i := range jobs {
		p.collectStarts(p.sched.Apply(p.now, scheduler.JobAdded{Job: jobs[i]}), &starts)
	}
	for p.sched.HasReadyWork() {
		p.collectStarts(p.sched.Apply(p.now, scheduler.Tick{}), &starts)
	}
	p.cpuPerPlacement = (processorTime() - cpu) / time.Duration(max(len(starts), 1))
	for _, a := range starts {
		p.sched.Apply(p.now, scheduler.TaskStarted{Attempt: a})
	}
	after := liveHeapBytes()
	p.schedulerBytes = after - before
	p.state = jobstate.New()
	for i := range jobs {
		p.applyRecord(records.Record{JobAccepted: &records.JobAccepted{Job: jobs[i]}})
	}
	for _, a := range starts {
		p.applyRecord(records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: fakeTerm}})
		p.running[a.Worker] = append(p.running[a.Worker], a)
	}
	withLog := liveHeapBytes()
	logMem := p.recordMemory()
	p.stateBytes = withLog - after - logMem
	return p
}

// applyRecord applies a record to the job state and appends it to the log.
func (p *jobPlane) applyRecord(r records.Record) {
	p.state.Apply(int64(len(p.log)), p.at, r)
	p.log = append(p.log, r)
}

// recordMemory returns the memory in bytes of p.log and p.running, which only
// the measurement keeps. It copies them to find it.
func (p *jobPlane) recordMemory() float64 {
	before := liveHeapBytes()
	log := make([]records.Record, 0, cap(p.log))
	for _, r := range p.log {
		if r.TaskStart != nil {
			start := *r.TaskStart
			r.TaskStart = &start
		}
		if r.JobAccepted != nil {
			accepted := *r.JobAccepted
			r.JobAccepted = &accepted
		}
		log = append(log, r)
	}
	running := map[string][]structs.Attempt{}
	for w, attempts := range p.running {
		running[w] = append(make([]structs.Attempt, 0, cap(attempts)), attempts...)
	}
	size := liveHeapBytes() - before
	if len(log) != len(p.log) || len(running) != len(p.running) {
		return 0
	}
	return size
}

// collectStarts appends the attempts that the actions start.
func (p *jobPlane) collectStarts(actions []scheduler.Action, starts *[]structs.Attempt) {
	for _, action := range actions {
		if s, ok := action.(scheduler.Start); ok {
			for _, placement := range s.Placements {
				*starts = append(*starts, placement.Attempt)
			}
		}
	}
}
