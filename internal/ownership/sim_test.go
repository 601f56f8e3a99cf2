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

const (
	simVMs     = 3
	simWorkers = 5
	simTasks   = 3
	// simLength leaves time for recovery after the last fault, which ends a
	// minute after faultsEnd: the pause of requests to a silent worker (up to
	// 70 s), then the isolation limit of the runs (45 s) and successorWait.
	simLength = 360 * time.Second
	faultsEnd = 130 * time.Second
	// inFlight is below the margin, which bounds the time of a request on the
	// network. Answers may take longer.
	inFlight = 900 * time.Millisecond
)

// fault is one fault of a plan.
type fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	VM     int
	Mask   int
}

// plan is one run: the faults, and the seed of delays and jitter.
type plan struct {
	Seed   uint64
	Faults []fault
	// Careless workers don't refuse an old holder.
	Careless int
	// NoWorkers leaves the data centre without workers.
	NoWorkers bool
	// Length and Isolation are the defaults of the runs if they are 0.
	Length    time.Duration
	Isolation time.Duration
	// Watch is when the measurement of a takeover begins.
	Watch time.Duration
}

// mix selects the kinds of faults of plans.
type mix struct {
	kinds    []string
	careless bool
	// outage adds a long outage of the log for all.
	outage bool
}

var (
	allFaults = mix{kinds: []string{
		"pause", "pauseAtStart", "kill", "logDown", "logCut", "logCut", "lostAnswer", "slowLog",
		"requestCut", "answerCut", "peerOut", "peerIn", "slowAnswer", "release",
		"appendCut", "slowRead", "inventoryCut",
	}}
	// logUp has the faults under which workers need not refuse an old holder:
	// every read is answered before the log counts as out of reach.
	logUp = mix{careless: true, kinds: []string{
		"pause", "pauseAtStart", "kill", "lostAnswer", "slowLog", "requestCut", "answerCut", "slowAnswer", "release",
		"appendCut",
	}}
	outage = mix{outage: true, kinds: []string{
		"kill", "kill", "pause", "requestCut", "answerCut", "slowAnswer", "peerOut", "peerIn", "logCut",
	}}
	// The following have the faults that one mechanism guards against.
	pauses   = mix{kinds: []string{"pauseAtStart"}, careless: true}
	handOver = mix{kinds: []string{"answerCut", "release"}}
)

