package node

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/cellstore"
)

// The soak test runs several nodes with their real election, store routing and
// RPC over loopback, against stand-ins for the store and the workers, under
// random faults.

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "seed of the faults of the soak")
	soakLog     = flag.Bool("soak.log", false, "write the nodes' log lines to standard error")
	soakSeconds = flag.Int("soak.seconds", 6, "length of the soak's faults, in seconds")
)

const (
	soakNodeCount   = 4
	soakWorkerCount = 6
	soakQueueName   = "q"
	// soakCompletionTimeout is how long jobs may take to complete after the last
	// fault; it is far above the 12 s that leases and takeovers need.
	soakCompletionTimeout = 2 * time.Minute
)

// soakStore is the store as one node reaches it.
type soakStore struct {
	cell.Store
	// faultMode is the fault of all calls of this node; delay is added to each
	// call.
	faultMode         atomic.Int32
	lostAnswerPercent atomic.Int32
	// latePercent is the share of appends without an answer that are executed 1 to 6 s
	// after the call.
	latePercent atomic.Int32
	delay       atomic.Int64
	rng         *lockedRand
}

// nextFault delays a call and returns its fault.
func (s *soakStore) nextFault(ctx context.Context) cellstore.Fault {
	sleep(ctx, time.Duration(s.delay.Load()))
	if s.rng.IntN(100) < int(s.lostAnswerPercent.Load()) {
		return cellstore.LoseAnswer
	}
	if s.rng.IntN(100) < int(s.latePercent.Load()) {
		return cellstore.Late
	}
	return cellstore.Fault(s.faultMode.Load())
}

func (s *soakStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	switch s.nextFault(ctx) {
	case cellstore.Refuse:
		return 0, cell.ErrNotExecuted
	case cellstore.Late:
		delay := time.Duration(1000+s.rng.IntN(5000)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = s.Store.Append(context.Background(), a) })
		<-ctx.Done()
		return 0, ctx.Err()
	case cellstore.Silent:
		<-ctx.Done()
		return 0, ctx.Err()
	case cellstore.LoseAnswer:
		_, _ = s.Store.Append(context.WithoutCancel(ctx), a)
		return 0, cellstore.ErrLost
	}
	return s.Store.Append(ctx, a)
}

func (s *soakStore) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	if err := s.readError(ctx); err != nil {
		return cell.Batch{}, err
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// soakPageTimeout bounds one page of newest records, as the client of the platform's store
// does.
const soakPageTimeout = 3 * time.Second

func (s *soakStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, soakPageTimeout)
	defer cancel()
	if err := s.readError(ctx); err != nil {
		return cell.Batch{}, err
	}
	return s.Store.Newest(ctx, topic)
}

func (s *soakStore) readError(ctx context.Context) error {
	switch s.nextFault(ctx) {
	case cellstore.Refuse:
		return cell.ErrNotExecuted
	case cellstore.Silent, cellstore.Late:
		<-ctx.Done()
		return ctx.Err()
	case cellstore.LoseAnswer:
		return cellstore.ErrLost
	}
	return nil
}

// errPeerRefused is the error of a call to another VM whose port is closed.
var errPeerRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// soakPeers are the other VMs as one node reaches them.
type soakPeers struct {
	http.RoundTripper
	faultMode atomic.Int32
}

