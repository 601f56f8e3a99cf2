package daemon

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/audit"
	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/requestlog"
	"gypsumwinch/internal/slots"
	"gypsumwinch/internal/structs"
)

// control holds all control state. Only the control loop touches it.
type control struct {
	d      *Daemon
	ctx    context.Context
	logger hclog.Logger

	// Folds of the log streams.
	config   *configstate.State
	trail    *audit.Trail
	requests *requestlog.Log
	jobs     *jobstate.State
	streams  map[string]*streamState
	// missingAudit holds entries that some VM has to write.
	missingAudit map[string]pendingAudit
	publishes    map[string]publishWait
	// rewrote is when this VM last repeated the configuration.
	rewrote     time.Duration
	jobWaiters map[string][]chan<- structs.Outcome
	// assignments is the fold of the jobs' assignments, and awaitingHome holds the submitted
	// jobs whose home is not decided yet.
	assignments        jobAssignments
	awaitingAssignment map[string]structs.Job
	// remoteWriters holds the writers of other data centres' jobs streams.
	remoteWriters map[string]*streamWriter

	// Requests.
	dispatcher *dispatch.Dispatcher
	live       map[string]*liveRequest
	// unsettled holds the outcomes that could not be written yet.
	unsettled  []outcomeNotLogged
	startCount int64
	wants      map[string]dispatch.SlotDemand
	slotSyncs  map[string]*slotSync
	inUse      map[string]int // attempts on their way, by server

	// VMs, by id where not said otherwise.
	vms        []structs.VM
	vmsRead    time.Time
	entryVMs   []structs.VM
	serverVM   map[string]structs.VM
	serverAddr map[string]string
	// saidLeaving is when a server last said that it is leaving.
	saidLeaving map[string]time.Duration
	peerSent    map[string]time.Duration // by address
	farSent     time.Duration            // when the last heartbeat went to another data centre
	peerSeen    map[string]time.Duration // by address
	fetching    bool

	// Ownership of this VM's data centre.
	ownershipMachine *ownership.Machine
	owners  map[string]ownerInfo // by data centre
	broker  *slots.Broker
	probes  map[string]*serverProbe
	// brokerTicked is when the broker had its last tick.
	brokerTicked time.Duration
	ownerState

	// slowTicked is when the slower decisions were last made.
	slowTicked time.Duration
	// viewed is when the last snapshot was published.
	viewed time.Duration
	// allocated is the last sum of the workers' use, made at allocatedAt.
	allocated   float64
	allocatedAt time.Duration
	// aloneSince is since when no other data centre is heard, zero if one is.
	aloneSince time.Time
	// heldSlots is set once this VM has held slots.
	heldSlots bool
	shutdown  bool
	drainState
	// ownerAppendsInFlight is the number of appends to stream "owners" on their way.
	ownerAppendsInFlight int
}

// streamState tells how far a stream was read.
type streamState struct {
	reachable bool
	since     time.Time
	// caughtUp is set once the end was reached for the first time.
	caughtUp bool
	// lastEnd is when the last read that reached the end was sent.
	lastEnd time.Duration
}

// ownerInfo is what this VM knows about the owner of a data centre.
type ownerInfo struct {
	term     int64
	vm       string
	instance string
	addr     string
}

func newControl(d *Daemon, ctx context.Context) *control {
	c := &control{
		d:             d,
		ctx:           ctx,
		logger:        d.logger,
		config:        configstate.New(),
		trail:         audit.New(),
		requests:      requestlog.New(dedupeWindow),
		jobs:          jobstate.New(),
		streams:       map[string]*streamState{},
		missingAudit:  map[string]pendingAudit{},
		publishes:     map[string]publishWait{},
		jobWaiters:   map[string][]chan<- structs.Outcome{},
		assignments:         newJobAssignments(),
		awaitingAssignment:  map[string]structs.Job{},
		remoteWriters: map[string]*streamWriter{},
		live:          map[string]*liveRequest{},
		wants:         map[string]dispatch.SlotDemand{},
		slotSyncs:     map[string]*slotSync{},
		inUse:         map[string]int{},
		serverVM:      map[string]structs.VM{},
		serverAddr:    map[string]string{},
		saidLeaving:   map[string]time.Duration{},
		peerSent:      map[string]time.Duration{},
		peerSeen:      map[string]time.Duration{},
		owners:        map[string]ownerInfo{},
		probes:        map[string]*serverProbe{},
		ownerState:     newOwnerState(),
	}
	for _, stream := range d.streams() {
		c.streams[stream] = &streamState{since: time.Now()}
	}
	seed := seedOf(d.instance)
	c.dispatcher = dispatch.New(dispatch.Options{Seed: seed, DataCentre: d.settings.DataCentre})
	c.ownershipMachine = ownership.New(ownership.Options{
		VM: d.settings.VM, Instance: d.instance, DataCentre: d.settings.DataCentre,
		Addr: d.settings.PeerListen, Seed: seed,
	})
	return c
}

