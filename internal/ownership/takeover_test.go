package ownership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// takeoverCase is a run in which the owner dies, and what may happen besides.
type takeoverCase struct {
	name string
	vms  int
	// logDown takes the log down from 40 s before to 10 s after the death.
	logDown bool
	// unreachedWorkers is the number of workers out of reach of the other VMs.
	unreachedWorkers int
}

// ownerDeath is when the owner dies in a takeover. The other VMs then know its claim
// and that it holds a majority.
const ownerDeath = time.Minute

func (c takeoverCase) run(seed int) *sim {
	rng := rand.New(rand.NewPCG(uint64(seed), 2))
	p := twoVMPlan(seed, fault{Kind: "kill", At: ownerDeath, Length: 4 * time.Minute})
	if c.vms == simVMs {
		// Both other VMs start after the first owner has claimed.
		p.Faults[1].Length = 3 * time.Second
	}
	if c.logDown {
		at := ownerDeath - 40*time.Second + time.Duration(rng.Int64N(int64(50*time.Second)))
		p.Faults = append(p.Faults, fault{Kind: "logDown", At: at, Length: 4 * time.Minute})
	}
	mask := 1<<c.unreachedWorkers - 1
	for vm := 1; vm < simVMs && mask > 0; vm++ {
		p.Faults = append(p.Faults, fault{Kind: "requestCut", VM: vm, At: ownerDeath - 10*time.Second, Length: 4 * time.Minute, Mask: mask})
	}
	p.Watch = ownerDeath
	p.Length = ownerDeath + 100*time.Second
	p.Isolation = time.Hour
	return runPlan(p, defects{})
}

// lateInterimOwnerSeed is a seed with which a claimant lost the log before it could start
// tasks and waited until tasks had ended before it took over without the log.
const lateInterimOwnerSeed = 240

// Guards against a successor that renews after the tasks of a dead owner have
// ended, in particular one of two VMs while the log is down.
func TestTakeoverKeepsTasks(t *testing.T) {
	t.Parallel()
	cases := []takeoverCase{
		{"log up", 3, false, 0},
		{"log up, two VMs", 2, false, 0},
		{"log up, two VMs, two workers out of reach", 2, false, 2},
		{"log down", 3, true, 0},
		{"log down, two VMs", 2, true, 0},
		{"log down, two VMs, two workers out of reach", 2, true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var renewed, owned, full []time.Duration
			lost := 0
			seeds := []int{lateInterimOwnerSeed}
			for seed := range *plansPerTakeover {
				seeds = append(seeds, seed+1)
			}
			for _, seed := range seeds {
				s := c.run(seed)
				is.Equal(len(s.errs), 0)
				last := time.Duration(0)
				for _, w := range s.workers[c.unreachedWorkers:] {
					last = max(last, w.takenAt-ownerDeath)
					w.expireTasks(s.trueTime)
					lost += w.lostTasks
					if w.takenAt < ownerDeath || w.lostTasks > 0 {
						t.Errorf("seed %d: taken after %v, %d tasks lost", seed, w.takenAt-ownerDeath, w.lostTasks)
					}
				}
				renewed = append(renewed, last)
				owned = append(owned, s.tasksStartedAt-ownerDeath)
				if s.tasksStartedAt < ownerDeath || (s.unlimitedAt < ownerDeath && !c.logDown) {
					t.Errorf("seed %d: no successor starts tasks", seed)
				}
				// A claim that reached the log just before the outage hides that
				// the dead owner had a majority. Its tasks run on, and those that
				// run nowhere wait for the log.
				if s.unlimitedAt > ownerDeath {
					full = append(full, s.unlimitedAt-ownerDeath)
				}
			}
			for _, times := range [][]time.Duration{renewed, owned, full} {
				slices.Sort(times)
			}
			n := len(renewed)
			t.Logf("%d plans, p50 and max after the death: last worker renewed %v %v, tasks started %v %v, "+
				"inherited tasks started %v %v in %d plans; %d tasks lost",
				n, renewed[n/2], renewed[n-1], owned[n/2], owned[n-1], full[len(full)/2], full[len(full)-1], len(full), lost)
			is.True(len(full) > n*9/10)
			is.True(renewed[n-1] < DefaultTaskLeaseTTL-DefaultRenewInterval) // the last renewal may be that old
		})
	}
}

// Guards against a successor that never starts inherited tasks, since it keeps
// the tasks alive on workers that grant leases and don't say what runs there.
func TestWorkersWithoutInventory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := 1; seed <= 20; seed++ {
		p := twoVMPlan(seed,
			fault{Kind: "inventoryCut", VM: 1, At: ownerDeath - 10*time.Second, Length: 5 * time.Minute, Mask: 3},
			fault{Kind: "kill", At: ownerDeath, Length: 5 * time.Minute})
		p.Faults[1].Length = 7 * time.Minute
		p.Watch = ownerDeath
		p.Length = ownerDeath + 4*time.Minute
		s := runPlan(p, defects{})
		is.Equal(len(s.errs), 0)
		is.True(s.unlimitedAt > ownerDeath) // inherited tasks start
	}
}
