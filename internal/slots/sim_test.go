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
	// simSlots is the number of slots of each server.
	simSlots  = 4
	simVMs    = 4
	simLength = 70 * time.Second
	// fullDemandStart is the time from which every holder demands all slots,
	// until the end.
	fullDemandStart = 60 * time.Second
	// maxMessageDelay bounds the time that a message to or from a server is in
	// flight. It is below DefaultLeaseGrace.
	maxMessageDelay = 900 * time.Millisecond
)

// fault is one fault of a plan, from At for Length.
type fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	VM     int
}

// faultPlan is a seed for the simulation and the faults in it.
type faultPlan struct {
	Seed   uint64
	Faults []fault
}

var faultKinds = []string{"pause", "kill", "lostRequest", "lostAnswer", "slowSync", "takeover", "leaving", "straggle", "idle"}

func plans(kinds []string) *rapid.Generator[faultPlan] {
	return rapid.Custom(func(t *rapid.T) faultPlan { return drawPlan(t, kinds) })
}

func drawPlan(t *rapid.T, kinds []string) faultPlan {
	p := faultPlan{Seed: rapid.Uint64().Draw(t, "seed")}
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

// defects disables mechanisms of the broker or the holders, to show that the checks
// detect it.
type defects struct {
	noRecovery          bool
	zeroStatus          bool
	leaseFromResponse   bool
	acceptLateRequests  bool
	acceptLateResponses bool
	ignoreLeaseExpiry   bool
	expireTooEarly      bool
}

// simEvent is a function that runs at a simulated time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simQueue is a heap of events, ordered by time, then by seq.
type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
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
	holder      *Holder
	incarnation int
	inUse       map[string]int
	pausedUntil time.Duration
	// These are the ends of the faults of each kind.
	lostRequestUntil, lostResponseUntil, slowSyncUntil, stragglersUntil, idleUntil time.Duration
}

// sim simulates one data centre: its broker, entry VMs and servers.
type sim struct {
	now           time.Duration
	lastEventSeq  int
	queue         simQueue
	rng           *rand.Rand
	defects       defects
	broker        *Broker
	term          int64
	runningCounts map[string]int
	leavingUntil  time.Duration
	vms           []*simVM
	errs          []string
	sentCount     int
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

// runPlan simulates until simLength or the first error.
func runPlan(p faultPlan, d defects) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(p.Seed, 2)), defects: d, runningCounts: map[string]int{}}
	s.takeover(0, 0)
	for i := range simVMs {
		s.vms = append(s.vms, &simVM{})
		s.startVM(i)
	}
	s.probe()
	for _, f := range p.Faults {
		s.schedule(f.At, func() { s.inject(f) })
	}
	for len(s.queue) > 0 && s.queue[0].at < simLength && len(s.errs) == 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *sim) schedule(at time.Duration, run func()) {
	s.lastEventSeq++
	heap.Push(&s.queue, simEvent{at: at, seq: s.lastEventSeq, run: run})
}

