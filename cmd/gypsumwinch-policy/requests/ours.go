package requests

import (
	"strconv"
	"time"

	"gypsumwinch/internal/dispatch"
)

// logDelay is the time from LogStart to StartLogged: group commit of 40 ms, the
// append and the read.
const logDelay = 60 * time.Millisecond

// entryVM drives a dispatcher as the daemon does.
type entryVM struct {
	c     *cluster
	index int
	d     *dispatch.Dispatcher
	live  map[string]*run
	where map[string]*server
	// wants is the last demand per data centre.
	wants  map[string]dispatch.SlotDemand
	byName map[string]*server
	// inUse counts live attempts by server.
	inUse map[string]int
}

func newEntryVMs(c *cluster, seed uint64) []*entryVM {
	byName := make(map[string]*server)
	for _, s := range c.servers {
		byName[s.name] = s
	}
	var out []*entryVM
	for i, vm := range c.vms {
		v := &entryVM{
			c: c, index: i, byName: byName,
			d: dispatch.New(dispatch.Options{
				Seed:       seed + uint64(i),
				DataCentre: vm.centre,
				Classes:    c.trace.Classes(),
			}),
			live:  make(map[string]*run),
			where: make(map[string]*server),
			wants: make(map[string]dispatch.SlotDemand),
			inUse: make(map[string]int),
		}
		for _, s := range c.servers {
			v.apply(dispatch.ServerChanged{
				Server: s.name, DataCentre: s.centre, Health: dispatch.HealthLive, Slots: slotsPerServer,
			})
		}
		first := time.Duration(c.random.Int64N(int64(dispatch.TickInterval)))
		c.every(first, dispatch.TickInterval, &c.open, func() { v.apply(dispatch.Tick{}) })
		out = append(out, v)
	}
	return out
}

func (v *entryVM) apply(ev dispatch.Event) {
	start := time.Now()
	actions := v.d.Apply(v.c.now, ev)
	took := time.Since(start)
	switch ev.(type) {
	case dispatch.Tick, dispatch.SlotsChanged, dispatch.ServerChanged:
		v.c.results.controlled(took)
	default:
		v.c.results.decided(took)
	}
	for _, a := range actions {
		v.carryOut(a)
	}
}

func (v *entryVM) carryOut(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		v.send(a)
	case dispatch.Abort:
		v.abort(a)
	case dispatch.LogStart:
		v.c.after(logDelay, func() { v.apply(dispatch.StartLogged(a)) })
	case dispatch.Complete:
		v.answer(a.ID).completed++
	case dispatch.Reject:
		v.answer(a.ID).notRun++
	case dispatch.ReportUnknown:
		v.answer(a.ID).unknown++
	case dispatch.SlotDemand:
		v.wants[a.DataCentre] = a
	}
}

func (v *entryVM) answer(id string) *classResults {
	i := requestOf(id)
	if v.c.results.answered[i] {
		panic("request " + id + " is answered twice")
	}
	v.c.results.answered[i] = true
	v.c.open--
	return v.c.results.class(i)
}

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

func (v *entryVM) send(a dispatch.Send) {
	v.c.results.sends++
	s := v.byName[a.Server]
	i := requestOf(a.ID)
	r := &run{request: i, vm: v.index, attempt: a.Attempt}
	v.live[a.ID], v.where[a.ID] = r, s
	v.inUse[s.name]++
	r.done = func(ok bool) {
		v.c.results.ended(i)
		result := dispatch.ResultOK
		if !ok {
			result = dispatch.ResultAborted
		}
		v.c.after(v.c.delay(v.index, s), func() {
			v.inUse[s.name]--
			v.apply(dispatch.Finished{ID: a.ID, Attempt: a.Attempt, Result: result})
		})
	}
	v.c.after(v.c.delay(v.index, s), func() { v.c.start(s, r) })
}

func (v *entryVM) abort(a dispatch.Abort) {
	r, s := v.live[a.ID], v.where[a.ID]
	v.c.after(v.c.delay(v.index, s), func() {
		if r.started {
			v.c.end(s, r, false)
		}
	})
}

func requestOf(id string) int {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic(err)
	}
	return i
}

// runOurs plays the trace with the product's dispatcher. moved tells whether
// slots follow demand.
func runOurs(c *cluster, seed uint64, moved bool) error {
	vms := newEntryVMs(c, seed)
	if moved {
		moveByDemand(c, vms)
	} else {
		shareEqually(c, vms)
	}
	return c.play(func(i int) { vms[c.trace.Requests[i].VM].arrive(i) })
}
