package owner

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// The simulation drives owners against simulated workers, a store and an advice
// service on a virtual clock, with faults, and checks what must always hold:
// no worker over its capacity, no task twice at a time or after its end, steps
// in order, attempts bounded, tickets valid, cancelled work ended, nothing lost.

const (
	simLease = 6 * time.Second
	simGang  = 3 * time.Second
	simStop  = 300 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, k int) bool {
	if q[i].at != q[k].at {
		return q[i].at < q[k].at
	}
	return q[i].seq < q[k].seq
}
func (q simQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simFaults are the shares and times of a run's faults.
type simFaults struct {
	// lostOrder and lateOrder are shares of orders without an answer: executed
	// at once, or seconds later.
	lostOrder float64
	lateOrder float64
	// failing is the share of runs that fail.
	failing float64
	// crashEvery, cutEvery, takeoverEvery and outageEvery are mean times.
	crashEvery    time.Duration
	cutEvery      time.Duration
	takeoverEvery time.Duration
	outageEvery   time.Duration
	cancelShare   float64
}

type sim struct {
	t       *testing.T
	rand    *rand.Rand
	faults  simFaults
	now     time.Duration
	events  simQueue
	seq     int
	workers map[string]*simWorker
	names   []string
	owner   *simOwner
	term    int64

	jobs      map[cell.JobID]*simJob
	progress  map[cell.JobID][]byte
	cancelled map[cell.JobID]time.Duration
	storeDown bool
	config    *cell.Config
	stats     simStats
}

type simStats struct {
	starts, done, failed, lapsed, stopped, takeovers, completed int
}

type simJob struct {
	def      *cell.Job
	state    cell.State
	taskDone map[string]bool
	// doneSeen are tasks whose end the owner has taken note of.
	doneSeen map[string]bool
	failures map[string]int
	poison   bool
}

// simOwner is one ownership.
type simOwner struct {
	sim     *sim
	machine *Machine
	term    int64
	dead    bool
	writing bool
}

type simRun struct {
	task   string
	id     cell.TaskID
	run    int
	endsAt time.Duration
	state  string
	need   structs.Resources
	gang   bool
}

type simWorker struct {
	sim      *sim
	info     cell.Worker
	up       bool
	cut      bool
	bornAt   time.Duration
	token    int64
	leaseEnd time.Duration
	runs     map[string]*simRun
	closed   map[string]int
	ended    []cell.FinishedRun
	number   int64
	life     int
}

func newSim(t *testing.T, seed uint64, workers int, faults simFaults) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		workers: map[string]*simWorker{}, jobs: map[cell.JobID]*simJob{},
		progress: map[cell.JobID][]byte{}, cancelled: map[cell.JobID]time.Duration{},
	}
	s.config = &cell.Config{Version: 1, Queues: []cell.Queue{
		{Name: "short", Service: "desk", Priority: 0, MaxAttempts: 3, CriticalPathFactor: 1.5, Target: 250 * time.Millisecond,
			Advice: &cell.AdviceTiming{BaseTime: 10 * time.Millisecond, Validity: 2 * time.Second}},
		{Name: "long", Service: "desk", Priority: 1, MaxAttempts: 2, CriticalPathFactor: 3, Target: time.Second},
	}}
	s.config.Index()
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		s.workers[id] = &simWorker{sim: s, up: true, bornAt: 0, info: cell.Worker{
			ID: id, Service: "desk", Addr: id, DataCentre: "a", Born: 1,
			Capacity: structs.Resources{MilliCPU: 8000, MemoryMB: 8000},
			Labels:   []string{"k", fmt.Sprintf("r%d", i/3)},
		}, runs: map[string]*simRun{}, closed: map[string]int{}}
		s.names = append(s.names, id)
	}
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) time() Time {
	return Time{Mono: s.now, Wall: time.Unix(1_000_000, 0).Add(s.now)}
}

