package soak

import (
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. The comment says what Target is; it counts modulo the number of VMs or
// workers.
const (
	// KillVM kills a VM's process, which starts again after For. Target: VM.
	KillVM Kind = "kill-vm"
	// KillOwner is KillVM for the VM that owns the cell.
	KillOwner Kind = "kill-owner"
	// KillAll kills all VMs at once.
	KillAll Kind = "kill-all"
	// RestartTogether kills all VMs and starts them again at the same moment.
	RestartTogether Kind = "restart-together"
	// RemoveOwner makes all workers carry out half of the orders 2 to 5 s late, without an
	// answer, for at most lateBeforeRemoval, and then kills the VM that owns the cell for good.
	RemoveOwner Kind = "remove-owner"
	// PauseVM stops a VM's process with SIGSTOP for For. Target: VM.
	PauseVM Kind = "pause-vm"
	// PauseOwner is PauseVM for the VM that owns the cell.
	PauseOwner Kind = "pause-owner"
	// StopVM sends SIGTERM to a VM, which starts again after its end. Target: VM.
	StopVM Kind = "stop-vm"
	// StopOwner is StopVM for the VM that owns the cell.
	StopOwner Kind = "stop-owner"
	// StopAll stops the VMs one after the other, For apart.
	StopAll Kind = "stop-all"
	// ReloadVM sends SIGHUP to a VM. Target: VM.
	ReloadVM Kind = "reload-vm"
	// StoreRefuses makes the store refuse all calls for For.
	StoreRefuses Kind = "store-refuses"
	// StoreSilent leaves all calls of the store without an answer for For.
	StoreSilent Kind = "store-silent"
	// StoreSlow delays all calls of the store for For.
	StoreSlow Kind = "store-slow"
	// StoreLosesAnswers executes three in ten appends without an answer for For.
	StoreLosesAnswers Kind = "store-loses-answers"
	// StoreLate executes three in ten appends 1 to 4 s later, without an answer, for For.
	StoreLate Kind = "store-late"
	// StoreForgets drops the history of all topics.
	StoreForgets Kind = "store-forgets"
	// StoreTurnsAway refuses the calls of one VM for For. Target: VM.
	StoreTurnsAway Kind = "store-turns-away"
	// StoreTurnsOwnerAway is StoreTurnsAway for the VM that owns the cell.
	StoreTurnsOwnerAway Kind = "store-turns-owner-away"
	// CutStore silently cuts a VM off from the store for For. Target: VM.
	CutStore Kind = "cut-store"
	// CutStoreAnswers cuts only the answers of the store to a VM off for For. Target: VM.
	CutStoreAnswers Kind = "cut-store-answers"
	// DelayStore delays the calls of a VM and their answers on the link to the store for For.
	// Target: VM.
	DelayStore Kind = "delay-store"
	// ResetStore resets the connections of a VM to the store. Target: VM.
	ResetStore Kind = "reset-store"
	// ResetCallers resets the callers' connections to a VM. Target: VM.
	ResetCallers Kind = "reset-callers"
	// RestartWorker restarts a worker under its ID. Target: worker.
	RestartWorker Kind = "restart-worker"
	// RestartWorkers restarts a quarter of the workers at once.
	RestartWorkers Kind = "restart-workers"
	// CutWorkers silently cuts a quarter of the workers off for For. Target: first worker.
	CutWorkers Kind = "cut-workers"
	// CutWorkerAnswers cuts only the answers of a quarter of the workers off for For.
	CutWorkerAnswers Kind = "cut-worker-answers"
	// DelayWorkers delays the orders to a quarter of the workers and their answers for For.
	DelayWorkers Kind = "delay-workers"
	// LateOrders makes all workers carry out one order in ten 2 to 5 s late, without an
	// answer, for For.
	LateOrders Kind = "late-orders"
	// LostAnswers makes all workers lose one answer in ten for For.
	LostAnswers Kind = "lost-answers"
	// FailingWorkers makes a quarter of the workers fail all that they start for For.
	FailingWorkers Kind = "failing-workers"
	// RestartBehindCut restarts a quarter of the workers under their IDs while they are cut
	// off for For. For odd targets their entries are written again only after that.
	RestartBehindCut Kind = "restart-behind-cut"
	// ExpireEntries removes the entries of a quarter of the workers for For.
	ExpireEntries Kind = "expire-entries"
	// OddEntries replaces the entries of a quarter of the workers for For by entries that
	// name no worker. Target: first worker and kind of entry.
	OddEntries Kind = "odd-entries"
	// ForeignEntries writes entries that no worker writes, also under the IDs of a quarter of the
	// workers, every 0.3 s for For. Target: first worker.
	ForeignEntries Kind = "foreign-entries"
	// Publish publishes a configuration.
	Publish Kind = "publish"
	// PublishSeries publishes ten configurations in quick succession.
	PublishSeries Kind = "publish-series"
	// GrowConfig publishes a configuration with Target routes more.
	GrowConfig Kind = "grow-config"
	// NarrowStoreLinks limits the links of all VMs to the store to narrowLink for the rest of the run;
	// they do not count as disrupted.
	NarrowStoreLinks Kind = "narrow-store-links"
)

// kinds lists the kinds that DrawSchedule draws, each as likely as it is listed.
var kinds = []Kind{
	KillVM, KillOwner, KillOwner, KillAll, PauseVM, PauseOwner, PauseOwner, StopVM, StopOwner, StopAll, ReloadVM,
	StoreRefuses, StoreSilent, StoreSlow, StoreSlow, StoreLosesAnswers, StoreLate, StoreForgets, StoreTurnsAway, StoreTurnsOwnerAway,
	CutStore, CutStoreAnswers, DelayStore, ResetStore, ResetCallers,
	RestartWorker, RestartWorkers, CutWorkers, CutWorkerAnswers, DelayWorkers, LateOrders, LostAnswers, FailingWorkers,
	RestartTogether, RemoveOwner, RestartBehindCut, ExpireEntries, OddEntries, ForeignEntries,
	Publish, PublishSeries,
}

// scriptedKinds lists the kinds that only schedules from files have.
var scriptedKinds = []Kind{GrowConfig, NarrowStoreLinks}

// Fault is one fault of a schedule.
type Fault struct {
	// At is the time from the start of the traffic.
	At     time.Duration `yaml:"at"`
	Kind   Kind          `yaml:"kind"`
	For    time.Duration `yaml:"for,omitempty"`
	Target int           `yaml:"target"`
}

// Schedule is what happens in a run. The same schedule does not repeat a run exactly,
// since real processes run beside each other.
type Schedule struct {
	Seed    uint64        `yaml:"seed"`
	VMs     int           `yaml:"vms"`
	Workers int           `yaml:"workers"`
	Traffic time.Duration `yaml:"traffic"`
	// JobsPerSecond is the rate at which callers submit jobs.
	JobsPerSecond float64 `yaml:"jobs_per_second"`
	// PromptCancelShare is the share of the jobs that are cancelled within seconds of their
	// acceptance, often by a small VM or one that has just started. If it is 0, defaultCancelShare
	// of the jobs are cancelled, by any VM.
	PromptCancelShare float64 `yaml:"prompt_cancel_share,omitempty"`
	// LongShare is the share of the jobs with a step whose tasks run for 10 to 20 s.
	LongShare float64 `yaml:"long_share,omitempty"`
	Faults    []Fault `yaml:"faults"`
	// Customers is the number of customers with keys and quotas; without one, calls have no key.
	Customers int `yaml:"customers,omitempty"`
	// CustomerChanges are the changes of their keys and quotas.
	CustomerChanges []CustomerChange `yaml:"customer_changes,omitempty"`
}

// Size is the size of a run.
type Size struct {
	VMs           int
	Workers       int
	Traffic       time.Duration
	JobsPerSecond float64
}

const (
	// maxFaultTime bounds the length of one fault. Leases last 6 s and an owner's authority
	// 5 s, so that it is both shorter and longer than these.
	maxFaultTime = 8 * time.Second
	// meanFaultGap is the mean time between the beginnings of two faults. Faults overlap,
	// since most last longer.
	meanFaultGap = 1500 * time.Millisecond
	// seriesChance is the chance that a fault of the same kind follows at once.
	seriesChance = 0.25
	// quietStart is the time before the first fault.
	quietStart = time.Second
)

// DrawSchedule draws a schedule from a seed.
func DrawSchedule(seed uint64, size Size) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := Schedule{Seed: seed, VMs: size.VMs, Workers: size.Workers, Traffic: size.Traffic, JobsPerSecond: size.JobsPerSecond}
	kind := kinds[rng.IntN(len(kinds))]
	for at := quietStart; at < size.Traffic; at += time.Duration(rng.ExpFloat64() * float64(meanFaultGap)) {
		duration := time.Duration(rng.Int64N(int64(maxFaultTime))) + 100*time.Millisecond
		s.Faults = append(s.Faults, Fault{At: at.Round(time.Millisecond), Kind: kind, For: duration.Round(time.Millisecond), Target: rng.IntN(1000)})
		if rng.Float64() >= seriesChance {
			kind = kinds[rng.IntN(len(kinds))]
		}
	}
	return s
}

