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
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/cellstore"
)

// The soak runs several nodes with their real election, store paths and RPC over
// loopback, against stand-ins for the store and the workers, under random faults.

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "seed of the faults of the soak")
	soakLog     = flag.Bool("soak.log", false, "write the nodes' log lines to standard error")
	soakSeconds = flag.Int("soak.seconds", 6, "length of the soak's faults, in seconds")
)

const (
	soakNodes   = 4
	soakWorkers = 6
	soakQueue   = "q"
	// soakPatience is how long jobs may take to complete after the last fault; it
	// is far above the 12 s that leases and takeovers need.
	soakPatience = 2 * time.Minute
)

// soakStore is one node's way to the store.
type soakStore struct {
	cell.Store
	// mode is the fault of all calls of this node; slow delays them.
	mode atomic.Int32
	lose atomic.Int32
	slow atomic.Int64
	rng  *lockedRand
}

// fault delays a call and tells what befalls it.
func (s *soakStore) fault(ctx context.Context) cellstore.Fault {
	pause(ctx, time.Duration(s.slow.Load()))
	if s.rng.IntN(100) < int(s.lose.Load()) {
		return cellstore.LoseAnswer
	}
	return cellstore.Fault(s.mode.Load())
}

func (s *soakStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	switch s.fault(ctx) {
	case cellstore.Refuse:
		return 0, cell.ErrNotExecuted
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
	if err := s.readFault(ctx); err != nil {
		return cell.Batch{}, err
	}
	return s.Store.Read(ctx, topic, from, wait)
}

func (s *soakStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if err := s.readFault(ctx); err != nil {
		return cell.Batch{}, err
	}
	return s.Store.Newest(ctx, topic)
}

func (s *soakStore) readFault(ctx context.Context) error {
	switch s.fault(ctx) {
	case cellstore.Refuse:
		return cell.ErrNotExecuted
	case cellstore.Silent:
		<-ctx.Done()
		return ctx.Err()
	case cellstore.LoseAnswer:
		return cellstore.ErrLost
	}
	return nil
}

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// soakDecoder decodes the records that the soak writes.
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

// soakAdvisor is never asked: the soak's queue needs no advice.
type soakAdvisor struct{}

func (soakAdvisor) Ask(context.Context, string, []string) (cell.AdviceAnswer, error) {
	return cell.AdviceAnswer{}, errors.New("not expected")
}

// soakFleet are the workers. It notes every rule that a start breaks.
type soakFleet struct {
	mu      sync.Mutex
	rng     *lockedRand
	workers map[string]*soakWorker
	done    map[string]bool
	broken  []string
}

// soakWorker is one life of a worker.
type soakWorker struct {
	born     time.Time
	silent   time.Time
	token    int64
	leaseEnd time.Duration
	runs     map[string]soakRun
	ended    []cell.FinishedRun
	last     int64
}

type soakRun struct {
	number int
	ends   time.Time
}

// note notes what went wrong.
func (f *soakFleet) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, what)
}

func newSoakWorker() *soakWorker {
	return &soakWorker{born: time.Now(), runs: map[string]soakRun{}}
}

func (w *soakWorker) clock() time.Duration { return time.Since(w.born) }

// advance ends the runs whose time has come or whose lease has passed.
func (f *soakFleet) advance(w *soakWorker) {
	for task, r := range w.runs {
		how := cell.OutcomeDone
		switch {
		case w.clock() > w.leaseEnd:
			how = cell.OutcomeLeaseExpired
		case time.Now().Before(r.ends):
			continue
		case f.rng.IntN(100) < 4:
			how = cell.OutcomeFailed
		}
		w.end(task, r.number, how)
	}
}

func (w *soakWorker) end(task string, run int, how cell.RunOutcome) {
	delete(w.runs, task)
	w.last++
	w.ended = append(w.ended, cell.FinishedRun{Number: w.last, Task: task, Run: run, Outcome: how})
}

// call finds the worker of a call; a silent one does not answer.
func (f *soakFleet) call(ctx context.Context, id string, token int64) (*soakWorker, cell.Refusal, error) {
	f.mu.Lock()
	w := f.workers[id]
	silent := time.Now().Before(w.silent)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, cell.RefusedNone, ctx.Err()
	}
	f.mu.Lock()
	f.advance(w)
	if token < w.token {
		f.mu.Unlock()
		return nil, cell.RefusedStaleToken, nil
	}
	w.token = token
	return w, cell.RefusedNone, nil
}

func (f *soakFleet) Start(ctx context.Context, s cell.Start) (time.Duration, cell.Refusal, error) {
	w, refused, err := f.call(ctx, s.Worker, s.Token)
	if w == nil {
		return 0, refused, err
	}
	defer f.mu.Unlock()
	w.leaseEnd = max(w.leaseEnd, min(s.LeaseEnd, w.clock()+6*time.Second))
	name := s.Task.String()
	if r, here := w.runs[name]; here && r.number == s.Run {
		return w.clock(), cell.RefusedNone, nil
	}
	for id, other := range f.workers {
		f.advance(other)
		if r, runs := other.runs[name]; runs {
			f.broken = append(f.broken, fmt.Sprintf("%s run %d starts on %s while run %d is on %s", name, s.Run, s.Worker, r.number, id))
		}
	}
	if f.done[name] {
		f.broken = append(f.broken, fmt.Sprintf("%s run %d starts after its end was taken note of", name, s.Run))
	}
	w.runs[name] = soakRun{s.Run, time.Now().Add(time.Duration(10+f.rng.IntN(60)) * time.Millisecond)}
	return w.clock(), cell.RefusedNone, nil
}