// delay is the time that a message takes.
func (s *sim) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rand.IntN(3000))*time.Microsecond
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// takeOver replaces the owner by one that knows what the store holds.
func (s *sim) takeOver() {
	if s.owner != nil {
		s.owner.dead = true
	}
	s.term++
	s.stats.takeovers++
	o := &simOwner{sim: s, term: s.term}
	o.machine = New(Options{Term: s.term, LeaseLimit: simLease, GangTimeout: simGang, RemoteFactor: 2, Seed: uint64(s.term)}, s.time())
	s.owner = o
	o.apply(ConfigChanged{Config: s.config})
	for _, id := range s.sortedJobs() {
		j := s.jobs[id]
		var p *cell.Progress
		if value, ok := s.progress[id]; ok {
			var err error
			if p, err = cell.DecodeProgress(value); err != nil {
				s.t.Fatal(err)
			}
		}
		if p != nil && p.State.IsFinal() && len(p.Steps) == 0 {
			continue
		}
		o.apply(JobSubmitted{Job: j.def, Progress: p})
		if _, ok := s.cancelled[id]; ok {
			o.apply(JobCancelled{Job: id})
		}
	}
	o.listAll()
	o.tick()
}

func (s *sim) sortedJobs() []cell.JobID {
	var ids []cell.JobID
	for i := range len(s.jobs) {
		ids = append(ids, jobName(i))
	}
	return ids
}

func jobName(i int) cell.JobID { return cell.JobID(fmt.Sprintf("%016x", i)) }

func (o *simOwner) listAll() {
	var ev WorkersListed
	for _, name := range o.sim.names {
		w := o.sim.workers[name]
		if w.up {
			ev.Workers = append(ev.Workers, w.info)
		} else {
			ev.Removed = append(ev.Removed, name)
		}
	}
	o.apply(ev)
}

func (o *simOwner) tick() {
	if o.dead {
		return
	}
	if !o.sim.storeDown {
		o.apply(HeartbeatStored{})
	}
	o.apply(Tick{})
	o.act(o.machine.Place(o.sim.time(), manyLanes))
	o.flush()
	o.sim.at(20*time.Millisecond, o.tick)
}

func (o *simOwner) apply(ev Event) {
	if o.dead {
		return
	}
	o.act(o.machine.Apply(o.sim.time(), ev))
}

// flush writes a batch; the store refuses a deposed owner.
func (o *simOwner) flush() {
	if o.writing {
		return
	}
	records, number, err := o.machine.TakeBatch()
	if err != nil {
		o.sim.t.Fatal(err)
	}
	if len(records) == 0 {
		return
	}
	o.writing = true
	o.write(records, number)
}

func (o *simOwner) write(records []cell.KeyValue, number int) {
	s := o.sim
	s.at(4*time.Millisecond, func() {
		if o.dead {
			return
		}
		if s.storeDown {
			o.write(records, number)
			return
		}
		for _, r := range records {
			rec, err := cell.ParseRecord(r.Key, r.Value)
			if err != nil {
				s.t.Fatal(err)
			}
			s.progress[rec.Job] = r.Value
		}
		o.writing = false
		o.apply(BatchStored{Batch: number})
	})
}

func (o *simOwner) act(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendStart:
			o.sendStart(a.Start)
		case SendStop:
			o.sendStop(a.Stop)
		case Renew:
			o.renew(a.Renewal)
		case QueryAdvice:
			o.ask(a)
		case Publish:
			o.sim.published(a)
		case Resign:
			o.sim.t.Logf("%v owner %d resigns: %s", o.sim.now, o.term, a.Reason)
			o.dead = true
			o.sim.at(500*time.Millisecond, o.sim.takeOverIfDead)
		}
	}
}

func (s *sim) takeOverIfDead() {
	if s.owner.dead {
		s.takeOver()
	}
}

// order carries an order out after a delay and returns its answer, unless the
// worker cannot be reached or the order meets a fault.
func (o *simOwner) order(w *simWorker, exec func(), answer func(err error)) {
	s := o.sim
	life := w.life
	timeout := func() { s.at(350*time.Millisecond, func() { answer(errNoAnswer) }) }
	if !w.up || w.cut {
		timeout()
		return
	}
	switch x := s.rand.Float64(); {
	case x < s.faults.lateOrder:
		s.at(2*time.Second+time.Duration(s.rand.IntN(4000))*time.Millisecond, func() {
			if w.up && w.life == life {
				exec()
			}
		})
		timeout()
		return
	case x < s.faults.lateOrder+s.faults.lostOrder:
		s.at(s.delay(), func() {
			if w.up && w.life == life {
				exec()
			}
		})
		timeout()
		return
	}
	s.at(s.delay(), func() {
		if !w.up || w.cut || w.life != life {
			timeout()
			return
		}
		exec()
		s.at(s.delay(), func() { answer(nil) })
	})
}