const (
	// calmGap is the least time between the end of a group of faults and the next group: contactBound,
	// the time in which the runs of a cancelled job must end, and some margin.
	calmGap = 7 * time.Second
	// calmGapSpread is how much longer a gap may be.
	calmGapSpread = 4 * time.Second
	// maxGroupFaults is the largest number of faults in a group.
	maxGroupFaults = 4
	// meanGroupGap is the mean time between the beginnings of two faults of a group.
	meanGroupGap = 600 * time.Millisecond
	// longShare is the share of the jobs with long tasks in a schedule of prompt cancellations.
	longShare = 0.4
)

// DrawCancelSchedule draws a schedule from a seed in which most jobs are cancelled, and in
// which groups of faults have calm gaps between them, so that the bound of cancellations applies.
func DrawCancelSchedule(seed uint64, size Size) Schedule {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := Schedule{
		Seed: seed, VMs: size.VMs, Workers: size.Workers, Traffic: size.Traffic, JobsPerSecond: size.JobsPerSecond,
		PromptCancelShare: 0.6 + 0.1*rng.Float64(), LongShare: longShare,
	}
	for at := quietStart; at < size.Traffic; {
		groupEnd := at
		for range 1 + rng.IntN(maxGroupFaults) {
			duration := time.Duration(rng.Int64N(int64(maxFaultTime))) + 100*time.Millisecond
			f := Fault{At: at.Round(time.Millisecond), Kind: kinds[rng.IntN(len(kinds))], For: duration.Round(time.Millisecond), Target: rng.IntN(1000)}
			s.Faults = append(s.Faults, f)
			groupEnd = max(groupEnd, f.At+f.For)
			at += time.Duration(rng.ExpFloat64() * float64(meanGroupGap))
		}
		at = groupEnd + calmGap + time.Duration(rng.Int64N(int64(calmGapSpread)))
	}
	return s
}

