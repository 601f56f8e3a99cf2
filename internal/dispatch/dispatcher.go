// Package dispatch decides, for one entry VM, which request is sent to which
// backend server and when. It is pure: Apply is a function of the state, the
// event, the time and a seeded random source. Requests wait here, never at a
// server, and are bound to a server only when this VM holds a free slot there.
package dispatch

import (
	"math/rand/v2"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// ExpiryMargin is how long before the end of a slot lease sending stops. It
	// covers the time a message is in flight.
	ExpiryMargin = time.Second
	// TickInterval is how often the daemon sends a Tick.
	TickInterval = 10 * time.Millisecond
	// refreshInterval is how often learned figures are put to use.
	refreshInterval = 100 * time.Millisecond
	// maxQueue bounds the requests that wait at one VM. At about 300 bytes each
	// without payload, they stay below 10 MB of a small VM's memory.
	maxQueue = 20000
)

// Options configures a dispatcher.
type Options struct {
	// Seed makes the random choices repeatable.
	Seed uint64
	// DataCentre is the VM's own data centre, whose servers are preferred.
	DataCentre string
	// Classes are the classes at the start.
	Classes []structs.Class
}

// Dispatcher is the request plane of one entry VM. It is not safe for
// concurrent use.
type Dispatcher struct {
	opts     Options
	random   *rand.Rand
	requests map[string]*request
	running  map[*request]struct{}
	servers  map[string]*server
	// order lists the servers in the order in which they became known, so that
	// decisions do not depend on map order.
	order []*server
	// centres lists the data centres, the own one first.
	centres []*centre
	classes []*class
	byName  map[string]*class
	seq     uint64
	queued  int
	// retryTokens is the retry budget.
	retryTokens    float64
	started        bool
	startedAt      time.Duration
	refreshedAt    time.Duration
	wantsCheckedAt time.Duration
	counts         Counts
	out            []Action
}

// New returns a dispatcher that holds no slots.
func New(opts Options) *Dispatcher {
	d := &Dispatcher{
		opts:        opts,
		random:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		requests:    make(map[string]*request),
		running:     make(map[*request]struct{}),
		servers:     make(map[string]*server),
		byName:      make(map[string]*class),
		retryTokens: initialRetryTokens,
	}
	d.centre(opts.DataCentre)
	d.setClasses(opts.Classes)
	return d
}

// Apply applies one event and returns the actions that follow from it, in the
// order in which they must be carried out. now must not decrease.
func (d *Dispatcher) Apply(now time.Duration, ev Event) []Action {
	d.out = nil
	if !d.started {
		d.started, d.startedAt = true, now
		d.refresh(now)
	}
	switch ev := ev.(type) {
	case Enqueue:
		d.enqueue(now, ev)
	case StartLogged:
		d.startLogged(ev)
	case Cancel:
		d.cancel(ev)
	case SlotsChanged:
		s := d.server(ev.Server, ev.DataCentre)
		s.held, s.expires = ev.Count, ev.Expires
	case ServerChanged:
		s := d.server(ev.Server, ev.DataCentre)
		s.health = ev.Health
		s.slots = max(s.slots, ev.Slots)
	case Finished:
		d.finished(now, ev)
	case Tick:
		d.tick(now)
	case ClassesChanged:
		d.setClasses(ev.Classes)
		d.refresh(now)
	}
	d.dispatch(now)
	d.updateWants(now)
	return d.out
}

func (d *Dispatcher) emit(a Action) { d.out = append(d.out, a) }

func (d *Dispatcher) tick(now time.Duration) {
	if now-d.refreshedAt >= refreshInterval {
		d.refreshedAt = now
		d.abortStragglers(now)
		d.refresh(now)
		d.forgetGone()
	}
}

func (d *Dispatcher) refresh(now time.Duration) {
	for _, c := range d.classes {
		c.refresh(now)
	}
	for _, c := range d.classes {
		c.yields = c.yields[:0]
		load := 0.0
		for _, o := range d.classes {
			if c.yieldsTo(o) {
				c.yields = append(c.yields, o)
				load += o.load
			}
		}
		c.keepFree = 0
		if len(c.yields) > 0 {
			c.keepFree = reserveFor(load)
		}
	}
}

// setClasses replaces the targets. Learned figures are kept by name, and classes
// that have gone are kept while they have requests.
func (d *Dispatcher) setClasses(classes []structs.Class) {
	for _, c := range d.classes {
		c.configured = false
	}
	for _, conf := range classes {
		c := d.byName[conf.Name]
		if c == nil {
			c = newClass(conf)
			d.byName[conf.Name] = c
			d.classes = append(d.classes, c)
		}
		c.Class = conf
		c.configured = true
	}
	kept := d.classes[:0]
	for _, c := range d.classes {
		if !c.configured && c.queued()+c.running == 0 {
			delete(d.byName, c.Name)
			continue
		}
		kept = append(kept, c)
	}
	clear(d.classes[len(kept):])
	d.classes = kept
}