func (o *simOwner) sendStart(st cell.Start) {
	w := o.sim.workers[st.Worker]
	var refused cell.Refusal
	var clock time.Duration
	o.order(w, func() {
		r := w.start(st)
		refused, clock = r, w.clock()
	}, func(err error) {
		o.apply(StartResult{Task: st.Task, Run: st.Run, Worker: st.Worker, Clock: clock, Refusal: refused, Err: err})
	})
}

func (o *simOwner) sendStop(st cell.Stop) {
	w := o.sim.workers[st.Worker]
	var refused cell.Refusal
	o.order(w, func() { refused = w.stop(st) }, func(err error) {
		o.apply(StopResult{Task: st.Task, Run: st.Run, Worker: st.Worker, Refusal: refused, Err: err})
	})
}

func (o *simOwner) renew(r cell.Renewal) {
	w := o.sim.workers[r.Worker]
	sent := o.sim.now
	var inv cell.Inventory
	var refused cell.Refusal
	exec := func() { inv, refused = w.hold(r) }
	answer := func(err error) {
		o.apply(RenewResult{Worker: r.Worker, SentAt: sent, Inventory: inv, Refusal: refused, Err: err})
	}
	// A renewal that waits returns at the next end; polling every 50 ms is near
	// enough.
	until := o.sim.now + r.Wait
	var wait func()
	wait = func() {
		if o.sim.now >= until || len(w.ended) > 0 && w.number > r.Cursor || !w.up || w.cut {
			o.order(w, exec, answer)
			return
		}
		o.sim.at(50*time.Millisecond, wait)
	}
	wait()
}

func (o *simOwner) ask(a QueryAdvice) {
	s := o.sim
	s.at(10*time.Millisecond, func() {
		if s.rand.Float64() < s.faults.lostOrder {
			o.apply(AdviceResult{Step: a.Step, AskedWorkers: a.Workers, Err: errNoAnswer})
			return
		}
		var out cell.AdviceAnswer
		for _, w := range a.Workers {
			if eligible(a.Step, w) {
				out.Eligible = append(out.Eligible, cell.Ticket{Worker: w, Ticket: a.Step.String() + "@" + w})
			}
		}
		o.apply(AdviceResult{Step: a.Step, AskedWorkers: a.Workers, Answer: out})
	})
}

// eligible decides by a hash, so that it does not change.
func eligible(s cell.StepID, worker string) bool {
	h := fnv.New32a()
	h.Write([]byte(worker + s.String()))
	return h.Sum32()%10 < 7
}

// published checks a state that callers can see.
func (s *sim) published(p Publish) {
	j := s.jobs[p.Job]
	if j.state.IsFinal() && j.state != p.State {
		s.t.Fatalf("%v job %s goes from %c to %c", s.now, p.Job, j.state, p.State)
	}
	j.state = p.State
	if p.State != cell.StateCompleted {
		return
	}
	s.stats.completed++
	for i := range j.def.Steps {
		for k := range j.def.Steps[i].Count {
			id := cell.TaskID{StepID: cell.StepID{Job: p.Job, Step: i}, Index: k}
			if !j.taskDone[id.String()] {
				s.t.Fatalf("%v job %s is shown as completed, task %s has not ended so", s.now, p.Job, id)
			}
		}
	}
}