func (p *soakPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	switch cellstore.Fault(p.faultMode.Load()) {
	case cellstore.Refuse:
		return nil, errPeerRefused
	case cellstore.Silent:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case cellstore.LoseAnswer:
		resp, err := p.RoundTripper.RoundTrip(r)
		if err == nil {
			resp.Body.Close()
		}
		return nil, errors.Join(err, cellstore.ErrLost)
	}
	return p.RoundTripper.RoundTrip(r)
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// soakDecoder decodes the records that the soak test writes.
type soakDecoder struct{}

func (soakDecoder) Config(_ string, value []byte) (*cell.Config, bool, error) {
	c := &cell.Config{}
	err := json.Unmarshal(value, c)
	c.Index()
	return c, true, err
}

func (soakDecoder) Worker(_ string, value []byte) (cell.Worker, error) {
	var w cell.Worker
	err := json.Unmarshal(value, &w)
	return w, err
}

// soakAdvisor is never called: the queue of the soak test needs no advice.
type soakAdvisor struct{}

func (soakAdvisor) Ask(context.Context, string, []string) (cell.AdviceAnswer, error) {
	return cell.AdviceAnswer{}, errors.New("not expected")
}

// soakFleet simulates the workers. It records every start that breaks a rule.
type soakFleet struct {
	mu             sync.Mutex
	rng            *lockedRand
	workers        map[string]*soakWorker
	completedTasks map[string]bool
	violations     []string
}

// soakWorker is one incarnation of a worker.
type soakWorker struct {
	startedAt    time.Time
	silentUntil  time.Time
	fencingToken int64
	leaseEnd     time.Duration
	runs         map[string]soakRun
	finishedRuns []cell.FinishedRun
	lastNumber   int64
}

type soakRun struct {
	number int
	endsAt time.Time
}

// addViolation records a broken rule.
func (f *soakFleet) addViolation(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, what)
}

// report fails the test for each broken rule.
func (f *soakFleet) report(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, violation := range f.violations {
		t.Error(violation)
	}
}

func newSoakWorker() *soakWorker {
	return &soakWorker{startedAt: time.Now(), runs: map[string]soakRun{}}
}

func (w *soakWorker) clock() time.Duration { return time.Since(w.startedAt) }

// finishDueRuns ends the runs whose time has come or whose lease has expired.
func (f *soakFleet) finishDueRuns(w *soakWorker) {
	for task, r := range w.runs {
		outcome := cell.OutcomeDone
		switch {
		case w.clock() > w.leaseEnd:
			outcome = cell.OutcomeLeaseExpired
		case time.Now().Before(r.endsAt):
			continue
		case f.rng.IntN(100) < 4:
			outcome = cell.OutcomeFailed
		}
		w.finishRun(task, r.number, outcome)
	}
}

func (w *soakWorker) finishRun(task string, run int, outcome cell.RunOutcome) {
	delete(w.runs, task)
	w.lastNumber++
	w.finishedRuns = append(w.finishedRuns, cell.FinishedRun{Number: w.lastNumber, Task: task, Run: run, Outcome: outcome})
}

// contact returns the worker of a call, with f.mu locked. A silent worker does
// not answer.
func (f *soakFleet) contact(ctx context.Context, id string, token int64) (*soakWorker, cell.Refusal, error) {
	f.mu.Lock()
	w := f.workers[id]
	silent := time.Now().Before(w.silentUntil)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, cell.RefusedNone, ctx.Err()
	}
	f.mu.Lock()
	f.finishDueRuns(w)
	if token < w.fencingToken {
		f.mu.Unlock()
		return nil, cell.RefusedStaleToken, nil
	}
	w.fencingToken = token
	return w, cell.RefusedNone, nil
}

func (f *soakFleet) Start(ctx context.Context, s cell.Start) (time.Duration, cell.Refusal, error) {
	w, refusal, err := f.contact(ctx, s.Worker, s.Token)
	if w == nil {
		return 0, refusal, err
	}
	defer f.mu.Unlock()
	w.leaseEnd = max(w.leaseEnd, min(s.LeaseEnd, w.clock()+6*time.Second))
	name := s.Task.String()
	if r, here := w.runs[name]; here && r.number == s.Run {
		return w.clock(), cell.RefusedNone, nil
	}
	for id, other := range f.workers {
		f.finishDueRuns(other)
		if r, runs := other.runs[name]; runs {
			f.violations = append(f.violations, fmt.Sprintf("%s run %d starts on %s while run %d is on %s", name, s.Run, s.Worker, r.number, id))
		}
	}
	if f.completedTasks[name] {
		f.violations = append(f.violations, fmt.Sprintf("%s run %d starts after the task completed", name, s.Run))
	}
	runTime := time.Duration(10+f.rng.IntN(60)) * time.Millisecond
	if s.Spec == soakLongSpec {
		runTime = time.Hour
	}
	w.runs[name] = soakRun{s.Run, time.Now().Add(runTime)}
	return w.clock(), cell.RefusedNone, nil
}