// ReadSchedule reads a schedule that WriteFile has written.
func ReadSchedule(path string) (Schedule, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, eris.Wrap(err, "read schedule")
	}
	var s Schedule
	if err := yaml.Unmarshal(data, &s); err != nil {
		return Schedule{}, eris.Wrapf(err, "decode schedule %s", path)
	}
	for i, f := range s.Faults {
		if !slices.Contains(kinds, f.Kind) && !slices.Contains(scriptedKinds, f.Kind) {
			return Schedule{}, eris.Errorf("schedule %s: fault %d has unknown kind %q", path, i, f.Kind)
		}
	}
	for i, change := range s.CustomerChanges {
		if !slices.Contains(changeKinds, change.Kind) || s.Customers <= 0 {
			return Schedule{}, eris.Errorf("schedule %s: customer change %d of kind %q with %d customers", path, i, change.Kind, s.Customers)
		}
	}
	if s.VMs <= 0 || s.Workers <= 0 || s.Traffic <= 0 || s.JobsPerSecond <= 0 {
		return Schedule{}, eris.Errorf("schedule %s: vms, workers, traffic and jobs_per_second must be positive", path)
	}
	return s, nil
}

// WriteFile writes the schedule as YAML, so that a run can be played again.
func (s Schedule) WriteFile(path string) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode schedule")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "write schedule")
}
