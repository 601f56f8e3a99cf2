package ownership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
)

// The size of a simulated data centre and the timing of its runs.
const (
	simVMs     = 3
	simWorkers = 5
	simTasks   = 3
	// defaultRunLength leaves time for recovery after the last fault, which
	// ends a minute after lastFaultStart: the pause of requests to a silent
	// worker (up to 70 s), then the isolation limit of the runs (45 s) and
	// successorWait.
	defaultRunLength = 360 * time.Second
	lastFaultStart   = 130 * time.Second
	// maxMessageDelay is below DefaultMargin, which bounds the time of a
	// request on the network. Responses may take longer.
	maxMessageDelay = 900 * time.Millisecond
)

// fault is one fault of a plan. Mask selects the affected workers, one bit
// each.
type fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	VM     int
	Mask   int
}

// plan is one run: its faults, and the seed of delays and jitter. rapid
// prints the names of its fields.
type plan struct {
	Seed   uint64
	Faults []fault
	// Careless is a mask of the workers that grant a lease to any instance,
	// even while another one holds it.
	Careless int
	// NoWorkers leaves the data centre without workers.
	NoWorkers bool
	// Length and Isolation select the defaults of runPlan and simVM.boot if
	// they are 0.
	Length    time.Duration
	Isolation time.Duration
	// Watch is when the measurement of a takeover begins.
	Watch time.Duration
}

// faultMix selects the kinds of faults that planGenerator draws.
type faultMix struct {
	kinds    []string
	careless bool
	// outage adds a long outage of the log that affects all VMs.
	outage bool
}

var (
	allFaults = faultMix{kinds: []string{
		"pause", "pauseAtStart", "kill", "logDown", "logCut", "logCut", "lostResponse", "slowLog",
		"requestCut", "responseCut", "peerOut", "peerIn", "slowResponse", "release",
		"appendCut", "slowRead", "inventoryCut",
	}}
	// logUp has the faults under which workers need not refuse an old holder:
	// every read returns before the log counts as unreachable.
	logUp = faultMix{careless: true, kinds: []string{
		"pause", "pauseAtStart", "kill", "lostResponse", "slowLog", "requestCut", "responseCut", "slowResponse", "release",
		"appendCut",
	}}
	outage = faultMix{outage: true, kinds: []string{
		"kill", "kill", "pause", "requestCut", "responseCut", "slowResponse", "peerOut", "peerIn", "logCut",
	}}
	// pauses and handOver have the faults that one mechanism guards against.
	pauses   = faultMix{kinds: []string{"pauseAtStart"}, careless: true}
	handOver = faultMix{kinds: []string{"responseCut", "release"}}
)

// planGenerator generates plans with up to 14 faults, some of them
// simultaneous.
func planGenerator(m faultMix) *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan{Seed: rapid.Uint64().Draw(t, "seed")}
		if m.careless {
			p.Careless = rapid.IntRange(1, 1<<simWorkers-1).Draw(t, "careless")
		}
		if m.outage {
			at := time.Duration(rapid.IntRange(5, 60).Draw(t, "outage")) * time.Second
			p.Faults = append(p.Faults, fault{Kind: "logDown", At: at, Length: 100 * time.Second})
			p.Isolation = 70 * time.Second
			// Recovery is not checked in these runs.
			p.Length = 2 * lastFaultStart
		}
		n := rapid.IntRange(0, 7).Draw(t, "faults")
		for range n {
			f := drawFault(t, m)
			p.Faults = append(p.Faults, f)
			if rapid.Bool().Draw(t, "pair") {
				g := drawFault(t, m)
				g.At = f.At
				p.Faults = append(p.Faults, g)
			}
		}
		return p
	})
}

