package slots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

const (
	simServers = 3
	simSlots   = 4
	simVMs     = 4
	simLength  = 70 * time.Second
	// fullDemand is when all holders want all slots, until the end.
	fullDemand = 60 * time.Second
	// inFlight bounds a request to a server, below the margin.
	inFlight = 900 * time.Millisecond
)

type fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	VM     int
}

type plan struct {
	Seed   uint64
	Faults []fault
}

var kinds = []string{"pause", "kill", "lostRequest", "lostAnswer", "slowSync", "takeover", "leaving", "straggle", "idle"}

func plans(kinds []string) *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan { return drawPlan(t, kinds) })
}

func drawPlan(t *rapid.T, kinds []string) plan {
	p := plan{Seed: rapid.Uint64().Draw(t, "seed")}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		f := fault{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			At:     time.Duration(rapid.IntRange(0, 25_000).Draw(t, "at")) * time.Millisecond,
			Length: time.Duration(rapid.IntRange(1, 20_000).Draw(t, "length")) * time.Millisecond,
			VM:     rapid.IntRange(0, simVMs-1).Draw(t, "vm"),
		}
		p.Faults = append(p.Faults, f)
		if rapid.Bool().Draw(t, "pair") {
			f.Kind = rapid.SampledFrom(kinds).Draw(t, "kind2")
			f.VM = rapid.IntRange(0, simVMs-1).Draw(t, "vm2")
			p.Faults = append(p.Faults, f)
		}
	}
	return p
}

// broken removes one mechanism, to show that the checks notice.
type broken struct {
	noQuiet       bool
	blindStatus   bool
	leaseFromNow  bool
	lateRequests  bool
	lateAnswers   bool
	ignoresLapse  bool
	shortAccounts bool
}

type simEvent struct {
	at  time.Duration
	num int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].num < q[j].num
}
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simVM is an entry VM that sends requests to servers.
type simVM struct {
	h      *Holder
	gen    int
	inUse  map[string]int
	paused time.Duration
	// Each is the end of a fault.
	lostRequest, lostAnswer, slowSync, straggle, idle time.Duration
}

type sim struct {
	t       time.Duration
	num     int
	queue   simQueue
	rng     *rand.Rand
	broken  broken
	broker  *Broker
	term    int64
	running map[string]int
	leaving time.Duration
	vms     []*simVM
	errs    []string
	sent    int
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

func runPlan(p plan, b broken) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(p.Seed, 2)), broken: b, running: map[string]int{}}
	s.takeover(0, 0)
	for i := range simVMs {
		s.vms = append(s.vms, &simVM{})
		s.boot(i)
	}
	s.probe()
	for _, f := range p.Faults {
		s.at(f.At, func() { s.inject(f) })
	}
	for len(s.queue) > 0 && s.queue[0].at < simLength && len(s.errs) == 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.t = e.at
		e.do()
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

// check fails if the unexpired leases or the running requests exceed the slots.
// Both grow only where it is called.
func (s *sim) check() {
	for i := range simServers {
		id := serverName(i)
		leased := 0
		for _, v := range s.vms {
			if v.h != nil {
				leased += v.h.Slots(s.t, id)
			}
		}
		if leased > simSlots {
			s.errs = append(s.errs, fmt.Sprintf("%v: %d slots of %s are leased", s.t, leased, id))
		}
		if s.running[id] > simSlots {
			s.errs = append(s.errs, fmt.Sprintf("%v: %d requests run on %s", s.t, s.running[id], id))
		}
	}
}

// takeover replaces the broker. The old one has had authority until now; the
// new one begins after the given time.
func (s *sim) takeover(after, quiet time.Duration) {
	s.broker = nil
	s.at(s.t+after, func() {
		opt := Options{DataCentre: "krk-a"}
		if s.broken.shortAccounts {
			opt.LeaseGrace = -DefaultLeaseTTL / 2
		}
		s.term++
		b := New(opt)
		b.Start(s.t, s.term, s.t+max(0, quiet-after), false)
		s.broker = b
		s.servers()
	})
}

func (s *sim) servers() {
	var list []Server
	for i := range simServers {
		srv := Server{ID: serverName(i), Slots: simSlots}
		if i == 0 && s.t < s.leaving {
			srv.State = ServerLeaving
		}
		list = append(list, srv)
	}
	if s.broker != nil {
		s.broker.SetServers(s.t, list)
	}
}

// probe asks the servers for their status in a loop.
func (s *sim) probe() {
	s.servers()
	if s.broker != nil {
		s.broker.Tick(s.t)
	}
	for i := range simServers {
		id := serverName(i)
		sent := s.t
		s.at(s.t+s.delay(inFlight), func() {
			n := s.running[id]
			if s.broken.blindStatus {
				n = 0
			}
			s.at(s.t+s.delay(5*time.Second), func() {
				if s.broker != nil {
					s.broker.RecordStatus(s.t, ServerStatus{Server: id, InUse: n, SentAt: sent})
				}
			})
		})
	}
	s.at(s.t+500*time.Millisecond, s.probe)
}

