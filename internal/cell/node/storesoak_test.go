package node

import (
	"context"
	"flag"
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
	// storeSoakFinalPart is how long callers go on after the final fault begins.
	storeSoakFinalPart = 2 * time.Second
)

// acceptedJob is a job that a node has acknowledged.
type acceptedJob struct {
	id         cell.JobID
	acceptedAt time.Time
	// isCancelled is true once a cancellation was sent.
	isCancelled bool
	// isLong is true for a job that ends only with its cancellation.
	isLong bool
}

// storeSoak is a soak under faults of the store.
type storeSoak struct {
	*soakCell
	jobsMu sync.Mutex
	jobs   []acceptedJob
	// refused are jobs of which every submission was refused.
	refused []cell.JobID
	callers sync.WaitGroup
	// acknowledged receives a value after an acknowledgement, if somebody waits for it.
	acknowledged chan struct{}
}

// storeFault is a fault of the way of some nodes to the store or to the other nodes; set
// begins and ends it.
type storeFault struct {
	name string
	set  func(s *soakStore, p *soakPeers, active bool)
}

var storeFaults = []storeFault{
	{"slow", func(s *soakStore, _ *soakPeers, active bool) {
		s.delay.Store(int64(choose(active, 350*time.Millisecond)))
	}},
	{"lost answers", func(s *soakStore, _ *soakPeers, active bool) { s.lostAnswerPercent.Store(choose[int32](active, 40)) }},
	{"late appends", func(s *soakStore, _ *soakPeers, active bool) { s.latePercent.Store(choose[int32](active, 40)) }},
	{"refused", func(s *soakStore, _ *soakPeers, active bool) {
		s.faultMode.Store(int32(choose(active, cellstore.Refuse)))
	}},
	{"silent", func(s *soakStore, _ *soakPeers, active bool) {
		s.faultMode.Store(int32(choose(active, cellstore.Silent)))
	}},
	{"peers refused", func(_ *soakStore, p *soakPeers, active bool) {
		p.faultMode.Store(int32(choose(active, cellstore.Refuse)))
	}},
	{"peers silent", func(_ *soakStore, p *soakPeers, active bool) {
		p.faultMode.Store(int32(choose(active, cellstore.Silent)))
	}},
	{"lost answers of peers", func(_ *soakStore, p *soakPeers, active bool) {
		p.faultMode.Store(int32(choose(active, cellstore.LoseAnswer)))
	}},
}

// drawnFault is a fault and the nodes that it affects.
type drawnFault struct {
	storeFault
	nodes []int
}

// drawFault draws a fault of all nodes or of some.
func (s *storeSoak) drawFault() drawnFault {
	f := drawnFault{storeFaults[s.rng.IntN(len(storeFaults))], []int{0, 1, 2, 3}}
	if s.rng.IntN(2) == 0 {
		f.nodes = slices.DeleteFunc(f.nodes, func(int) bool { return s.rng.IntN(2) == 0 })
	}
	return f
}

// setFaults begins or ends faults at the processes that run now.
func (s *storeSoak) setFaults(faults []drawnFault, active bool) {
	for _, f := range faults {
		for _, i := range f.nodes {
			s.mu.Lock()
			store, peers := s.stores[i], s.peers[i]
			s.mu.Unlock()
			f.set(store, peers, active)
		}
	}
}

// pause waits for up to a second.
func (s *storeSoak) pause() {
	time.Sleep(time.Duration(50+s.rng.IntN(900)) * time.Millisecond)
}

