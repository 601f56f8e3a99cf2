package ownership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// takeoverCase is a kind of run in which the owner fails, with other faults.
type takeoverCase struct {
	name string
	vms  int
	// logDown starts an outage of the log between 40 s before and 10 s after
	// the failure.
	logDown bool
	// unreachedWorkers is the number of workers that the other VMs cannot
	// reach.
	unreachedWorkers int
}

// ownerFailureTime is when the owner fails. The other VMs then know its claim and
// that it holds a majority.
const ownerFailureTime = time.Minute

func (c takeoverCase) run(seed int) *sim {
	rng := rand.New(rand.NewPCG(uint64(seed), 2))
	p := twoVMPlan(seed, fault{Kind: "kill", At: ownerFailureTime, Length: 4 * time.Minute})
	if c.vms == simVMs {
		// Both other VMs start after the first owner has claimed.
		p.Faults[1].Length = 3 * time.Second
	}
	if c.logDown {
		at := ownerFailureTime - 40*time.Second + time.Duration(rng.Int64N(int64(50*time.Second)))
		p.Faults = append(p.Faults, fault{Kind: "logDown", At: at, Length: 4 * time.Minute})
	}
	mask := 1<<c.unreachedWorkers - 1
	for vm := 1; vm < simVMs && mask > 0; vm++ {
		p.Faults = append(p.Faults, fault{Kind: "requestCut", VM: vm, At: ownerFailureTime - 10*time.Second, Length: 4 * time.Minute, Mask: mask})
	}
	p.Watch = ownerFailureTime
	p.Length = ownerFailureTime + 100*time.Second
	p.Isolation = time.Hour
	return runPlan(p, defects{})
}

// lateInterimOwnerSeed is a seed with which an owner lost the log before it
// could start tasks, and waited until tasks had ended before it took over
// without the log.
const lateInterimOwnerSeed = 240

// Guards against a successor that renews leases only after the tasks of a
// failed owner have ended, in particular one of two VMs during an outage of
// the log.
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
			var renewalTimes, startTimes, unlimitedTimes []time.Duration
			lostTasks := 0
			seeds := []int{lateInterimOwnerSeed}
			for seed := range *plansPerTakeover {
				seeds = append(seeds, seed+1)
			}
			for _, seed := range seeds {
				s := c.run(seed)
				is.Equal(len(s.errs), 0)
				lastRenewal := time.Duration(0)
				for _, w := range s.workers[c.unreachedWorkers:] {
					lastRenewal = max(lastRenewal, w.takenAt-ownerFailureTime)
					w.expireTasks(s.trueTime)
					lostTasks += w.lostTasks
					if w.takenAt < ownerFailureTime || w.lostTasks > 0 {
						t.Errorf("seed %d: worker leased by a successor after %v, %d tasks lost", seed, w.takenAt-ownerFailureTime, w.lostTasks)
					}
				}
				renewalTimes = append(renewalTimes, lastRenewal)
				startTimes = append(startTimes, s.tasksStartedAt-ownerFailureTime)
				if s.tasksStartedAt < ownerFailureTime || (s.unlimitedAt < ownerFailureTime && !c.logDown) {
					t.Errorf("seed %d: no successor starts tasks", seed)
				}
				// If a claim reaches the log just before the outage, the log no
				// longer shows that the failed owner had a majority. Its tasks
				// run on, and tasks that run nowhere wait for the log.
				if s.unlimitedAt > ownerFailureTime {
					unlimitedTimes = append(unlimitedTimes, s.unlimitedAt-ownerFailureTime)
				}
			}
			for _, times := range [][]time.Duration{renewalTimes, startTimes, unlimitedTimes} {
				slices.Sort(times)
			}
			count := len(renewalTimes)
			t.Logf("%d plans, p50 and max after the failure: last worker leased %v %v, tasks started %v %v, "+
				"inherited tasks started %v %v in %d plans; %d tasks lost",
				count, renewalTimes[count/2], renewalTimes[count-1], startTimes[count/2], startTimes[count-1], unlimitedTimes[len(unlimitedTimes)/2], unlimitedTimes[len(unlimitedTimes)-1], len(unlimitedTimes), lostTasks)
			is.True(len(unlimitedTimes) > count*9/10)
			is.True(renewalTimes[count-1] < DefaultTaskLeaseTTL-DefaultRenewInterval) // the last renewal before the failure may be DefaultRenewInterval old
		})
	}
}

// Guards against a successor that never starts inherited tasks, since it
// renews leases on workers that do not report what runs on them and so keeps
// their tasks running.
func TestWorkersWithoutInventory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := 1; seed <= 20; seed++ {
		p := twoVMPlan(seed,
			fault{Kind: "inventoryCut", VM: 1, At: ownerFailureTime - 10*time.Second, Length: 5 * time.Minute, Mask: 3},
			fault{Kind: "kill", At: ownerFailureTime, Length: 5 * time.Minute})
		p.Faults[1].Length = 7 * time.Minute
		p.Watch = ownerFailureTime
		p.Length = ownerFailureTime + 4*time.Minute
		s := runPlan(p, defects{})
		is.Equal(len(s.errs), 0)
		is.True(s.unlimitedAt > ownerFailureTime) // inherited tasks start
	}
}