// submit adds a job.
func (s *sim) submit(i int) {
	q := s.config.Queues[s.rand.IntN(2)]
	def := &cell.Job{ID: jobName(i), Queue: q, Spec: "x", AcceptedAt: s.time().Wall}
	for k := range 1 + s.rand.IntN(2) {
		step := cell.Step{
			Count:    1 + s.rand.IntN(4),
			Need:     structs.Resources{MilliCPU: int64(500 + s.rand.IntN(3000)), MemoryMB: int64(500 + s.rand.IntN(2000))},
			Estimate: time.Duration(200+s.rand.IntN(1500)) * time.Millisecond,
			Gang:     s.rand.Float64() < 0.4,
		}
		if s.rand.Float64() < 0.3 && !step.Gang {
			step.MaxPerWorker = 2
		}
		if k > 0 {
			step.DependsOn = []int{0}
		}
		def.Steps = append(def.Steps, step)
	}
	s.jobs[def.ID] = &simJob{def: def, state: cell.StateQueued, poison: s.rand.Float64() < 0.03,
		taskDone: map[string]bool{}, doneSeen: map[string]bool{}, failures: map[string]int{}}
	s.owner.apply(JobSubmitted{Job: def})
	if s.rand.Float64() < s.faults.cancelShare {
		s.at(time.Duration(s.rand.IntN(2000))*time.Millisecond, func() {
			s.cancelled[def.ID] = s.now
			s.owner.apply(JobCancelled{Job: def.ID})
		})
	}
}

// every schedules a fault again and again until an end.
func (s *sim) every(mean, end time.Duration, do func()) {
	if mean == 0 {
		return
	}
	next := mean/2 + time.Duration(s.rand.Int64N(int64(mean)))
	s.at(next, func() {
		if s.now < end {
			do()
			s.every(mean, end, do)
		}
	})
}

func (s *sim) randomWorker() *simWorker {
	return s.workers[s.names[s.rand.IntN(len(s.names))]]
}

// play submits jobs for a while under faults and waits until all have ended.
func (s *sim) play(jobs int) {
	for _, name := range s.names {
		s.workers[name].lapse()
	}
	s.takeOver()
	const traffic = 20 * time.Second
	for i := range jobs {
		s.at(traffic*time.Duration(i)/time.Duration(jobs), func() { s.submit(i) })
	}
	s.every(s.faults.crashEvery, traffic, func() {
		if w := s.randomWorker(); w.up {
			w.crash()
		}
	})
	s.every(s.faults.cutEvery, traffic, func() {
		w := s.randomWorker()
		w.cut = true
		s.at(4*time.Second, func() { w.cut = false })
	})
	s.every(s.faults.takeoverEvery, traffic, func() {
		s.owner.dead = true
		s.at(800*time.Millisecond, s.takeOverIfDead)
	})
	s.every(s.faults.outageEvery, traffic, func() {
		s.storeDown = true
		s.at(2*time.Second, func() { s.storeDown = false })
	})
	s.runUntil(90 * time.Second)
	s.checkEnded()
}

// checkEnded checks that no job is left and nothing runs.
func (s *sim) checkEnded() {
	for _, id := range s.sortedJobs() {
		j := s.jobs[id]
		if !j.state.IsFinal() {
			s.t.Errorf("job %s (%s) is left in state %c", id, j.def.Queue.Name, j.state)
		}
	}
	for _, name := range s.names {
		w := s.workers[name]
		if len(w.runs) > 0 {
			s.t.Errorf("worker %s still has %d runs", name, len(w.runs))
		}
	}
}

// TestSimulatedFaults guards the rules of running tasks against combinations of
// faults: lost and late orders, crashes and cuts of workers, sudden ends of the
// owner, outages of the store.
func TestSimulatedFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults simFaults
	}{
		{"calm", simFaults{}},
		{"failing runs", simFaults{failing: 0.1, cancelShare: 0.1}},
		{"lost and late orders", simFaults{lostOrder: 0.1, lateOrder: 0.05, cancelShare: 0.1}},
		{"crashes", simFaults{crashEvery: 2 * time.Second, lostOrder: 0.02}},
		{"cuts", simFaults{cutEvery: 3 * time.Second, lostOrder: 0.02}},
		{"takeovers", simFaults{takeoverEvery: 4 * time.Second, lostOrder: 0.05}},
		{"outages", simFaults{outageEvery: 5 * time.Second, takeoverEvery: 7 * time.Second}},
		{"all", simFaults{lostOrder: 0.05, lateOrder: 0.02, failing: 0.05, crashEvery: 5 * time.Second,
			cutEvery: 6 * time.Second, takeoverEvery: 6 * time.Second, outageEvery: 9 * time.Second, cancelShare: 0.1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					s := newSim(t, seed, 9, c.faults)
					s.play(120)
					t.Logf("%+v", s.stats)
				})
			}
		})
	}
}
