package shares

import "gypsumwinch/internal/structs"

// Claim is what a step would have running in addition.
type Claim struct {
	// Need is the need of one task, Tasks the number of tasks.
	Need  structs.Resources
	Tasks int
	// IsGang is true if the tasks start together or not at all.
	IsGang bool
	// Closing is the number of open runs of the step that are closed before the tasks start.
	Closing int
}

// Purpose is what Room is asked for.
type Purpose int

const (
	// ForPlacement is the start of tasks. Gangs and long-running tasks that rank before the step
	// and wait hold room.
	ForPlacement Purpose = iota
	// ForQueries is to ask the advice service about workers. All steps that rank before the
	// step and wait for answers hold room.
	ForQueries
)

// Room returns how many of the tasks of a claim the quota permits; of a gang, all or none.
//
// What earlier steps of the scheduling cycle hold is not permitted, except while the customer
// uses under half of its quota: a job must not wait for seconds then if there is capacity.
func (a *Account) Room(c Claim, cycle int, purpose Purpose) int {
	if c.Tasks <= 0 || a.quota.IsZero() {
		return max(c.Tasks, 0)
	}
	running := a.running.Sub(c.Need.Times(int64(c.Closing)))
	n := countWithin(a.quota, running.Add(a.heldFor(cycle, purpose)), c.Need, c.Tasks)
	if isUnderHalf(running, a.quota) {
		unheld := countWithin(a.quota, running, c.Need, c.Tasks)
		if !c.IsGang {
			unheld = min(unheld, countWithin(underHalf(a.quota), running, c.Need, c.Tasks)+1)
		}
		n = max(n, unheld)
	}
	if c.IsGang && n < c.Tasks {
		n = 0
	}
	if n == 0 && a.runs == c.Closing {
		return a.roomAlone(c)
	}
	return n
}

// roomAlone returns how many tasks may start although they do not fit into the quota, while the
// customer has nothing else running: a gang within the overshoot, or one task of any size, since
// the rule permits one task above the limit. Room calls it.
func (a *Account) roomAlone(c Claim) int {
	switch {
	case !c.IsGang || c.Tasks == 1:
		return 1
	case a.NeverFits(c):
		return 0
	default:
		return c.Tasks
	}
}

// NeverFits reports whether a gang exceeds the quota with the overshoot, so that it cannot run.
func (a *Account) NeverFits(c Claim) bool {
	if !c.IsGang || c.Tasks == 1 {
		return false
	}
	limit := structs.Resources{
		MilliCPU:     a.withOvershoot(a.quota.MilliCPU),
		MemoryMB:     a.withOvershoot(a.quota.MemoryMB),
		Accelerators: a.withOvershoot(a.quota.Accelerators),
	}
	return countWithin(limit, structs.Resources{}, c.Need, c.Tasks) < c.Tasks
}

func (a *Account) withOvershoot(limit int64) int64 {
	return int64(float64(limit) * (1 + a.overshoot))
}

// IsExceeded reports whether a run that is open but not sent may not be sent any more: the
// quota has been lowered below what is running. A customer may have one step running that
// exceeds its quota alone; size is what that step has open.
func (a *Account) IsExceeded(size Claim) bool {
	if countWithin(a.quota, a.running, structs.Resources{}, 1) == 1 {
		return false
	}
	return a.runs > size.Tasks || a.roomAlone(size) < size.Tasks
}

// Hold keeps room for a step that waits from the steps after it in the scheduling cycle: for
// placement, that of a gang or of a long-running task, which smaller tasks would take as it
// becomes free; for queries only, that of tasks that queries in flight are about.
func (a *Account) Hold(c Claim, cycle int, purpose Purpose) {
	if a.heldInCycle != cycle {
		a.heldInCycle = cycle
		a.heldForPlacement, a.heldForQueries = structs.Resources{}, structs.Resources{}
	}
	need := c.Need.Times(int64(c.Tasks))
	if purpose == ForPlacement {
		a.heldForPlacement = a.heldForPlacement.Add(need)
	}
	a.heldForQueries = a.heldForQueries.Add(need)
}

// CanDrainFor reports whether tasks fit into the quota once all those have ended that end by
// themselves. Only then it is of use to hold room for them.
func (a *Account) CanDrainFor(c Claim) bool {
	return countWithin(a.quota, a.lasting, c.Need, c.Tasks) == c.Tasks
}

// heldFor returns what earlier steps of a scheduling cycle hold.
func (a *Account) heldFor(cycle int, purpose Purpose) structs.Resources {
	switch {
	case a.heldInCycle != cycle:
		return structs.Resources{}
	case purpose == ForQueries:
		return a.heldForQueries
	default:
		return a.heldForPlacement
	}
}

// countWithin returns how many tasks, up to the given number, fit into a limit beside what is
// running; 0 in the limit is no limit. None fits while another resource is above its limit.
func countWithin(limit, running, need structs.Resources, tasks int) int {
	n := int64(tasks)
	runningAmounts, needAmounts := amounts(running), amounts(need)
	for i, l := range amounts(limit) {
		free := l - runningAmounts[i]
		switch {
		case l <= 0:
		case free < 0:
			return 0
		case needAmounts[i] > 0:
			n = min(n, free/needAmounts[i])
		}
	}
	return int(n)
}

// isUnderHalf reports whether the running tasks use under half of each limit.
func isUnderHalf(running, limit structs.Resources) bool {
	runningAmounts := amounts(running)
	for i, l := range amounts(limit) {
		if l > 0 && 2*runningAmounts[i] >= l {
			return false
		}
	}
	return true
}

// underHalf returns the most that is under half of each limit. A limit remains one.
func underHalf(limit structs.Resources) structs.Resources {
	under := func(l int64) int64 {
		if l <= 0 {
			return 0
		}
		return max(1, (l-1)/2)
	}
	return structs.Resources{MilliCPU: under(limit.MilliCPU), MemoryMB: under(limit.MemoryMB), Accelerators: under(limit.Accelerators)}
}