func (f *soakFleet) Stop(ctx context.Context, s cell.Stop) (cell.Refusal, error) {
	w, refused, err := f.call(ctx, s.Worker, s.Token)
	if w == nil {
		return refused, err
	}
	defer f.mu.Unlock()
	if r, here := w.runs[s.Task]; here && r.number == s.Run {
		w.end(s.Task, s.Run, cell.OutcomeStopped)
	}
	return cell.RefusedNone, nil
}

func (f *soakFleet) Pace(context.Context, cell.Pace) (cell.Refusal, error) {
	return cell.RefusedNone, nil
}

func (f *soakFleet) Renew(ctx context.Context, r cell.Renewal) (cell.Inventory, cell.Refusal, error) {
	deadline := time.Now().Add(min(r.Wait, 100*time.Millisecond))
	var life *soakWorker
	for {
		w, refused, err := f.call(ctx, r.Worker, r.Token)
		if w == nil {
			return cell.Inventory{}, refused, err
		}
		if life != nil && w != life {
			// The life that took the call has ended, and its connection with it.
			f.mu.Unlock()
			return cell.Inventory{}, cell.RefusedNone, errors.New("connection reset")
		}
		if life == nil {
			life = w
			f.acknowledge(w, r)
		}
		if len(w.ended) > 0 || time.Now().After(deadline) {
			inv := cell.Inventory{Clock: w.clock(), Born: w.born.UnixMilli(), FinishedRuns: append([]cell.FinishedRun(nil), w.ended...)}
			for task, run := range w.runs {
				inv.ActiveRuns = append(inv.ActiveRuns, cell.ActiveRun{Task: task, Run: run.number, Percent: f.rng.IntN(100)})
			}
			f.mu.Unlock()
			return inv, cell.RefusedNone, nil
		}
		f.mu.Unlock()
		pause(ctx, 3*time.Millisecond)
	}
}

// acknowledge takes the lease and the cursor of a renewal over.
func (f *soakFleet) acknowledge(w *soakWorker, r cell.Renewal) {
	w.leaseEnd = max(w.leaseEnd, min(r.LeaseEnd, w.clock()+6*time.Second))
	for len(w.ended) > 0 && w.ended[0].Number <= r.Cursor {
		if w.ended[0].Outcome == cell.OutcomeDone {
			f.done[w.ended[0].Task] = true
		}
		w.ended = w.ended[1:]
	}
}

// crash starts a new life of a worker.
func (f *soakFleet) crash(store cell.Store, id string) {
	f.mu.Lock()
	f.workers[id] = newSoakWorker()
	born := f.workers[id].born
	f.mu.Unlock()
	writeWorker(store, id, born)
}

func writeWorker(store cell.Store, id string, born time.Time) {
	value, err := json.Marshal(cell.Worker{
		ID: id, Service: "s", Addr: id, Born: born.UnixMilli(), DataCentre: "dc",
		Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 4000},
	})
	if err != nil {
		panic(err)
	}
	_, _ = store.Append(context.Background(), cell.Append{
		Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: id, Value: value}},
	})
}

// soakCell is the nodes of the soak.
type soakCell struct {
	store *cellstore.Store
	fleet *soakFleet
	rng   *lockedRand
	mu    sync.Mutex
	nodes [soakNodes]*Node
	paths [soakNodes]*soakStore
	stops [soakNodes]context.CancelFunc
	addrs [soakNodes]string
	// ended are closed when the processes have ended.
	ended [soakNodes]chan struct{}
}

// start starts a process of a node.
func (c *soakCell) start(i int) {
	path := &soakStore{Store: c.store, rng: c.rng}
	out := io.Writer(io.Discard)
	if *soakLog {
		out = os.Stderr
	}
	processor := 0.8
	if i == soakNodes-1 {
		processor = 0.2
	}
	n := New(Settings{
		Name: fmt.Sprintf("vm-%d", i), DataCentre: "dc", PeerAddr: c.addrs[i], CPUCores: processor,
		LeaseLimit: 6 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 2,
	}, Ports{Store: path, Workers: c.fleet, Advisor: soakAdvisor{}, Decoder: soakDecoder{}}, out)
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	ended := make(chan struct{})
	c.nodes[i], c.paths[i], c.stops[i], c.ended[i] = n, path, cancel, ended
	c.mu.Unlock()
	go func() {
		defer close(ended)
		if err := n.Run(ctx); err != nil {
			c.fleet.note(fmt.Sprintf("node %d: %v", i, err))
		}
	}()
}

