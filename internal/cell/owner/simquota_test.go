package owner

import (
	"fmt"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// Customers with quotas in the simulation, and the judge of rule QUOTA: no start brings what a
// customer has running on all workers above its quota with the overshoot plus one task; of the
// versions of the configuration that may be in force, the highest quota counts.

const (
	simOvershoot = 0.1
	// simConfigTime is how long after a new version the one before may be in force, and
	// simLateTime is how long after its request a late start may be carried out.
	simConfigTime = 3 * time.Second
	simLateTime   = 7 * time.Second
)

// simCustomers are the customers of the jobs in turn. The configuration does not have the last.
var simCustomers = []string{"cores", "memory", "none"}

// simQuotas are the changes of quotas and what the judge knows about them.
type simQuotas struct {
	changeInterval time.Duration
	versions       []simVersion
	// waits counts the starts that brought a customer above 0.9 of its quota, so that a run in
	// which no quota matters is seen.
	waits int
}

// simVersion is a version of the configuration and when the next one replaced it; 0 for the last.
type simVersion struct {
	config  *cell.Config
	endedAt time.Duration
}

// publishQuotas publishes a new version. Its quotas hold the largest gang of submit at least with
// the overshoot, since a gang that exceeds it never runs.
func (s *sim) publishQuotas() {
	config := *s.config
	config.Version++
	config.Customers = &cell.Customers{List: []cell.Customer{
		{Name: "cores", Weight: 1, MaxRunning: structs.Resources{MilliCPU: int64(13000 + s.rand.IntN(2)*13000)}},
		{Name: "memory", Weight: 2, MaxRunning: structs.Resources{MilliCPU: 60000, MemoryMB: int64(9200 + s.rand.IntN(2)*9000)}},
	}}
	config.Index()
	q := s.faults.quotas
	if len(q.versions) > 0 {
		q.versions[len(q.versions)-1].endedAt = s.now
	}
	q.versions = append(q.versions, simVersion{config: &config})
	s.config = &config
}

// changeQuotas publishes a new version, which the owner reads within a second.
func (s *sim) changeQuotas() {
	s.publishQuotas()
	config := s.config
	s.after(time.Duration(s.rand.IntN(1000))*time.Millisecond, func() {
		if !s.owner.isCut && s.owner.machine.config.Version < config.Version {
			s.owner.apply(ConfigChanged{Config: config})
		}
	})
}

// configOfSuccessor returns the configuration that a new owner has read: the newest, or the one
// before if that was in force until a moment ago.
func (s *sim) configOfSuccessor() *cell.Config {
	if s.faults.quotas == nil {
		return s.config
	}
	v := s.faults.quotas.versions
	if len(v) > 1 && s.now-v[len(v)-2].endedAt < time.Second {
		newest := s.config
		s.after(time.Second, func() {
			if s.owner.machine.config.Version < newest.Version {
				s.owner.apply(ConfigChanged{Config: newest})
			}
		})
		return v[len(v)-2].config
	}
	return s.config
}

// checkQuota judges a start by rule QUOTA.
func (s *sim) checkQuota(j *simJob, task string, step *cell.Step) {
	if s.faults.quotas == nil {
		return
	}
	running := step.Need
	for _, w := range s.workers {
		if !w.isUp {
			continue
		}
		for _, r := range w.runs {
			if s.jobs[r.id.Job].def.Customer == j.def.Customer {
				running = running.Add(r.need)
			}
		}
	}
	window := simConfigTime
	if s.calm.isExecutingLate {
		window = simLateTime
	}
	var limit structs.Resources
	for _, v := range s.faults.quotas.versions {
		c := v.config.Customer(j.def.Customer)
		if c == nil || v.endedAt > 0 && s.now-v.endedAt > window {
			continue
		}
		limit.MilliCPU, limit.MemoryMB = max(limit.MilliCPU, c.MaxRunning.MilliCPU), max(limit.MemoryMB, c.MaxRunning.MemoryMB)
	}
	s.checkLimit(j, task, running.MilliCPU, limit.MilliCPU, step.Need.MilliCPU)
	s.checkLimit(j, task, running.MemoryMB, limit.MemoryMB, step.Need.MemoryMB)
}

func (s *sim) checkLimit(j *simJob, task string, running, limit, need int64) {
	if limit == 0 {
		return
	}
	if running > limit+limit/10+need {
		s.t.Fatalf("%v task %s brings customer %s to %d of %d", s.now, task, j.def.Customer, running, limit)
	}
	if 10*running > 9*limit {
		s.faults.quotas.waits++
	}
}

// TestSimulatedQuotas guards QUOTA under combinations of faults: takeovers, lost workers, stops
// in progress, late starts, outages of the store, and quotas that are raised and lowered.
func TestSimulatedQuotas(t *testing.T) {
	cases := []struct {
		name   string
		faults simFaults
	}{
		{"calm", simFaults{}},
		{"takeovers and outages", simFaults{outageInterval: 5 * time.Second, takeoverInterval: 4 * time.Second, lostAnswerFraction: 0.05}},
		{"all", simFaults{lostAnswerFraction: 0.05, delayedRequestFraction: 0.02, failedRunFraction: 0.05, crashInterval: 5 * time.Second, restartInterval: time.Second,
			partitionInterval: 4 * time.Second, takeoverInterval: 6 * time.Second, outageInterval: 9 * time.Second, cancelFraction: 0.1}},
		{"silent owners", simFaults{silentInterval: 4 * time.Second, partitionInterval: 1200 * time.Millisecond, maxPartitionTime: 9 * time.Second,
			runTime: 3 * time.Second, slowClocks: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(*simFirst); seed < uint64(*simFirst+*simSeeds); seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					faults := c.faults
					faults.quotas = &simQuotas{changeInterval: 2 * time.Second}
					s := newSim(t, seed, 9, faults)
					jobs := 120
					if faults.runTime > 0 {
						jobs = 60
					}
					s.runScenario(jobs)
					if faults.quotas.waits == 0 {
						t.Error("no customer came near its quota")
					}
					t.Logf("%+v, %d starts near a quota", s.stats, faults.quotas.waits)
				})
			}
		})
	}
}
