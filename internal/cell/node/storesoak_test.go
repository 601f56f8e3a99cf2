package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// The soak of the store combines faults of the store with changes of the owner and with
// the end of all processes at once.

const (
	// storeSoakRetention is how long the store keeps its history in the soak: less than
	// its longest outages, so that nodes have to load the topics again.
	storeSoakRetention = 3 * time.Second
	// storeSoakVisibleAfter is the time after which an accepted job may not be answered
	// as unknown.
	storeSoakVisibleAfter = 3 * time.Second
)

// acceptedJob is a job that a node has acknowledged.
type acceptedJob struct {
	id         cell.JobID
	acceptedAt time.Time
	// isCancelled is true once a cancellation was sent.
	isCancelled bool
}

// storeSoak is a soak under faults of the store.
type storeSoak struct {
	*soakCell
	jobsMu sync.Mutex
	jobs   []acceptedJob
	// acknowledged receives a value after an acknowledgement, if somebody waits for it.
	acknowledged chan struct{}
}

// storeFault is a fault of the store of some nodes; set begins and ends it.
type storeFault struct {
	name string
	set  func(s *soakStore, active bool)
}

var storeFaults = []storeFault{
	{"slow", func(s *soakStore, active bool) { s.delay.Store(int64(choose(active, 350*time.Millisecond))) }},
	{"lost answers", func(s *soakStore, active bool) { s.lostAnswerPercent.Store(choose[int32](active, 40)) }},
	{"late appends", func(s *soakStore, active bool) { s.latePercent.Store(choose[int32](active, 40)) }},
	{"refused", func(s *soakStore, active bool) { s.faultMode.Store(int32(choose(active, cellstore.Refuse))) }},
	{"silent", func(s *soakStore, active bool) { s.faultMode.Store(int32(choose(active, cellstore.Silent))) }},
}

// choose returns value if active is true, else the zero value.
func choose[T any](active bool, value T) T {
	var zero T
	if active {
		return value
	}
	return zero
}

// ownerIndex returns the node that owns the cell, or a random one.
func (s *storeSoak) ownerIndex() int {
	for i := range soakNodeCount {
		if s.node(i).holdsTerm.Load() {
			return i
		}
	}
	return s.rng.IntN(soakNodeCount)
}

// awaitAcknowledgement waits for the next acknowledgement, for at most half a second.
func (s *storeSoak) awaitAcknowledgement() {
	select {
	case <-s.acknowledged:
	default:
	}
	select {
	case <-s.acknowledged:
	case <-time.After(500 * time.Millisecond):
	}
}

// kill ends processes at once, right after an acknowledgement, and returns when they have
// ended.
func (s *storeSoak) kill(nodes []int) {
	s.awaitAcknowledgement()
	var wg sync.WaitGroup
	for _, i := range nodes {
		wg.Go(func() { s.killNode(i) })
	}
	wg.Wait()
}

// injectStoreFault begins one fault of the store, changes the owner while it lasts, and
// ends it.
func (s *storeSoak) injectStoreFault() {
	fault := storeFaults[s.rng.IntN(len(storeFaults))]
	affected := []int{0, 1, 2, 3}
	if s.rng.IntN(2) == 0 {
		affected = slices.DeleteFunc(affected, func(int) bool { return s.rng.IntN(2) == 0 })
	}
	set := func(active bool) {
		for _, i := range affected {
			s.mu.Lock()
			store := s.stores[i]
			s.mu.Unlock()
			fault.set(store, active)
		}
	}
	pause := func() { time.Sleep(time.Duration(50+s.rng.IntN(900)) * time.Millisecond) }
	set(true)
	pause()
	var down []int
	switch s.rng.IntN(4) {
	case 0:
		down = []int{s.ownerIndex()}
		s.kill(down)
	case 1:
		down = []int{0, 1, 2, 3}
		s.kill(down)
	case 2:
		// A graceful stop: the owner resigns if the store lets it.
		down = []int{s.ownerIndex()}
		s.node(down[0]).Drain()
		s.node(down[0]).ResignOwnership()
		pause()
		s.kill(down)
	}
	pause()
	for _, i := range down {
		s.startNode(i)
	}
	if s.rng.IntN(2) == 0 {
		// The fault goes on while processes start and claim the cell.
		set(true)
		pause()
	}
	set(false)
	pause()
}