// forgetHistory lets the store drop the history of some topics.
func (s *storeSoak) forgetHistory() {
	for _, topic := range []cell.Topic{cell.TopicOwner, cell.TopicJobs, cell.TopicProgress} {
		if s.rng.IntN(2) == 0 {
			s.store.Forget(topic)
		}
	}
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

// injectStoreFault begins one or two faults, changes the owner while they last, and ends
// them.
func (s *storeSoak) injectStoreFault() {
	faults := []drawnFault{s.drawFault()}
	if s.rng.IntN(2) == 0 {
		faults = append(faults, s.drawFault())
	}
	s.setFaults(faults, true)
	s.pause()
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
		s.pause()
		s.kill(down)
	}
	if s.rng.IntN(3) == 0 {
		s.forgetHistory()
	}
	s.pause()
	for _, i := range down {
		s.startNode(i)
	}
	if s.rng.IntN(2) == 0 {
		// The faults go on while processes start and claim the cell.
		s.setFaults(faults, true)
		s.pause()
	}
	s.setFaults(faults, false)
	s.pause()
}

// injectFinalFault ends all processes right after an acknowledgement, in half of the soaks
// beside a fault that lasts until the new processes have started.
func (s *storeSoak) injectFinalFault() {
	var faults []drawnFault
	if s.rng.IntN(2) == 0 {
		faults = append(faults, s.drawFault())
	}
	s.setFaults(faults, true)
	s.kill([]int{0, 1, 2, 3})
	if s.rng.IntN(3) == 0 {
		s.forgetHistory()
	}
	for i := range soakNodeCount {
		s.startNode(i)
	}
	s.setFaults(faults, true)
	if len(faults) > 0 {
		s.pause()
	}
	s.setFaults(faults, false)
}