func drawFault(t *rapid.T, m faultMix) fault {
	return fault{
		Kind:   rapid.SampledFrom(m.kinds).Draw(t, "kind"),
		At:     time.Duration(rapid.IntRange(0, int(lastFaultStart/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
		Length: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "length")) * time.Millisecond,
		VM:     rapid.IntRange(0, simVMs-1).Draw(t, "vm"),
		Mask:   rapid.IntRange(0, 1<<simWorkers-1).Draw(t, "mask"),
	}
}

// twoVMPlan makes VM 0 the first owner and VM 1 the only possible successor.
func twoVMPlan(seed int, faults ...fault) plan {
	return plan{Seed: uint64(seed), Faults: append([]fault{
		{Kind: "kill", VM: 1, Length: 3 * time.Second},
		{Kind: "kill", VM: 2, Length: 3 * time.Minute},
	}, faults...)}
}

const everyWorker = 1<<simWorkers - 1

// ownerWithoutWorkers has an owner that reaches no worker, and a VM that
// knows this owner and loses the log.
func ownerWithoutWorkers(seed ...int) plan {
	return twoVMPlan(seed[0],
		fault{Kind: "requestCut", Length: time.Minute, Mask: everyWorker},
		fault{Kind: "logCut", VM: 1, At: 6 * time.Second, Length: 50 * time.Second})
}

// lateReadResponses has an owner whose heartbeats are lost, whose reads are
// returned late and which receives nothing from its peers.
func lateReadResponses(seed ...int) plan {
	p := twoVMPlan(seed[0],
		fault{Kind: "appendCut", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "peerIn", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "slowRead", At: 15 * time.Second, Length: time.Minute})
	p.NoWorkers = true
	return p
}

// lostHeartbeats has an owner whose heartbeats are lost and whose reads take
// up to 8 s, and workers that grant a lease to any instance.
func lostHeartbeats(seed ...int) plan {
	p := twoVMPlan(seed[0],
		fault{Kind: "appendCut", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "peerIn", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "slowLog", At: 20 * time.Second, Length: time.Minute})
	p.Careless = everyWorker
	return p
}

// lateLeaseResponses has an outage of the log in which the owner loses its
// workers while responses to its last renewals are in flight.
func lateLeaseResponses(seed ...int) plan {
	return twoVMPlan(seed[0],
		fault{Kind: "logDown", At: 20 * time.Second, Length: time.Minute},
		fault{Kind: "slowResponse", At: 18500 * time.Millisecond, Length: 25 * time.Second},
		fault{Kind: "requestCut", At: 21500 * time.Millisecond, Length: time.Minute, Mask: everyWorker})
}

// lostLeaseResponses has a successor that loses the responses of two workers,
// while its requests keep the tasks of the former owner running on them.
func lostLeaseResponses(seed ...int) plan {
	return twoVMPlan(seed[0],
		fault{Kind: "responseCut", VM: 1, At: 15 * time.Second, Length: 100 * time.Second, Mask: 3},
		fault{Kind: "kill", At: 20 * time.Second, Length: 3 * time.Minute})
}

// unreachedWorkers has a successor that does not reach two workers of the
// former owner.
func unreachedWorkers(seed ...int) plan {
	return twoVMPlan(seed[0],
		fault{Kind: "requestCut", VM: 1, At: 15 * time.Second, Length: 100 * time.Second, Mask: 3},
		fault{Kind: "kill", At: 20 * time.Second, Length: 3 * time.Minute})
}

// dividedWorkers has an owner with a majority that loses two workers, and a
// VM without the log that reaches them.
func dividedWorkers(seed ...int) plan {
	return twoVMPlan(seed[0],
		fault{Kind: "logCut", VM: 1, At: 15 * time.Second, Length: 100 * time.Second},
		fault{Kind: "requestCut", At: 16 * time.Second, Length: 100 * time.Second, Mask: 3})
}

// laterLogCut has a successor that never reaches a majority, and a VM that
// knows its claim, loses the log later and takes over the other workers.
func laterLogCut(seed ...int) plan {
	return plan{Seed: uint64(seed[0]), Faults: []fault{
		{Kind: "kill", VM: 1, Length: 3 * time.Second},
		{Kind: "kill", VM: 2, Length: 26 * time.Second},
		{Kind: "requestCut", VM: 1, At: 15 * time.Second, Length: 5 * time.Minute, Mask: 0b11100},
		{Kind: "kill", At: 20 * time.Second, Length: 5 * time.Minute},
		{Kind: "logCut", VM: 2, At: 41 * time.Second, Length: 5 * time.Minute},
	}}
}

// defects disables safety mechanisms, to show that the checks detect it.
type defects struct {
	noSuccessorWait           bool
	authorityFromReadResponse bool
	leaseFromResponse         bool
	noMajority                bool
	noInventory               bool
	alwaysReportsMajority     bool
	noSendCheck               bool
	noRequestPause            bool
	probesTakeLeases          bool
	shortTaskLease            bool
	isolationFromLastRead     bool
}

type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simWorker is a worker. Another instance may acquire its lease at leaseEnd;
// its tasks run until tasksEnd.
type simWorker struct {
	holder   string
	term     int64
	leaseEnd time.Duration
	tasksEnd time.Duration
	tasks    map[int]bool
	careless bool
	// takenAt is when the holder first changed after plan.Watch, lostTasks the
	// number of tasks that ended for lack of a renewal.
	takenAt   time.Duration
	lostTasks int
}

func (w *simWorker) expireTasks(t time.Duration) {
	if t >= w.tasksEnd {
		w.lostTasks += len(w.tasks)
		w.tasks = map[int]bool{}
	}
}

// sim simulates a log, workers and VMs on one clock.
type sim struct {
	plan          plan
	trueTime      time.Duration
	lastSequence  int
	queue         simQueue
	rng           *rand.Rand
	defects       defects
	log           []LogRecord
	logDownEnd    time.Duration
	slowLogEnd    time.Duration
	vms           []*simVM
	workers       []*simWorker
	errs          []string
	taskStarts    int
	limitedOwners int
	interimOwners int
	// tasksStartedAt is when an instance was first allowed to start tasks
	// after plan.Watch, unlimitedAt when one was first allowed to start
	// inherited tasks.
	tasksStartedAt, unlimitedAt time.Duration
	// claimOffset is the claim in force, which claimInstance appended at
	// claimedAt.
	claimOffset   int64
	claimInstance string
	claimedAt     time.Duration
}

// runPlan runs a plan to its end or to the first failure of a check.
func runPlan(p plan, d defects) *sim {
	s := &sim{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), defects: d, claimOffset: records.NoTerm}
	for i := range simWorkers {
		s.workers = append(s.workers, &simWorker{term: NoTerm, tasks: map[int]bool{}, careless: p.Careless&(1<<i) != 0})
	}
	for i := range simVMs {
		v := &simVM{sim: s, id: i, hasNoWorkers: p.NoWorkers, clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		s.vms = append(s.vms, v)
		v.boot()
	}
	for _, f := range p.Faults {
		s.runAt(f.At, func() { s.inject(f) })
	}
	length := cmp.Or(p.Length, defaultRunLength)
	for len(s.queue) > 0 && s.queue[0].at < length && len(s.errs) == 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.trueTime = e.at
		e.do()
		s.checkOwners()
	}
	return s
}