func (f *soakFleet) Stop(ctx context.Context, s cell.Stop) (cell.Refusal, error) {
	w, refusal, err := f.contact(ctx, s.Worker, s.Token)
	if w == nil {
		return refusal, err
	}
	defer f.mu.Unlock()
	if r, here := w.runs[s.Task]; here && r.number == s.Run {
		w.finishRun(s.Task, s.Run, cell.OutcomeStopped)
	}
	return cell.RefusedNone, nil
}

func (f *soakFleet) Pace(context.Context, cell.Pace) (cell.Refusal, error) {
	return cell.RefusedNone, nil
}

func (f *soakFleet) Renew(ctx context.Context, r cell.Renewal) (cell.Inventory, cell.Refusal, error) {
	deadline := time.Now().Add(min(r.Wait, 100*time.Millisecond))
	var incarnation *soakWorker
	for {
		w, refusal, err := f.contact(ctx, r.Worker, r.Token)
		if w == nil {
			return cell.Inventory{}, refusal, err
		}
		if incarnation != nil && w != incarnation {
			// The incarnation that took the call has ended, and its connection with
			// it.
			f.mu.Unlock()
			return cell.Inventory{}, cell.RefusedNone, errors.New("connection reset")
		}
		if incarnation == nil {
			incarnation = w
			f.acknowledge(w, r)
		}
		if len(w.finishedRuns) > 0 || time.Now().After(deadline) {
			inv := cell.Inventory{Clock: w.clock(), Born: w.startedAt.UnixMilli(), FinishedRuns: append([]cell.FinishedRun(nil), w.finishedRuns...)}
			for task, run := range w.runs {
				inv.ActiveRuns = append(inv.ActiveRuns, cell.ActiveRun{Task: task, Run: run.number, Percent: f.rng.IntN(100)})
			}
			f.mu.Unlock()
			return inv, cell.RefusedNone, nil
		}
		f.mu.Unlock()
		sleep(ctx, 3*time.Millisecond)
	}
}

// acknowledge applies the lease and the cursor of a renewal.
func (f *soakFleet) acknowledge(w *soakWorker, r cell.Renewal) {
	w.leaseEnd = max(w.leaseEnd, min(r.LeaseEnd, w.clock()+6*time.Second))
	for len(w.finishedRuns) > 0 && w.finishedRuns[0].Number <= r.Cursor {
		if w.finishedRuns[0].Outcome == cell.OutcomeDone {
			f.completedTasks[w.finishedRuns[0].Task] = true
		}
		w.finishedRuns = w.finishedRuns[1:]
	}
}

// restartWorker starts a new incarnation of a worker.
func (f *soakFleet) restartWorker(store cell.Store, id string) {
	f.mu.Lock()
	f.workers[id] = newSoakWorker()
	startedAt := f.workers[id].startedAt
	f.mu.Unlock()
	writeWorker(store, id, startedAt)
}

func writeWorker(store cell.Store, id string, startedAt time.Time) {
	value, err := json.Marshal(cell.Worker{
		ID: id, Service: "s", Addr: id, Born: startedAt.UnixMilli(), DataCentre: "dc",
		Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 4000},
	})
	if err != nil {
		panic(err)
	}
	_, _ = store.Append(context.Background(), cell.Append{
		Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: id, Value: value}},
	})
}

// soakCell is the cell under test.
type soakCell struct {
	store   *cellstore.Store
	fleet   *soakFleet
	rng     *lockedRand
	mu      sync.Mutex
	nodes   [soakNodeCount]*Node
	stores  [soakNodeCount]*soakStore
	peers   [soakNodeCount]*soakPeers
	cancels [soakNodeCount]context.CancelFunc
	addrs   [soakNodeCount]string
	// smallNodes is the number of nodes, from the last one on, that are no followers.
	smallNodes int
	// exited channels are closed when the processes have ended.
	exited [soakNodeCount]chan struct{}
}