// runCaller submits jobs until end, some of them repeated, and cancels some of them.
func (s *storeSoak) runCaller(caller int, end time.Time) {
	for k := 0; time.Now().Before(end); k++ {
		id := cell.JobID(fmt.Sprintf("%08x%08x", caller, k))
		job := newSoakJob(id)
		if s.rng.IntN(8) == 0 {
			job.Repeat, job.FirstDueAt, job.Interval = 3, time.Now(), 400*time.Millisecond
		}
		if accepted, _ := s.submit(job); accepted {
			job := acceptedJob{id: id, acceptedAt: time.Now(), isCancelled: s.rng.IntN(10) == 0}
			s.jobsMu.Lock()
			s.jobs = append(s.jobs, job)
			s.jobsMu.Unlock()
			select {
			case s.acknowledged <- struct{}{}:
			default:
			}
			if job.isCancelled {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				_, _ = s.node(s.rng.IntN(soakNodeCount)).Cancel(ctx, id)
				cancel()
			}
		}
		time.Sleep(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	}
}

// checkStates asks random nodes for random accepted jobs until ctx ends.
func (s *storeSoak) checkStates(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 5*time.Millisecond)
		s.jobsMu.Lock()
		var job acceptedJob
		if len(s.jobs) > 0 {
			job = s.jobs[s.rng.IntN(len(s.jobs))]
		}
		s.jobsMu.Unlock()
		if job.id == "" || time.Since(job.acceptedAt) < storeSoakVisibleAfter {
			continue
		}
		i := s.rng.IntN(soakNodeCount)
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		state, known, err := s.node(i).State(callCtx, job.id)
		cancel()
		switch {
		case err == nil && !known:
			s.fleet.addViolation(fmt.Sprintf("job %s, accepted %s before, is unknown at node %d", job.id, time.Since(job.acceptedAt), i))
		case err == nil && (state == cell.StateFailed || state == cell.StateCancelled && !job.isCancelled):
			s.fleet.addViolation(fmt.Sprintf("job %s is %q at node %d", job.id, state, i))
		}
	}
}

// checkTerms samples the owners until ctx ends: no term is owned twice, also not by one process.
func (s *storeSoak) checkTerms(ctx context.Context) {
	owners := map[int64]*controlLoop{}
	for ctx.Err() == nil {
		sleep(ctx, 5*time.Millisecond)
		for i := range soakNodeCount {
			n := s.node(i)
			loop := n.activeLoop()
			if loop == nil {
				continue
			}
			if other, seen := owners[loop.term]; seen && other != loop {
				s.fleet.addViolation(fmt.Sprintf("term %d is owned twice, once by node %d", loop.term, i))
			}
			owners[loop.term] = loop
		}
	}
}

// checkEnd waits until every node reports the end of every accepted job.
func (s *storeSoak) checkEnd(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(soakCompletionTimeout)
	for _, job := range s.jobs {
		for i := range soakNodeCount {
			for {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				state, known, err := s.node(i).State(ctx, job.id)
				cancel()
				if err == nil && !known {
					t.Fatalf("job %s is unknown at node %d", job.id, i)
				}
				if err == nil && (state == cell.StateCompleted || state == cell.StateCancelled && job.isCancelled) {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("job %s at node %d: state %q, error %v", job.id, i, state, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// TestSoakOfStoreFaults guards jobs that callers were told are accepted, while the store
// is slow, loses answers, executes appends late or does not serve some nodes, and the
// owner changes or all processes end at once: each job is known and reaches its end.
func TestSoakOfStoreFaults(t *testing.T) {
	t.Parallel()
	smallNodes := 1
	if *soakSeed%3 == 0 {
		smallNodes = soakNodeCount
	}
	s := &storeSoak{soakCell: newSoakCell(t, *soakSeed, smallNodes), acknowledged: make(chan struct{}, 1)}
	s.store.SetRetention(storeSoakRetention)
	defer func() {
		for i := range soakNodeCount {
			s.killNode(i)
		}
	}()
	defer s.fleet.report(t)
	end := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var checks, callers sync.WaitGroup
	checks.Go(func() { s.checkStates(ctx) })
	checks.Go(func() { s.checkTerms(ctx) })
	for caller := range 4 {
		callers.Go(func() { s.runCaller(caller, end) })
	}
	for time.Now().Before(end) {
		s.injectStoreFault()
	}
	callers.Wait()
	t.Logf("seed %d: %d jobs accepted", *soakSeed, len(s.jobs))
	// checkEnd may end the test.
	defer checks.Wait()
	defer cancel()
	s.checkEnd(t)
	if len(s.jobs) == 0 {
		t.Fatal("no job was accepted")
	}
}