func plans(m mix) *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan{Seed: rapid.Uint64().Draw(t, "seed")}
		if m.careless {
			p.Careless = rapid.IntRange(1, 1<<simWorkers-1).Draw(t, "careless")
		}
		if m.outage {
			at := time.Duration(rapid.IntRange(5, 60).Draw(t, "outage")) * time.Second
			p.Faults = append(p.Faults, fault{Kind: "logDown", At: at, Length: 100 * time.Second})
			p.Isolation = 70 * time.Second
			// Recovery is not judged in these runs.
			p.Length = 2 * faultsEnd
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

func drawFault(t *rapid.T, m mix) fault {
	return fault{
		Kind:   rapid.SampledFrom(m.kinds).Draw(t, "kind"),
		At:     time.Duration(rapid.IntRange(0, int(faultsEnd/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
		Length: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "length")) * time.Millisecond,
		VM:     rapid.IntRange(0, simVMs-1).Draw(t, "vm"),
		Mask:   rapid.IntRange(0, 1<<simWorkers-1).Draw(t, "mask"),
	}
}

// first makes VM 0 the first owner and VM 1 the only possible successor.
func first(seed int, faults ...fault) plan {
	return plan{Seed: uint64(seed), Faults: append([]fault{
		{Kind: "kill", VM: 1, Length: 3 * time.Second},
		{Kind: "kill", VM: 2, Length: 3 * time.Minute},
	}, faults...)}
}

const everyWorker = 1<<simWorkers - 1

// unseen has an owner that reaches no worker, and a VM that knows of it and
// loses the log.
func unseen(seed ...int) plan {
	return first(seed[0],
		fault{Kind: "requestCut", Length: time.Minute, Mask: everyWorker},
		fault{Kind: "logCut", VM: 1, At: 6 * time.Second, Length: 50 * time.Second})
}

// lateReads has an owner whose heartbeats are lost, whose reads are answered late
// and which hears nothing of its peers.
func lateReads(seed ...int) plan {
	p := first(seed[0],
		fault{Kind: "appendCut", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "peerIn", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "slowRead", At: 15 * time.Second, Length: time.Minute})
	p.NoWorkers = true
	return p
}

// silentOwner has an owner whose heartbeats are lost and whose reads take up to 8
// s, and workers that grant a lease to anyone.
func silentOwner(seed ...int) plan {
	p := first(seed[0],
		fault{Kind: "appendCut", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "peerIn", At: 15 * time.Second, Length: time.Minute},
		fault{Kind: "slowLog", At: 20 * time.Second, Length: time.Minute})
	p.Careless = everyWorker
	return p
}

// lateLeases has an outage of the log in which the owner loses its workers while
// answers to its last renewals are under way.
func lateLeases(seed ...int) plan {
	return first(seed[0],
		fault{Kind: "logDown", At: 20 * time.Second, Length: time.Minute},
		fault{Kind: "slowAnswer", At: 18500 * time.Millisecond, Length: 25 * time.Second},
		fault{Kind: "requestCut", At: 21500 * time.Millisecond, Length: time.Minute, Mask: everyWorker})
}

// unanswered has a successor to which two workers' answers are lost, while its
// requests keep the tasks of the former owner on them alive.
func unanswered(seed ...int) plan {
	return first(seed[0],
		fault{Kind: "answerCut", VM: 1, At: 15 * time.Second, Length: 100 * time.Second, Mask: 3},
		fault{Kind: "kill", At: 20 * time.Second, Length: 3 * time.Minute})
}

// unreached has a successor that does not reach two workers of the former owner.
func unreached(seed ...int) plan {
	return first(seed[0],
		fault{Kind: "requestCut", VM: 1, At: 15 * time.Second, Length: 100 * time.Second, Mask: 3},
		fault{Kind: "kill", At: 20 * time.Second, Length: 3 * time.Minute})
}

// divided has an owner with a majority that loses two workers, and a VM without
// the log that reaches them.
func divided(seed ...int) plan {
	return first(seed[0],
		fault{Kind: "logCut", VM: 1, At: 15 * time.Second, Length: 100 * time.Second},
		fault{Kind: "requestCut", At: 16 * time.Second, Length: 100 * time.Second, Mask: 3})
}

// cutLater has a successor that never reaches a majority, and a VM that knows its
// claim, loses the log later and takes over the other workers.
func cutLater(seed ...int) plan {
	return plan{Seed: uint64(seed[0]), Faults: []fault{
		{Kind: "kill", VM: 1, Length: 3 * time.Second},
		{Kind: "kill", VM: 2, Length: 26 * time.Second},
		{Kind: "requestCut", VM: 1, At: 15 * time.Second, Length: 5 * time.Minute, Mask: 0b11100},
		{Kind: "kill", At: 20 * time.Second, Length: 5 * time.Minute},
		{Kind: "logCut", VM: 2, At: 41 * time.Second, Length: 5 * time.Minute},
	}}
}

// broken removes one mechanism, to show that the checks notice.
type broken struct {
	noWait          bool
	readFromAnswer  bool
	leaseFromAnswer bool
	noMajority      bool
	noInventory     bool
	alwaysMajority  bool
	noSendCheck     bool
	noSilence       bool
	leaseProbe      bool
	shortTasks      bool
	lateIsolation   bool
}

type simEvent struct {
	at  time.Duration
	num int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].num < q[j].num
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simWorker is a worker. Another holder may take its lease at until; its tasks
// go on until tasksUntil.
type simWorker struct {
	holder     string
	term       int64
	until      time.Duration
	tasksUntil time.Duration
	tasks      map[int]bool
	careless   bool
	// taken is when the holder first changed after plan.Watch, lost the number of tasks that
	// ended without a renewal.
	taken time.Duration
	lost  int
}

func (w *simWorker) lapse(t time.Duration) {
	if t >= w.tasksUntil {
		w.lost += len(w.tasks)
		w.tasks = map[int]bool{}
	}
}

// sim is a log, workers and VMs with one clock for the checks.
type sim struct {
	plan    plan
	t       time.Duration
	num     int
	queue   simQueue
	rng     *rand.Rand
	broken  broken
	log     []LogRecord
	logDown time.Duration
	slowLog time.Duration
	vms     []*simVM
	workers []*simWorker
	errs    []string
	starts  int
	limited int
	deputed int
	// owned and full are when an instance first began to start tasks, and
	// inherited tasks, after plan.Watch.
	owned, full time.Duration
	// claim is the claim in force, appended by holder at the time claimed.
	claim   int64
	holder  string
	claimed time.Duration
}

func runPlan(p plan, b broken) *sim {
	s := &sim{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), broken: b, claim: records.NoTerm}
	for i := range simWorkers {
		s.workers = append(s.workers, &simWorker{term: NoTerm, tasks: map[int]bool{}, careless: p.Careless&(1<<i) != 0})
	}
	for i := range simVMs {
		v := &simVM{s: s, id: i, noWorkers: p.NoWorkers, off: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		s.vms = append(s.vms, v)
		v.boot()
	}
	for _, f := range p.Faults {
		s.at(f.At, func() { s.inject(f) })
	}
	length := cmp.Or(p.Length, simLength)
	for len(s.queue) > 0 && s.queue[0].at < length && len(s.errs) == 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.t = e.at
		e.do()
		s.check()
	}
	return s
}

func (s *sim) at(at time.Duration, do func()) {
	s.num++
	heap.Push(&s.queue, simEvent{at: at, num: s.num, do: do})
}

func (s *sim) delay(limit time.Duration) time.Duration {
	if s.rng.IntN(10) > 0 {
		limit = min(limit, 20*time.Millisecond)
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *sim) fail(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf("%v: ", s.t)+fmt.Sprintf(format, args...))
}

// check fails if two instances may start inherited tasks at the same time, or if
// one has authority for longer than the authority period after a later claim
// without leases on a majority of the workers.
func (s *sim) check() {
	var owners []*simVM
	for _, v := range s.vms {
		if v.m == nil {
			continue
		}
		a := v.m.Authority(v.now())
		late := v.inst != s.holder && s.t > s.claimed+DefaultAuthorityPeriod && a.ClaimOffset < s.claim
		if (a.MayStartTasks || a.MayGrantSlots) && late && !s.majority(v.inst) {
			s.fail("%s has authority %v after the claim of %s", v.inst, s.t-s.claimed, s.holder)
		}
		if a.MayStartTasks && !a.Limited {
			owners = append(owners, v)
		}
	}
	if len(owners) > 1 {
		s.fail("two owners of inherited tasks: %s (term %d), %s (term %d)",
			owners[0].inst, owners[0].m.term, owners[1].inst, owners[1].m.term)
	}
}

// majority reports whether an instance truly holds most workers.
func (s *sim) majority(inst string) bool {
	n := 0
	for _, w := range s.workers {
		if w.holder == inst && s.t < w.until {
			n++
		}
	}
	return n > simWorkers/2
}

func (s *sim) inject(f fault) {
	v := s.vms[f.VM]
	end := s.t + f.Length
	switch f.Kind {
	case "pause":
		v.paused = max(v.paused, end)
	case "pauseAtStart":
		v.pauseAtStart = f.Length
	case "kill":
		v.m = nil
		v.gen++
		s.at(end, v.boot)
	case "release":
		v.apply(Shutdown{})
		s.at(s.t+2*time.Second, func() {
			v.m = nil
			v.gen++
			s.at(end, v.boot)
		})
	case "logDown":
		s.logDown = max(s.logDown, end)
	case "slowLog":
		s.slowLog = max(s.slowLog, end)
	case "logCut":
		v.logCut = max(v.logCut, end)
	case "appendCut":
		v.appendCut = max(v.appendCut, end)
	case "slowRead":
		v.slowRead = max(v.slowRead, end)
	case "lostAnswer":
		v.lostAnswer = max(v.lostAnswer, end)
	case "requestCut", "answerCut", "inventoryCut":
		cut := map[string]*[simWorkers]time.Duration{
			"requestCut": &v.requestCut, "answerCut": &v.answerCut, "inventoryCut": &v.inventoryCut,
		}[f.Kind]
		for i := range simWorkers {
			if f.Mask&(1<<i) != 0 {
				cut[i] = max(cut[i], end)
			}
		}
	case "peerOut":
		v.peerOut = max(v.peerOut, end)
	case "peerIn":
		v.peerIn = max(v.peerIn, end)
	case "slowAnswer":
		v.slowAnswer = max(v.slowAnswer, end)
	}
}

func (s *sim) append(r records.Record) {
	s.log = append(s.log, LogRecord{Offset: int64(len(s.log)), Time: time.Unix(0, 0).Add(s.t), Record: r})
	if c := r.Claim; c != nil && c.Base == s.claim {
		s.claim = int64(len(s.log) - 1)
		s.holder = c.Instance
		s.claimed = s.t
	}
}