// dedupeWindow is how old the id of a non-idempotent request may be. The log
// must keep its records for longer.
const dedupeWindow = time.Hour

// seedOf derives the seed of this instance's random choices.
func seedOf(instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(instance))
	return h.Sum64()
}

func (c *control) now() time.Duration {
	return c.d.now()
}

// run handles events and ticks until the daemon's context ends.
func (c *control) run() {
	ticker := time.NewTicker(slowTick)
	defer ticker.Stop()
	busy := false
	for {
		select {
		case ev := <-c.d.events:
			ev.apply(c)
		case <-ticker.C:
			c.tick()
		case <-c.ctx.Done():
			return
		}
		if now := len(c.live) > 0; now != busy {
			busy = now
			ticker.Reset(tickPeriod(busy))
		}
	}
}

func tickPeriod(busy bool) time.Duration {
	if busy {
		return tickInterval
	}
	return slowTick
}

func (c *control) tick() {
	c.dispatch(dispatch.Tick{})
	c.syncSlots()
	if c.now()-c.slowTicked < slowTick-tickInterval {
		return
	}
	c.slowTicked = c.now()
	c.applyOwnershipEvent(ownership.Tick{})
	c.noteAlone()
	c.tickBroker()
	c.tickJobs()
	c.tickConfig()
	c.beat()
	c.settle()
	c.publishView()
}

func (ev logFailed) apply(c *control) {
	s := c.streams[ev.stream]
	if s.reachable {
		s.reachable = false
		s.since = time.Now()
		c.logger.Warn("the log is unreachable", "stream", ev.stream, "error", ev.err)
	}
	if ev.stream == records.StreamOwners {
		c.applyOwnershipEvent(ownership.LogUnreachable{})
	}
}

func (ev logBatch) apply(c *control) {
	s := c.streams[ev.stream]
	if !s.reachable {
		s.reachable = true
		s.since = time.Now()
		c.logger.Info("the log is reachable", "stream", ev.stream)
	}
	for _, e := range ev.entries {
		c.record(ev.stream, e)
	}
	if ev.end {
		s.caughtUp = true
		s.lastEnd = ev.sent
	}
	c.batchRead(ev)
}

// record folds one record into the state of its stream.
func (c *control) record(stream string, e logEntry) {
	switch stream {
	case records.StreamConfig:
		c.configEffect(c.config.ApplyAt(e.offset, e.at, e.record))
	case records.StreamAudit:
		c.trail.Apply(e.offset, e.record)
	case records.StreamOwners:
		c.applyOwnerRecord(e)
	case records.StreamRequests:
		c.requestRecord(e)
	default:
		c.applyJobRecord(e)
	}
}

// batchRead does what follows the records of one read.
func (c *control) batchRead(ev logBatch) {
	switch ev.stream {
	case records.StreamConfig:
		// Has an effect only if the log dropped everything up to next.
		c.config.SkipTo(ev.next)
	case records.StreamOwners:
		c.applyOwnershipEvent(ownership.LogRead{SentAt: ev.sent, AtEnd: ev.end, NextOffset: ev.next})
	case records.StreamRequests:
		c.requestsRead(ev)
	case records.JobsStream(c.d.settings.DataCentre):
		c.sendReadyStarts()
	}
}

// recordOwner keeps the owner of a data centre with the highest term.
func (c *control) recordOwner(dataCentre string, info ownerInfo) {
	if old, ok := c.owners[dataCentre]; ok && old.term >= info.term {
		return
	}
	if info.term == records.NoTerm {
		return
	}
	info.vm = vmOf(info.instance)
	c.owners[dataCentre] = info
}

// vmOf returns the VM of an instance id, which is the VM's id and a ULID.
func vmOf(instance string) string {
	if cut := len(instance) - ulid.EncodedSize - 1; cut > 0 {
		return instance[:cut]
	}
	return instance
}

// logReachable reports whether a stream could be read lately.
func (c *control) logReachable(stream string) bool {
	return c.streams[stream].reachable
}

// query runs a read-only function on the control loop.
type query struct {
	run  func(c *control)
	done chan struct{}
}

func (q query) apply(c *control) {
	q.run(c)
	close(q.done)
}

// ask runs f on the control loop and waits for it.
func (d *Daemon) ask(ctx context.Context, f func(c *control)) error {
	q := query{run: f, done: make(chan struct{})}
	d.post(ctx, q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// shutdownRequested is the event that starts the end of a drain.
type shutdownRequested struct{}

func (shutdownRequested) apply(c *control) {
	c.shutdown = true
}