func (s *sim) inject(f fault) {
	v := s.vms[f.VM]
	end := s.t + f.Length
	switch f.Kind {
	case "pause":
		v.paused = max(v.paused, end)
	case "kill":
		v.h = nil
		v.gen++
		s.at(end, func() { s.boot(f.VM) })
	case "lostRequest":
		v.lostRequest = max(v.lostRequest, end)
	case "lostAnswer":
		v.lostAnswer = max(v.lostAnswer, end)
	case "slowSync":
		v.slowSync = max(v.slowSync, end)
	case "straggle":
		v.straggle = max(v.straggle, end)
	case "idle":
		v.idle = max(v.idle, end)
	case "leaving":
		s.leaving = max(s.leaving, end)
	case "takeover":
		quiet := DefaultLeaseTTL + DefaultLeaseGrace
		if s.broken.noQuiet {
			quiet = 0
		}
		s.takeover(f.Length/4, quiet)
	}
}

// on runs do on an instance, after a pause if there is one.
func (s *sim) on(v *simVM, at time.Duration, do func()) {
	gen := v.gen
	s.at(at, func() {
		switch {
		case v.gen != gen:
		case s.t < v.paused:
			s.on(v, v.paused, do)
		default:
			do()
		}
	})
}

func (s *sim) boot(i int) {
	v := s.vms[i]
	if v.h != nil {
		return
	}
	v.gen++
	dc := "krk-a"
	if i == simVMs-1 {
		dc = "krk-b"
	}
	v.h = NewHolder(fmt.Sprintf("vm%d", i), fmt.Sprintf("vm%d-%d", i, v.gen), dc)
	v.inUse = map[string]int{}
	s.sync(v)
	s.work(v)
}

// sync sends SyncSlots in a loop. Requests and answers are lost, late or doubled.
func (s *sim) sync(v *simVM) {
	gen := v.gen
	wanted := 1 + s.rng.IntN(8)
	if s.t < v.idle {
		wanted = 0
	}
	if s.t >= fullDemand {
		wanted = simServers * simSlots
	}
	req := v.h.NextRequest(s.t, Demand{InUse: v.inUse, Slots: wanted, MinSlack: s.delay(2 * time.Second)})
	limit := 50 * time.Millisecond
	if s.t < v.slowSync {
		limit = 8 * time.Second
	}
	for range 1 + s.rng.IntN(10)/9 {
		if s.t < v.lostRequest {
			break
		}
		s.at(s.t+s.delay(limit), func() {
			if s.broker == nil {
				return
			}
			if s.broken.lateRequests {
				req.Seq = uint64(s.num)
			}
			resp := s.broker.Sync(s.t, req)
			for range 1 + s.rng.IntN(10)/9 {
				if s.t < v.lostAnswer {
					break
				}
				s.on(v, s.t+s.delay(limit), func() { s.answered(v, gen, resp) })
			}
		})
	}
	s.on(v, s.t+200*time.Millisecond, func() { s.sync(v) })
}

func (s *sim) answered(v *simVM, gen int, resp SyncResponse) {
	if v.gen != gen {
		return
	}
	if s.broken.lateAnswers || s.broken.lateRequests {
		resp.Seq = v.h.seq
		v.h.waiting = true
	}
	if v.h.HandleResponse(s.t, resp); resp.OK && s.broken.leaseFromNow {
		v.h.expires = s.t + resp.TTL
	}
	s.check()
}

// work sends requests while slots are free.
func (s *sim) work(v *simVM) {
	for i := range simServers {
		id := serverName(i)
		free := v.h.Slots(s.t, id) - v.inUse[id]
		if s.broken.ignoresLapse {
			free = v.h.granted[id] - v.inUse[id]
		}
		for range min(free, s.rng.IntN(3)) {
			s.request(v, id)
		}
	}
	s.on(v, s.t+50*time.Millisecond, func() { s.work(v) })
}

func (s *sim) request(v *simVM, id string) {
	s.sent++
	gen := v.gen
	v.inUse[id]++
	length := s.delay(300 * time.Millisecond)
	if s.t < v.straggle {
		length = time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}
	s.at(s.t+s.delay(inFlight), func() {
		s.running[id]++
		s.check()
		s.at(s.t+length, func() {
			s.running[id]--
			s.on(v, s.t+s.delay(inFlight), func() {
				if v.gen == gen {
					v.inUse[id]--
				}
			})
		})
	})
}
