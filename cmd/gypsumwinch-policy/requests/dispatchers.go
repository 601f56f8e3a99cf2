package requests

import (
	"strconv"
	"time"

	"gypsumwinch/internal/dispatch"
)

// logDelay is the time from LogStart to StartLogged: group commit of 40 ms, the
// append and the read.
const logDelay = 60 * time.Millisecond

// entryVM drives a dispatch.Dispatcher on the virtual clock as the daemon does.
type entryVM struct {
	c              *cluster
	index          int
	dispatcher     *dispatch.Dispatcher
	attempts       map[string]*run
	attemptServers map[string]*server
	// slotDemand is the latest slot demand per data centre.
	slotDemand    map[string]dispatch.SlotDemand
	serversByName map[string]*server
	// inUse counts attempts in flight by server.
	inUse map[string]int
}

// newEntryVMs returns the entry VMs of the cluster with all servers live and their
// ticks scheduled.
func newEntryVMs(c *cluster, seed uint64) []*entryVM {
	byName := make(map[string]*server)
	for _, s := range c.servers {
		byName[s.name] = s
	}
	var out []*entryVM
	for i, vm := range c.vms {
		v := &entryVM{
			c: c, index: i, serversByName: byName,
			dispatcher: dispatch.New(dispatch.Options{
				Seed:       seed + uint64(i),
				DataCentre: vm.centre,
				Classes:    c.trace.Classes(),
			}),
			attempts:       make(map[string]*run),
			attemptServers: make(map[string]*server),
			slotDemand:     make(map[string]dispatch.SlotDemand),
			inUse:          make(map[string]int),
		}
		for _, s := range c.servers {
			v.apply(dispatch.ServerChanged{
				Server: s.name, DataCentre: s.centre, Health: dispatch.HealthLive, Slots: slotsPerServer,
			})
		}
		first := time.Duration(c.random.Int64N(int64(dispatch.TickInterval)))
		c.every(first, dispatch.TickInterval, &c.unanswered, func() { v.apply(dispatch.Tick{}) })
		out = append(out, v)
	}
	return out
}

// apply passes an event to the dispatcher, records the real time that it took and
// performs the resulting actions.
func (v *entryVM) apply(ev dispatch.Event) {
	start := time.Now()
	actions := v.dispatcher.Apply(v.c.now, ev)
	took := time.Since(start)
	switch ev.(type) {
	case dispatch.Tick, dispatch.SlotsChanged, dispatch.ServerChanged:
		v.c.results.recordControl(took)
	default:
		v.c.results.recordDecision(took)
	}
	for _, a := range actions {
		v.perform(a)
	}
}

// perform carries out one action of the dispatcher.
func (v *entryVM) perform(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		v.send(a)
	case dispatch.Abort:
		v.abort(a)
	case dispatch.LogStart:
		v.c.after(logDelay, func() { v.apply(dispatch.StartLogged(a)) })
	case dispatch.Complete:
		v.recordAnswer(a.ID).completed++
	case dispatch.Reject:
		v.recordAnswer(a.ID).notRun++
	case dispatch.ReportUnknown:
		v.recordAnswer(a.ID).unknown++
	case dispatch.SlotDemand:
		v.slotDemand[a.DataCentre] = a
	}
}

// recordAnswer marks a request as answered and returns the counts of its class. It
// panics on a second answer.
func (v *entryVM) recordAnswer(id string) *classResults {
	i := requestIndex(id)
	if v.c.results.answered[i] {
		panic("request " + id + " is answered twice")
	}
	v.c.results.answered[i] = true
	v.c.unanswered--
	return v.c.results.classOfRequest(i)
}

// arrive enqueues request i at the dispatcher. replay calls it at the arrival time.
func (v *entryVM) arrive(i int) {
	q := v.c.trace.Requests[i]
	class := v.c.trace.Work[q.Class].Class
	v.apply(dispatch.Enqueue{
		ID:            strconv.Itoa(i),
		Class:         class.Name,
		NonIdempotent: class.NonIdempotent,
		MustLogStart:  class.NonIdempotent,
		At:            q.At,
	})
}

// send starts an attempt on the server after the network delay, and reports its end
// to the dispatcher after another.
func (v *entryVM) send(a dispatch.Send) {
	v.c.results.sends++
	s := v.serversByName[a.Server]
	i := requestIndex(a.ID)
	r := &run{request: i, vm: v.index, attempt: a.Attempt}
	v.attempts[a.ID], v.attemptServers[a.ID] = r, s
	v.inUse[s.name]++
	r.onEnd = func(ok bool) {
		v.c.results.recordEnd(i)
		result := dispatch.ResultOK
		if !ok {
			result = dispatch.ResultAborted
		}
		v.c.after(v.c.delay(v.index, s), func() {
			v.inUse[s.name]--
			v.apply(dispatch.Finished{ID: a.ID, Attempt: a.Attempt, Result: result})
		})
	}
	v.c.after(v.c.delay(v.index, s), func() { v.c.startRun(s, r) })
}

// abort ends the latest attempt of a request after the network delay, if it has
// started.
func (v *entryVM) abort(a dispatch.Abort) {
	r, s := v.attempts[a.ID], v.attemptServers[a.ID]
	v.c.after(v.c.delay(v.index, s), func() {
		if r.hasStarted {
			v.c.endRun(s, r, false)
		}
	})
}

// requestIndex returns the index in the trace that the id of a request encodes.
func requestIndex(id string) int {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic(err)
	}
	return i
}

// runDispatchers replays the trace with a dispatch.Dispatcher per entry VM. If
// moved is set, brokers move slots by demand; otherwise shares are equal and fixed.
func runDispatchers(c *cluster, seed uint64, moved bool) error {
	vms := newEntryVMs(c, seed)
	if moved {
		runBrokers(c, vms)
	} else {
		grantEqualShares(c, vms)
	}
	return c.replay(func(i int) { vms[c.trace.Requests[i].VM].arrive(i) })
}