// startNode starts a process of a node.
func (c *soakCell) startNode(i int) {
	store := &soakStore{Store: c.store, rng: c.rng}
	out := io.Writer(io.Discard)
	if *soakLog {
		out = os.Stderr
	}
	cpuCores := 0.8
	if i >= soakNodeCount-c.smallNodes {
		cpuCores = 0.2
	}
	n := New(Settings{
		Name: fmt.Sprintf("vm-%d", i), DataCentre: "dc", PeerAddr: c.addrs[i], CPUCores: cpuCores,
		LeaseLimit: 6 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 2,
	}, Ports{Store: store, Workers: c.fleet, Advisor: soakAdvisor{}, Decoder: soakDecoder{}}, out)
	peers := &soakPeers{RoundTripper: n.httpClient.Transport}
	n.httpClient.Transport = peers
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	exited := make(chan struct{})
	c.nodes[i], c.stores[i], c.peers[i], c.cancels[i], c.exited[i] = n, store, peers, cancel, exited
	c.mu.Unlock()
	go func() {
		defer close(exited)
		if err := n.Run(ctx); err != nil {
			c.fleet.addViolation(fmt.Sprintf("node %d: %v", i, err))
		}
	}()
}

// killNode ends a process without a resignation: the store refuses its calls
// first.
func (c *soakCell) killNode(i int) {
	c.mu.Lock()
	c.stores[i].faultMode.Store(int32(cellstore.Refuse))
	c.cancels[i]()
	exited := c.exited[i]
	c.mu.Unlock()
	<-exited
}

func (c *soakCell) node(i int) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// forEachStore calls f with the store of each node.
func (c *soakCell) forEachStore(f func(*soakStore)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.stores {
		f(s)
	}
}

// injectFault causes one random fault and ends it.
func (c *soakCell) injectFault() {
	length := time.Duration(200+c.rng.IntN(900)) * time.Millisecond
	i := c.rng.IntN(soakNodeCount)
	worker := fmt.Sprintf("w%d", c.rng.IntN(soakWorkerCount))
	c.mu.Lock()
	store := c.stores[i]
	c.mu.Unlock()
	switch c.rng.IntN(7) {
	case 0:
		c.killNode(i)
		time.Sleep(length / 3)
		c.startNode(i)
	case 1:
		store.faultMode.Store(int32(cellstore.Silent))
		time.Sleep(length)
		store.faultMode.Store(int32(cellstore.None))
	case 2:
		c.forEachStore(func(p *soakStore) { p.faultMode.Store(int32(cellstore.Refuse)) })
		time.Sleep(length)
		c.forEachStore(func(p *soakStore) { p.faultMode.Store(int32(cellstore.None)) })
	case 3:
		c.forEachStore(func(p *soakStore) { p.lostAnswerPercent.Store(30) })
		time.Sleep(length)
		c.forEachStore(func(p *soakStore) { p.lostAnswerPercent.Store(0) })
	case 4:
		c.forEachStore(func(p *soakStore) { p.delay.Store(int64(150 * time.Millisecond)) })
		time.Sleep(length)
		c.forEachStore(func(p *soakStore) { p.delay.Store(0) })
	case 5:
		c.fleet.mu.Lock()
		c.fleet.workers[worker].silentUntil = time.Now().Add(length)
		c.fleet.mu.Unlock()
	case 6:
		c.fleet.restartWorker(c.store, worker)
	}
}

// newSoakJob returns a job of two steps.
func newSoakJob(id cell.JobID) *cell.Job {
	return &cell.Job{
		ID: id, Queue: cell.Queue{Name: soakQueueName, Service: "s", MaxAttempts: 9, CriticalPathFactor: 2, Target: time.Second},
		Steps: []cell.Step{{Count: 2, Need: structs.Resources{MilliCPU: 500}}, {Count: 1, DependsOn: []uint16{0}, Need: structs.Resources{MilliCPU: 900}}},
	}
}

// soakLongSpec is the specification of tasks that do not end unless they are stopped.
const soakLongSpec = "long"