func (s *sim) runAt(at time.Duration, do func()) {
	s.lastSequence++
	heap.Push(&s.queue, simEvent{at: at, sequence: s.lastSequence, do: do})
}

// randomDelay returns a delay below limit, in nine of ten cases below 20 ms.
func (s *sim) randomDelay(limit time.Duration) time.Duration {
	if s.rng.IntN(10) > 0 {
		limit = min(limit, 20*time.Millisecond)
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *sim) recordFailure(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf("%v: ", s.trueTime)+fmt.Sprintf(format, args...))
}

// checkOwners records a failure if two instances may start inherited tasks at
// the same time, or if one has authority for longer than the authority period
// after a later claim without leases on a majority of the workers.
func (s *sim) checkOwners() {
	var owners []*simVM
	for _, v := range s.vms {
		if v.machine == nil {
			continue
		}
		a := v.machine.Authority(v.now())
		isLate := v.instance != s.claimInstance && s.trueTime > s.claimedAt+DefaultAuthorityPeriod && a.ClaimOffset < s.claimOffset
		if (a.MayStartTasks || a.MayGrantSlots) && isLate && !s.holdsMajority(v.instance) {
			s.recordFailure("%s has authority %v after the claim of %s", v.instance, s.trueTime-s.claimedAt, s.claimInstance)
		}
		if a.MayStartTasks && !a.Limited {
			owners = append(owners, v)
		}
	}
	if len(owners) > 1 {
		s.recordFailure("two owners of inherited tasks: %s (term %d), %s (term %d)",
			owners[0].instance, owners[0].machine.term, owners[1].instance, owners[1].machine.term)
	}
}

// holdsMajority reports whether an instance holds the leases on a majority of
// the workers according to the workers.
func (s *sim) holdsMajority(instance string) bool {
	n := 0
	for _, w := range s.workers {
		if w.holder == instance && s.trueTime < w.leaseEnd {
			n++
		}
	}
	return n > simWorkers/2
}

func (s *sim) inject(f fault) {
	v := s.vms[f.VM]
	end := s.trueTime + f.Length
	switch f.Kind {
	case "pause":
		v.pauseEnd = max(v.pauseEnd, end)
	case "pauseAtStart":
		v.pauseAtStart = f.Length
	case "kill":
		v.machine = nil
		v.incarnation++
		s.runAt(end, v.boot)
	case "release":
		v.apply(Shutdown{})
		s.runAt(s.trueTime+2*time.Second, func() {
			v.machine = nil
			v.incarnation++
			s.runAt(end, v.boot)
		})
	case "logDown":
		s.logDownEnd = max(s.logDownEnd, end)
	case "slowLog":
		s.slowLogEnd = max(s.slowLogEnd, end)
	case "logCut":
		v.logCutEnd = max(v.logCutEnd, end)
	case "appendCut":
		v.appendCutEnd = max(v.appendCutEnd, end)
	case "slowRead":
		v.slowReadEnd = max(v.slowReadEnd, end)
	case "lostResponse":
		v.lostResponseEnd = max(v.lostResponseEnd, end)
	case "requestCut", "responseCut", "inventoryCut":
		cutEnds := map[string]*[simWorkers]time.Duration{
			"requestCut": &v.requestCutEnd, "responseCut": &v.responseCutEnd, "inventoryCut": &v.inventoryCutEnd,
		}[f.Kind]
		for i := range simWorkers {
			if f.Mask&(1<<i) != 0 {
				cutEnds[i] = max(cutEnds[i], end)
			}
		}
	case "peerOut":
		v.peerOutEnd = max(v.peerOutEnd, end)
	case "peerIn":
		v.peerInEnd = max(v.peerInEnd, end)
	case "slowResponse":
		v.slowResponseEnd = max(v.slowResponseEnd, end)
	}
}

// appendRecord appends a record to the log and tracks the claim in force.
func (s *sim) appendRecord(r records.Record) {
	s.log = append(s.log, LogRecord{Offset: int64(len(s.log)), Time: time.Unix(0, 0).Add(s.trueTime), Record: r})
	if c := r.Claim; c != nil && c.Base == s.claimOffset {
		s.claimOffset = int64(len(s.log) - 1)
		s.claimInstance = c.Instance
		s.claimedAt = s.trueTime
	}
}