// kill ends a process without a word: its calls to the store fail first.
func (c *soakCell) kill(i int) {
	c.mu.Lock()
	c.paths[i].mode.Store(int32(cellstore.Refuse))
	c.stops[i]()
	ended := c.ended[i]
	c.mu.Unlock()
	<-ended
}

func (c *soakCell) node(i int) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// each calls a function with the paths to the store of all nodes.
func (c *soakCell) each(f func(*soakStore)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.paths {
		f(p)
	}
}

// disturb causes one random fault and ends it.
func (c *soakCell) disturb() {
	length := time.Duration(200+c.rng.IntN(900)) * time.Millisecond
	i := c.rng.IntN(soakNodes)
	worker := fmt.Sprintf("w%d", c.rng.IntN(soakWorkers))
	c.mu.Lock()
	path := c.paths[i]
	c.mu.Unlock()
	switch c.rng.IntN(7) {
	case 0:
		c.kill(i)
		time.Sleep(length / 3)
		c.start(i)
	case 1:
		path.mode.Store(int32(cellstore.Silent))
		time.Sleep(length)
		path.mode.Store(int32(cellstore.None))
	case 2:
		c.each(func(p *soakStore) { p.mode.Store(int32(cellstore.Refuse)) })
		time.Sleep(length)
		c.each(func(p *soakStore) { p.mode.Store(int32(cellstore.None)) })
	case 3:
		c.each(func(p *soakStore) { p.lose.Store(30) })
		time.Sleep(length)
		c.each(func(p *soakStore) { p.lose.Store(0) })
	case 4:
		c.each(func(p *soakStore) { p.slow.Store(int64(150 * time.Millisecond)) })
		time.Sleep(length)
		c.each(func(p *soakStore) { p.slow.Store(0) })
	case 5:
		c.fleet.mu.Lock()
		c.fleet.workers[worker].silent = time.Now().Add(length)
		c.fleet.mu.Unlock()
	case 6:
		c.fleet.crash(c.store, worker)
	}
}

// submit hands a job in until it is accepted, and reports whether it was, or
// whether every try was refused.
func (c *soakCell) submit(id cell.JobID) (accepted, refused bool) {
	refused = true
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := c.node(c.rng.IntN(soakNodes)).Submit(ctx, &cell.Job{
			ID: id, Queue: cell.Queue{Name: soakQueue, Service: "s", MaxAttempts: 9, CriticalPathFactor: 2, Target: time.Second},
			Steps: []cell.Step{{Count: 2, Need: structs.Resources{MilliCPU: 500}}, {Count: 1, DependsOn: []int{0}, Need: structs.Resources{MilliCPU: 900}}},
		})
		cancel()
		if err == nil {
			return true, false
		}
		var notRun *cell.NotExecutedError
		refused = refused && errors.As(err, &notRun)
		time.Sleep(time.Duration(50+c.rng.IntN(200)) * time.Millisecond)
	}
	return false, refused
}

func newSoakCell(t *testing.T, seed uint64) *soakCell {
	t.Helper()
	rng := &lockedRand{rng: rand.New(rand.NewPCG(seed, 0x736f616b))}
	c := &soakCell{store: &cellstore.Store{}, rng: rng}
	c.fleet = &soakFleet{rng: rng, workers: map[string]*soakWorker{}, done: map[string]bool{}}
	for i := range soakWorkers {
		c.fleet.crash(c.store, fmt.Sprintf("w%d", i))
	}
	config, err := json.Marshal(cell.Config{Version: 1, Queues: []cell.Queue{{Name: soakQueue, Service: "s", MaxAttempts: 9, CriticalPathFactor: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.store.Append(context.Background(), cell.Append{
		Topic: cell.TopicConfig, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "config", Value: config}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range soakNodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.addrs[i] = listener.Addr().String()
		listener.Close()
	}
	for i := range soakNodes {
		c.start(i)
	}
	return c
}

// TestSoak guards the promises to callers under random faults: an accepted job is
// completed, a refused one never starts, and no task runs twice.
func TestSoak(t *testing.T) {
	t.Parallel()
	c := newSoakCell(t, *soakSeed)
	defer func() {
		for i := range soakNodes {
			c.kill(i)
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
				ok, not := c.submit(id)
				mu.Lock()
				if ok {
					accepted = append(accepted, id)
				}
				refused[id] = not
				mu.Unlock()
				time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		c.disturb()
	}
	callers.Wait()
	t.Logf("seed %d: %d jobs accepted", *soakSeed, len(accepted))
	if len(accepted) == 0 {
		t.Fatal("no job was accepted")
	}
	c.awaitCompletion(t, accepted)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, b := range c.fleet.broken {
		t.Error(b)
	}
	for task := range c.fleet.done {
		id, err := cell.ParseTaskID(task)
		if err != nil || refused[id.Job] {
			t.Errorf("task %s ran although every try to hand its job in was refused", task)
		}
	}
}

// awaitCompletion waits until every accepted job is shown as completed.
func (c *soakCell) awaitCompletion(t *testing.T, ids []cell.JobID) {
	t.Helper()
	deadline := time.Now().Add(soakPatience)
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
