package shares

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// The load that the package answers, played on a cell of equal places: 20 customers with skewed
// rates submit jobs of one task, and each place that becomes free goes to the next job as the
// owner orders them: excess jobs last, then by share while the cell is full, else by deadline.

const (
	loadPlaces    = 400
	loadCustomers = 20
	loadSeconds   = 30
	// loadObjective is the time within which a job has to start to count as in time.
	loadObjective = 500 * time.Millisecond
	loadTaskTime  = time.Second
	loadTick      = 5 * time.Millisecond
)

type loadJob struct {
	account  int
	at       time.Duration
	deadline time.Duration
	excess   bool
}

// loadResult is what the callers of a customer get: the mean wait of jobs that are not excess,
// and how many jobs started in time.
type loadResult struct {
	wait    time.Duration
	started int
	inTime  int
}

// loadRate returns the usual rate of a customer in jobs a second. Together they use 0.7 of the
// places; the largest customer has a fifth of that.
func loadRate(i int) float64 {
	sum := 0.0
	for k := range loadCustomers {
		sum += 1 / float64(k+3)
	}
	return 0.7 * loadPlaces / loadTaskTime.Seconds() / float64(i+3) / sum
}

// arrivals returns the jobs of all customers. From second 10, customer flooding sends factor
// times its usual jobs for 6.5 s.
func arrivals(flooding int, factor float64) []loadJob {
	var out []loadJob
	for i := range loadCustomers {
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		add := func(rate float64, from, to time.Duration) {
			for at := from; ; {
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				if at >= to {
					return
				}
				out = append(out, loadJob{account: i, at: at, deadline: at + time.Duration(1+rng.IntN(3))*time.Second})
			}
		}
		add(loadRate(i), 0, loadSeconds*time.Second)
		if i == flooding && factor > 1 {
			add((factor-1)*loadRate(i), 10*time.Second, 16500*time.Millisecond)
		}
	}
	slices.SortFunc(out, func(a, b loadJob) int { return cmp.Compare(a.at, b.at) })
	return out
}

// play serves the jobs and returns what each customer gets. weight returns a customer's weight;
// if it is nil, jobs are served by deadline alone.
func play(jobs []loadJob, weight func(i int) float64) []loadResult {
	l := NewLedger(0.1)
	for i := range loadCustomers {
		if weight == nil {
			break
		}
		l.Configure([]cell.Customer{{Name: fmt.Sprint(i), Weight: weight(i)}})
	}
	account := func(j loadJob) *Account { return l.Account(fmt.Sprint(j.account)) }
	one := Run{Need: structs.Resources{MilliCPU: 1}}
	capacity := structs.Resources{MilliCPU: loadPlaces}
	out := make([]loadResult, loadCustomers)
	var waiting, running []loadJob // of a running job, deadline is its end
	var full Fullness
	start := time.Unix(1000, 0)
	for end, now := jobs[len(jobs)-1].at, time.Duration(0); now <= end; now += loadTick {
		running = slices.DeleteFunc(running, func(j loadJob) bool {
			if j.deadline <= now {
				account(j).Close(one)
			}
			return j.deadline <= now
		})
		for len(jobs) > 0 && jobs[0].at <= now {
			j := jobs[0]
			jobs = jobs[1:]
			j.excess = account(j).CountJob(start.Add(j.at), start.Add(now))
			waiting = append(waiting, j)
		}
		owed := 0
		for _, j := range waiting {
			if !j.excess {
				owed++
			}
		}
		isFull := full.Update(structs.Resources{MilliCPU: int64(len(running))}, structs.Resources{MilliCPU: int64(owed)}, capacity)
		var left []loadJob
		for _, j := range inOrder(waiting, isFull && weight != nil, capacity, account) {
			if len(running) == loadPlaces {
				left = append(left, j)
				continue
			}
			account(j).Open(one)
			r := &out[j.account]
			r.started++
			if now-j.at <= loadObjective {
				r.inTime++
			}
			if !j.excess {
				r.wait += now - j.at
			}
			j.deadline = now + loadTaskTime
			running = append(running, j)
		}
		waiting = left
	}
	for i := range out {
		out[i].wait /= time.Duration(max(out[i].started, 1))
	}
	return out
}

// inOrder yields the waiting jobs in the order of the owner.
func inOrder(waiting []loadJob, isFull bool, capacity structs.Resources, account func(loadJob) *Account) func(func(int, loadJob) bool) {
	return func(yield func(int, loadJob) bool) {
		slices.SortStableFunc(waiting, func(a, b loadJob) int { return cmp.Compare(a.deadline, b.deadline) })
		for _, excess := range []bool{false, true} {
			turns := NewTurns[loadJob](capacity)
			for _, j := range waiting {
				switch {
				case j.excess != excess:
				case isFull:
					turns.Add(account(j), j)
				case !yield(0, j):
					return
				}
			}
			for j, ok := turns.Next(); ok; j, ok = turns.Next() {
				if !yield(0, j) {
					return
				}
			}
		}
	}
}

// TestFloodLeavesOthersAlone guards the other customers against one that sends 7.5 times its
// usual jobs for 6.5 s, whether it is the largest or a small one: they start as many jobs in time
// as without the flood, and their mean wait grows by less than a tenth of the objective. The flood
// uses what is left.
func TestFloodLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	usual := func(i int) float64 { return 1.3 * loadRate(i) }
	longest := time.Duration(0)
	calm := play(arrivals(0, 1), usual)
	for _, flooding := range []int{0, 9} {
		flood := play(arrivals(flooding, 7.5), usual)
		for i := range loadCustomers {
			if i == flooding {
				is.True(flood[i].started > calm[i].started)
				continue
			}
			is.Equal(flood[i].started, calm[i].started)
			is.True(flood[i].inTime >= calm[i].inTime)
			is.True(flood[i].wait <= calm[i].wait+loadObjective/10)
			longest = max(longest, flood[i].wait-calm[i].wait)
		}
	}
	// In the order of deadlines the same flood makes others late, so that the test can fail.
	worse := play(arrivals(0, 7.5), nil)
	late := 0
	for i := 1; i < loadCustomers; i++ {
		late += worse[i].started - worse[i].inTime
	}
	is.True(late > 100)
	t.Logf("mean waits longer by %v at most; late by deadline alone: %d", longest, late)
}

// TestFullCellGoesByWeight guards the shares when all customers want more than there is: each
// gets places by its weight, and what a customer leaves goes to the others.
func TestFullCellGoesByWeight(t *testing.T) {
	is := is.New(t)
	weight := func(i int) float64 { return float64(1000 * (1 + i%2)) }
	var jobs []loadJob
	for at := time.Duration(0); at < 10*time.Second; at += 25 * time.Millisecond {
		for i := range loadCustomers {
			if i < 2 && at%(200*time.Millisecond) != 0 {
				continue // uses far less than its share
			}
			jobs = append(jobs, loadJob{account: i, at: at, deadline: at + time.Duration(i)*time.Second})
		}
	}
	got := play(jobs, weight)
	total, odd, even := 0, 0, 0
	for i, r := range got {
		total += r.started
		switch {
		case i < 2:
			is.Equal(r.started, r.inTime)
		case i%2 == 1:
			odd += r.started
		default:
			even += r.started
		}
	}
	is.True(math.Abs(float64(odd)/float64(even)-2) < 0.2)
	is.True(total >= loadPlaces*9) // no place is left unused
}