// runCaller submits jobs until end, some of them repeated, and cancels some of them.
func (s *storeSoak) runCaller(caller int, end time.Time) {
	for k := 0; time.Now().Before(end); k++ {
		id := cell.JobID(fmt.Sprintf("%08x%08x", caller, k))
		job := newSoakJob(id)
		isLong := s.rng.IntN(6) == 0
		if isLong {
			job = newLongSoakJob(id)
		} else if s.rng.IntN(8) == 0 {
			job.Repeat, job.FirstDueAt, job.Interval = 3, time.Now(), 400*time.Millisecond
		}
		accepted, refused := s.submit(job)
		if refused {
			s.jobsMu.Lock()
			s.refused = append(s.refused, id)
			s.jobsMu.Unlock()
		}
		if accepted {
			job := acceptedJob{id: id, acceptedAt: time.Now(), isCancelled: isLong || s.rng.IntN(10) == 0, isLong: isLong}
			s.jobsMu.Lock()
			s.jobs = append(s.jobs, job)
			s.jobsMu.Unlock()
			select {
			case s.acknowledged <- struct{}{}:
			default:
			}
			if s.rng.IntN(4) == 0 {
				again := newSoakJob(id)
				if isLong {
					again = newLongSoakJob(id)
				}
				s.callers.Go(func() { s.repeat(again) })
			}
			if isLong {
				s.callers.Go(func() { s.cancelLater(job) })
			} else if job.isCancelled {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				_, _ = s.node(s.rng.IntN(soakNodeCount)).Cancel(ctx, id)
				cancel()
			}
		}
		time.Sleep(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	}
}

// repeat submits an accepted job again, up to 6 s later, and ignores the answer.
func (s *storeSoak) repeat(job *cell.Job) {
	time.Sleep(time.Duration(s.rng.IntN(6000)) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = s.node(s.rng.IntN(soakNodeCount)).Submit(ctx, job)
}

// cancelLater cancels an accepted job within 2.5 s at random nodes, until one of them
// acknowledges it. No node may deny it: the caller would take the job for one that does not
// exist.
func (s *storeSoak) cancelLater(job acceptedJob) {
	time.Sleep(time.Duration(s.rng.IntN(2500)) * time.Millisecond)
	for deadline := time.Now().Add(soakCompletionTimeout); time.Now().Before(deadline); {
		i := s.rng.IntN(soakNodeCount)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		known, err := s.node(i).Cancel(ctx, job.id)
		cancel()
		if err == nil && known {
			return
		}
		if err == nil {
			s.fleet.addViolation(fmt.Sprintf("the cancellation of job %s, accepted %s before, is denied at node %d", job.id, time.Since(job.acceptedAt), i))
		}
		time.Sleep(time.Duration(50+s.rng.IntN(200)) * time.Millisecond)
	}
	s.fleet.addViolation(fmt.Sprintf("the cancellation of job %s was not acknowledged", job.id))
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

// soakAnswerTimeout makes the verdict depend on time, so that it is for runs by hand.
var soakAnswerTimeout = flag.Duration("soak.answers", 0, "time after the end of the soak of the store in which each job has to end and be answered; 0 for no bound but that of the test")

// checkEnd waits until every node reports the end of every accepted job.
func (s *storeSoak) checkEnd(t *testing.T) {
	t.Helper()
	begin := time.Now()
	deadline := begin.Add(soakCompletionTimeout)
	if *soakAnswerTimeout > 0 {
		deadline = begin.Add(*soakAnswerTimeout)
	}
	defer func() { t.Logf("seed %d: all ends were reported after %v", *soakSeed, time.Since(begin)) }()
	for _, job := range s.jobs {
		for i := range soakNodeCount {
			for {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				state, known, err := s.node(i).State(ctx, job.id)
				cancel()
				if err == nil && !known {
					t.Fatalf("job %s is unknown at node %d", job.id, i)
				}
				if err == nil && (state == cell.StateCompleted && !job.isLong || state == cell.StateCancelled && job.isCancelled) {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("job %s at node %d: state %q, error %v", job.id, i, state, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	s.checkRunsAreGone(t, deadline)
}

// checkRunsAreGone waits until no worker has a run: all jobs have ended, and those that were
// cancelled do not end by themselves.
func (s *storeSoak) checkRunsAreGone(t *testing.T, deadline time.Time) {
	t.Helper()
	for left := s.firstRun(); left != ""; left = s.firstRun() {
		if time.Now().After(deadline) {
			t.Errorf("%s runs on although all jobs have ended", left)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// firstRun returns a run that has not ended, or "".
func (s *storeSoak) firstRun() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for id, w := range s.fleet.workers {
		s.fleet.finishDueRuns(w)
		for task, r := range w.runs {
			return fmt.Sprintf("task %s run %d on %s", task, r.number, id)
		}
	}
	return ""
}

// checkRefused fails the test for each task that completed although every submission of its
// job was refused.
func (s *storeSoak) checkRefused(t *testing.T) {
	t.Helper()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for task := range s.fleet.completedTasks {
		if id, err := cell.ParseTaskID(task); err != nil || slices.Contains(s.refused, id.Job) {
			t.Errorf("task %s ran although every submission of its job was refused", task)
		}
	}
}

// TestSoakOfStoreFaults guards jobs that callers were told are accepted, and cancellations that
// were acknowledged by any node, while the store
// is slow, loses answers, executes appends late, forgets its history or does not serve
// some nodes, nodes do not reach each other, and the owner changes or all processes end at
// once, at last right after an acknowledgement: each job is known and ends, once, a cancelled one
// with its runs.
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
	var checks sync.WaitGroup
	checks.Go(func() { s.checkStates(ctx) })
	checks.Go(func() { s.checkTerms(ctx) })
	for caller := range 4 {
		s.callers.Go(func() { s.runCaller(caller, end) })
	}
	for time.Now().Before(end.Add(-storeSoakFinalPart)) {
		s.injectStoreFault()
	}
	s.injectFinalFault()
	s.callers.Wait()
	t.Logf("seed %d: %d jobs accepted", *soakSeed, len(s.jobs))
	// checkEnd may end the test.
	defer checks.Wait()
	defer cancel()
	s.checkEnd(t)
	s.checkRefused(t)
	if len(s.jobs) == 0 {
		t.Fatal("no job was accepted")
	}
}
