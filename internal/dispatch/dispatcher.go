// Package dispatch decides, for one entry VM, which request is sent to which
// backend server and when. It queues requests by class, rejects those that cannot
// finish in time, retries failed attempts within a budget, restarts stragglers,
// and computes how many slots the VM demands from the broker of each data centre.
// Requests wait here, never at a server, and are bound to a server only when this
// VM holds a free slot there.
//
// The package does no I/O and reads no clock: Apply is a function of the state,
// the event, the time and a seeded random source. It does not divide the slots of
// a server among VMs (package slots does) and does not schedule jobs (package
// scheduler does).
//
// Dispatcher is the type to read first, then Event for its input and Action for
// its output.
package dispatch

import (
	"math/rand/v2"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// ExpiryMargin is how long before the end of a slot lease sending stops. It
	// covers the time that a request is in flight to the server.
	ExpiryMargin = time.Second
	// TickInterval is the interval between two Tick events.
	TickInterval = 10 * time.Millisecond
	// estimateInterval is the interval at which decisions take in new
	// observations of run times and arrivals.
	estimateInterval = 100 * time.Millisecond
	// maxQueuedRequests bounds the requests that wait at one VM. At about 300
	// bytes each, without payload, they stay below 10 MB of a small VM's memory.
	maxQueuedRequests = 20000
)

// Options configures a dispatcher.
type Options struct {
	// Seed makes the random choices repeatable.
	Seed uint64
	// DataCentre is the VM's own data centre. Its servers are called local, and
	// are preferred to the remote ones.
	DataCentre string
	// Classes is the configuration until the first ClassesChanged event.
	Classes []structs.Class
}

// Dispatcher holds the queued and running requests of one entry VM and the slots
// that the VM may use. It is not safe for concurrent use.
type Dispatcher struct {
	opts            Options
	random          *rand.Rand
	requests        map[string]*request
	runningRequests map[*request]struct{}
	servers         map[string]*server
	// serverList lists the servers in the order of their first events, so that
	// decisions do not depend on map order.
	serverList []*server
	// dataCentres lists the data centres, the local one first.
	dataCentres   []*dataCentre
	classes       []*class
	classesByName map[string]*class
	// seq is the arrival number of the last request.
	seq         uint64
	queuedCount int
	// retryTokens is the retry budget. A retry costs one token, unless the attempt
	// before it was refused.
	retryTokens        float64
	isStarted          bool
	startedAt          time.Duration
	estimatesUpdatedAt time.Duration
	demandCheckedAt    time.Duration
	counts             Counts
	// actions collects the result of the current Apply.
	actions []Action
}

// New returns a dispatcher that holds no slots.
func New(opts Options) *Dispatcher {
	d := &Dispatcher{
		opts:            opts,
		random:          rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		requests:        make(map[string]*request),
		runningRequests: make(map[*request]struct{}),
		servers:         make(map[string]*server),
		classesByName:   make(map[string]*class),
		retryTokens:     initialRetryTokens,
	}
	d.findOrAddDataCentre(opts.DataCentre)
	d.setClasses(opts.Classes)
	return d
}

// Apply applies one event and returns the actions that follow from it, in the
// order in which they must be carried out. now must not decrease.
func (d *Dispatcher) Apply(now time.Duration, ev Event) []Action {
	d.actions = nil
	if !d.isStarted {
		d.isStarted, d.startedAt = true, now
		d.updateEstimates(now)
	}
	switch ev := ev.(type) {
	case Enqueue:
		d.enqueue(now, ev)
	case StartLogged:
		d.markStartLogged(ev)
	case Cancel:
		d.cancel(ev)
	case SlotsChanged:
		s := d.findOrAddServer(ev.Server, ev.DataCentre)
		s.heldSlots, s.leaseExpiry = ev.Count, ev.Expires
	case ServerChanged:
		s := d.findOrAddServer(ev.Server, ev.DataCentre)
		s.health = ev.Health
		s.totalSlots = max(s.totalSlots, ev.Slots)
	case Finished:
		d.finishAttempt(now, ev)
	case Tick:
		d.tick(now)
	case ClassesChanged:
		d.setClasses(ev.Classes)
		d.updateEstimates(now)
	}
	d.sendReady(now)
	d.updateSlotDemand(now)
	return d.actions
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) tick(now time.Duration) {
	if now-d.estimatesUpdatedAt >= estimateInterval {
		d.estimatesUpdatedAt = now
		d.abortStragglers(now)
		d.updateEstimates(now)
		d.forgetRemovedServers()
	}
}

// updateEstimates recomputes the estimates and the reserve of every class.
func (d *Dispatcher) updateEstimates(now time.Duration) {
	for _, c := range d.classes {
		c.updateEstimates(now)
	}
	for _, c := range d.classes {
		c.reservesFor = c.reservesFor[:0]
		expectedSlots := 0.0
		for _, o := range d.classes {
			if c.mustReserveFor(o) {
				c.reservesFor = append(c.reservesFor, o)
				expectedSlots += o.expectedSlots
			}
		}
		c.reservedSlots = 0
		if len(c.reservesFor) > 0 {
			c.reservedSlots = reserveSize(expectedSlots)
		}
	}
}

// setClasses replaces the configuration of the classes. Estimates are retained by
// class name, and a removed class is retained while it has requests.
func (d *Dispatcher) setClasses(classes []structs.Class) {
	for _, c := range d.classes {
		c.isConfigured = false
	}
	for _, config := range classes {
		c := d.classesByName[config.Name]
		if c == nil {
			c = newClass(config)
			d.classesByName[config.Name] = c
			d.classes = append(d.classes, c)
		}
		c.Class = config
		c.isConfigured = true
	}
	retained := d.classes[:0]
	for _, c := range d.classes {
		if !c.isConfigured && c.queuedCount()+c.runningCount == 0 {
			delete(d.classesByName, c.Name)
			continue
		}
		retained = append(retained, c)
	}
	clear(d.classes[len(retained):])
	d.classes = retained
}