// newLongSoakJob returns a job that ends only with its cancellation.
func newLongSoakJob(id cell.JobID) *cell.Job {
	return &cell.Job{
		ID: id, Queue: cell.Queue{Name: soakQueueName, Service: "s", MaxAttempts: 9, CriticalPathFactor: 2, Target: time.Second}, Spec: soakLongSpec,
		Steps: []cell.Step{{Count: 2, Need: structs.Resources{MilliCPU: 200}}},
	}
}

// submit submits a job until it is accepted, and reports whether it was, or
// whether every attempt was refused.
func (c *soakCell) submit(job *cell.Job) (accepted, refused bool) {
	refused = true
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		attempt := *job
		err := c.node(c.rng.IntN(soakNodeCount)).Submit(ctx, &attempt)
		cancel()
		if err == nil {
			return true, false
		}
		var notExecuted *cell.NotExecutedError
		refused = refused && errors.As(err, &notExecuted)
		time.Sleep(time.Duration(50+c.rng.IntN(200)) * time.Millisecond)
	}
	return false, refused
}

func newSoakCell(t *testing.T, seed uint64, smallNodes int) *soakCell {
	t.Helper()
	rng := &lockedRand{rng: rand.New(rand.NewPCG(seed, 0x736f616b))}
	c := &soakCell{store: &cellstore.Store{}, rng: rng, smallNodes: smallNodes}
	c.fleet = &soakFleet{rng: rng, workers: map[string]*soakWorker{}, completedTasks: map[string]bool{}}
	for i := range soakWorkerCount {
		c.fleet.restartWorker(c.store, fmt.Sprintf("w%d", i))
	}
	config, err := json.Marshal(cell.Config{Version: 1, Queues: []cell.Queue{{Name: soakQueueName, Service: "s", MaxAttempts: 9, CriticalPathFactor: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.store.Append(context.Background(), cell.Append{
		Topic: cell.TopicConfig, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "config", Value: config}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range soakNodeCount {
		// Outgoing connections use 127.0.0.1. On that address one of them could take
		// the port of a node that is down, so that it cannot listen again.
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 2+i))
		if err != nil {
			t.Fatal(err)
		}
		c.addrs[i] = listener.Addr().String()
		listener.Close()
	}
	for i := range soakNodeCount {
		c.startNode(i)
	}
	return c
}

// TestSoak guards the guarantees to callers under random faults: an accepted
// job completes, a refused one never starts, and no task runs on two workers at
// a time or again after its completion.
func TestSoak(t *testing.T) {
	t.Parallel()
	c := newSoakCell(t, *soakSeed, 1)
	defer func() {
		for i := range soakNodeCount {
			c.killNode(i)
		}
	}()
	end := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	var mu sync.Mutex
	accepted, refused := []cell.JobID{}, map[cell.JobID]bool{}
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := cell.JobID(fmt.Sprintf("%08x%08x", caller, k))
				wasAccepted, wasRefused := c.submit(newSoakJob(id))
				mu.Lock()
				if wasAccepted {
					accepted = append(accepted, id)
				}
				refused[id] = wasRefused
				mu.Unlock()
				time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		c.injectFault()
	}
	callers.Wait()
	t.Logf("seed %d: %d jobs accepted", *soakSeed, len(accepted))
	if len(accepted) == 0 {
		t.Fatal("no job was accepted")
	}
	defer c.fleet.report(t)
	c.awaitCompletion(t, accepted)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for task := range c.fleet.completedTasks {
		id, err := cell.ParseTaskID(task)
		if err != nil || refused[id.Job] {
			t.Errorf("task %s ran although every attempt to submit its job was refused", task)
		}
	}
}

// awaitCompletion waits until every accepted job is reported as completed.
func (c *soakCell) awaitCompletion(t *testing.T, ids []cell.JobID) {
	t.Helper()
	deadline := time.Now().Add(soakCompletionTimeout)
	for _, id := range ids {
		for {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			state, known, err := c.node(0).State(ctx, id)
			cancel()
			if err == nil && known && state == cell.StateCompleted {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("job %s: state %q, known %t, error %v", id, state, known, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
