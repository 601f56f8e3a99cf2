package daemon

import (
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// View is an immutable snapshot of the control state for goroutines outside the
// control loop.
type View struct {
	VM         string
	Instance   string
	DataCentre string

	ConfigVersion int64
	ConfigPublish records.ConfigPublish
	Config        *structs.ClusterConfig

	OwnerTerm     int64
	OwnerInstance string
	OwnerAddr     string
	// Owning is true while this VM schedules the jobs of its data centre.
	Owning bool
	// CPUAllocated is the allocated fraction of the workers' CPU, if Owning.
	CPUAllocated float64

	// Requests describes the requests on this VM.
	Requests dispatch.Stats
	// LogReachable reports for each stream whether its last read succeeded.
	LogReachable map[string]bool

	// Ready is true when the VM can serve callers.
	Ready bool
	// Drained is true when a shutdown may end.
	Drained bool
}

const (
	// viewPublishInterval is the period of new snapshots.
	viewPublishInterval = 100 * time.Millisecond
	// cpuAllocatedInterval is the period at which the allocated CPU is summed
	// up, which takes a millisecond with 3,000 tasks.
	cpuAllocatedInterval = 5 * time.Second
	// firstSlotsTimeout is how long a new VM waits for its first slots before
	// it reports that it is ready without them. Callers then get explicit
	// refusals.
	firstSlotsTimeout = 20 * time.Second
)

// publishView publishes a new snapshot when one is due. It runs on the control
// loop at the end of each slow tick.
func (c *control) publishView() {
	if c.now()-c.viewPublishedAt < viewPublishInterval {
		return
	}
	c.viewPublishedAt = c.now()
	old := c.d.view.Load()
	v := &View{
		VM: old.VM, Instance: old.Instance, DataCentre: old.DataCentre,
		OwnerTerm:    records.NoTerm,
		Owning:       c.scheduler != nil,
		Requests:     c.dispatcher.Stats(c.now()),
		LogReachable: map[string]bool{},
	}
	current := c.config.Current()
	v.ConfigVersion = current.Version
	v.ConfigPublish = current.Publish
	v.Config = current.Config
	if owner, ok := c.owners[v.DataCentre]; ok {
		v.OwnerTerm, v.OwnerInstance, v.OwnerAddr = owner.term, owner.instance, owner.addr
	}
	for stream, s := range c.streams {
		v.LogReachable[stream] = s.isReachable
	}
	if v.Owning {
		if c.now()-c.cpuAllocatedAt >= cpuAllocatedInterval {
			c.cpuAllocatedAt = c.now()
			c.lastCPUAllocated = c.cpuAllocatedFraction()
		}
		v.CPUAllocated = c.lastCPUAllocated
	}
	c.hasHadSlots = c.hasHadSlots || c.hasSlots()
	v.Ready = current.Config != nil && !c.d.draining.Load() && (c.hasHadSlots || c.now() > firstSlotsTimeout)
	v.Drained = c.isShuttingDown && c.advanceDrain()
	c.d.view.Store(v)
}

// cpuAllocatedFraction returns the allocated fraction of the CPU of the workers
// that are up. publishView calls it on the owner, at most once per
// cpuAllocatedInterval.
func (c *control) cpuAllocatedFraction() float64 {
	var capacity, used int64
	for _, w := range c.workers {
		if w.isUp {
			capacity += w.vm.Capacity.MilliCPU
			used += c.workerUsed(w).MilliCPU
		}
	}
	if capacity == 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// workerUsed returns the sum of the declared sizes of the attempts that are
// live on a worker. The control loop calls it for the allocated CPU in the view
// and when an operator requests the workers.
func (c *control) workerUsed(w *workerState) structs.Resources {
	var used structs.Resources
	for _, a := range c.jobs.RunningOn(w.vm.ID) {
		if job, ok := c.jobs.Job(a.Task.Job); ok {
			used = used.Add(groupOf(&job, a.Task.Index).Resources)
		}
	}
	return used
}