// randomDelay returns a delay below limit. Nine of ten are below 20 ms.
func (s *sim) randomDelay(limit time.Duration) time.Duration {
	if s.rng.IntN(10) > 0 {
		limit = min(limit, 20*time.Millisecond)
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// checkLimits adds an error if the unexpired leases or the running requests exceed
// the slots of a server. It is called wherever either of them grows.
func (s *sim) checkLimits() {
	for i := range simServers {
		id := serverName(i)
		leased := 0
		for _, v := range s.vms {
			if v.holder != nil {
				leased += v.holder.Slots(s.now, id)
			}
		}
		if leased > simSlots {
			s.errs = append(s.errs, fmt.Sprintf("%v: %d slots of %s are leased", s.now, leased, id))
		}
		if s.runningCounts[id] > simSlots {
			s.errs = append(s.errs, fmt.Sprintf("%v: %d requests run on %s", s.now, s.runningCounts[id], id))
		}
	}
}

// takeover replaces the broker. The old one loses its authority now, the new one
// starts after the given time. recovery is the time from now during which leases of
// the old broker may be valid.
func (s *sim) takeover(after, recovery time.Duration) {
	s.broker = nil
	s.schedule(s.now+after, func() {
		opts := Options{DataCentre: "krk-a"}
		if s.defects.expireTooEarly {
			opts.LeaseGrace = -DefaultLeaseTTL / 2
		}
		s.term++
		b := New(opts)
		b.Start(s.now, s.term, s.now+max(0, recovery-after), false)
		s.broker = b
		s.updateServers()
	})
}

// updateServers passes the states of the servers to the broker.
func (s *sim) updateServers() {
	var list []Server
	for i := range simServers {
		srv := Server{ID: serverName(i), Slots: simSlots}
		if i == 0 && s.now < s.leavingUntil {
			srv.State = ServerLeaving
		}
		list = append(list, srv)
	}
	if s.broker != nil {
		s.broker.SetServers(s.now, list)
	}
}

// probe requests the status of the servers every 500 ms.
func (s *sim) probe() {
	s.updateServers()
	if s.broker != nil {
		s.broker.Tick(s.now)
	}
	for i := range simServers {
		id := serverName(i)
		sentAt := s.now
		s.schedule(s.now+s.randomDelay(maxMessageDelay), func() {
			inUse := s.runningCounts[id]
			if s.defects.zeroStatus {
				inUse = 0
			}
			s.schedule(s.now+s.randomDelay(5*time.Second), func() {
				if s.broker != nil {
					s.broker.RecordStatus(s.now, ServerStatus{Server: id, InUse: inUse, SentAt: sentAt})
				}
			})
		})
	}
	s.schedule(s.now+500*time.Millisecond, s.probe)
}

// inject begins a fault.
func (s *sim) inject(f fault) {
	v := s.vms[f.VM]
	end := s.now + f.Length
	switch f.Kind {
	case "pause":
		v.pausedUntil = max(v.pausedUntil, end)
	case "kill":
		v.holder = nil
		v.incarnation++
		s.schedule(end, func() { s.startVM(f.VM) })
	case "lostRequest":
		v.lostRequestUntil = max(v.lostRequestUntil, end)
	case "lostAnswer":
		v.lostResponseUntil = max(v.lostResponseUntil, end)
	case "slowSync":
		v.slowSyncUntil = max(v.slowSyncUntil, end)
	case "straggle":
		v.stragglersUntil = max(v.stragglersUntil, end)
	case "idle":
		v.idleUntil = max(v.idleUntil, end)
	case "leaving":
		s.leavingUntil = max(s.leavingUntil, end)
	case "takeover":
		recovery := DefaultLeaseTTL + DefaultLeaseGrace
		if s.defects.noRecovery {
			recovery = 0
		}
		s.takeover(f.Length/4, recovery)
	}
}

// scheduleOn schedules run on the current incarnation of a VM. It is skipped if the
// VM was killed, and delayed while the VM is paused.
func (s *sim) scheduleOn(v *simVM, at time.Duration, run func()) {
	incarnation := v.incarnation
	s.schedule(at, func() {
		switch {
		case v.incarnation != incarnation:
		case s.now < v.pausedUntil:
			s.scheduleOn(v, v.pausedUntil, run)
		default:
			run()
		}
	})
}

// startVM starts a new incarnation of a VM, unless one runs. The last VM belongs to
// another data centre.
func (s *sim) startVM(i int) {
	v := s.vms[i]
	if v.holder != nil {
		return
	}
	v.incarnation++
	dc := "krk-a"
	if i == simVMs-1 {
		dc = "krk-b"
	}
	v.holder = NewHolder(fmt.Sprintf("vm%d", i), fmt.Sprintf("vm%d-%d", i, v.incarnation), dc)
	v.inUse = map[string]int{}
	s.sync(v)
	s.sendRequests(v)
}

// sync sends a SyncSlots message every 200 ms. Requests and responses may be lost,
// late or duplicated.
func (s *sim) sync(v *simVM) {
	incarnation := v.incarnation
	demand := 1 + s.rng.IntN(8)
	if s.now < v.idleUntil {
		demand = 0
	}
	if s.now >= fullDemandStart {
		demand = simServers * simSlots
	}
	req := v.holder.NextRequest(s.now, Demand{InUse: v.inUse, Slots: demand, MinSlack: s.randomDelay(2 * time.Second)})
	limit := 50 * time.Millisecond
	if s.now < v.slowSyncUntil {
		limit = 8 * time.Second
	}
	for range 1 + s.rng.IntN(10)/9 {
		if s.now < v.lostRequestUntil {
			break
		}
		s.schedule(s.now+s.randomDelay(limit), func() {
			if s.broker == nil {
				return
			}
			if s.defects.acceptLateRequests {
				req.Seq = uint64(s.lastEventSeq)
			}
			resp := s.broker.Sync(s.now, req)
			for range 1 + s.rng.IntN(10)/9 {
				if s.now < v.lostResponseUntil {
					break
				}
				s.scheduleOn(v, s.now+s.randomDelay(limit), func() { s.handleResponse(v, incarnation, resp) })
			}
		})
	}
	s.scheduleOn(v, s.now+200*time.Millisecond, func() { s.sync(v) })
}

func (s *sim) handleResponse(v *simVM, incarnation int, resp SyncResponse) {
	if v.incarnation != incarnation {
		return
	}
	if s.defects.acceptLateResponses || s.defects.acceptLateRequests {
		resp.Seq = v.holder.seq
		v.holder.isWaiting = true
	}
	if v.holder.HandleResponse(s.now, resp); resp.OK && s.defects.leaseFromResponse {
		v.holder.expiresAt = s.now + resp.TTL
	}
	s.checkLimits()
}

// sendRequests sends requests to the servers with free slots, every 50 ms.
func (s *sim) sendRequests(v *simVM) {
	for i := range simServers {
		id := serverName(i)
		free := v.holder.Slots(s.now, id) - v.inUse[id]
		if s.defects.ignoreLeaseExpiry {
			free = v.holder.grantedSlots[id] - v.inUse[id]
		}
		for range min(free, s.rng.IntN(3)) {
			s.sendRequest(v, id)
		}
	}
	s.scheduleOn(v, s.now+50*time.Millisecond, func() { s.sendRequests(v) })
}

// sendRequest simulates one request on a server.
func (s *sim) sendRequest(v *simVM, id string) {
	s.sentCount++
	incarnation := v.incarnation
	v.inUse[id]++
	runTime := s.randomDelay(300 * time.Millisecond)
	if s.now < v.stragglersUntil {
		runTime = time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}
	s.schedule(s.now+s.randomDelay(maxMessageDelay), func() {
		s.runningCounts[id]++
		s.checkLimits()
		s.schedule(s.now+runTime, func() {
			s.runningCounts[id]--
			s.scheduleOn(v, s.now+s.randomDelay(maxMessageDelay), func() {
				if v.incarnation == incarnation {
					v.inUse[id]--
				}
			})
		})
	})
}
