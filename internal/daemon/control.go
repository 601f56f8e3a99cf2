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
	config     *configstate.State
	auditTrail *audit.Trail
	requestLog *requestlog.Log
	jobs       *jobstate.State
	streams    map[string]*streamState
	// pendingAudits holds entries that some VM has to write.
	pendingAudits  map[string]pendingAudit
	publishWaiters map[string]publishReplies
	// configRewrittenAt is when this VM last repeated the configuration.
	configRewrittenAt time.Duration
	jobWaiters        map[string][]chan<- structs.Outcome
	// assignments is the fold of the jobs' assignments, and awaitingHome holds the submitted
	// jobs whose home is not decided yet.
	assignments        jobAssignments
	awaitingAssignment map[string]structs.Job
	// remoteWriters holds the writers of other data centres' jobs streams.
	remoteWriters map[string]*streamWriter

	// Requests.
	dispatcher     *dispatch.Dispatcher
	activeRequests map[string]*activeRequest
	// unloggedOutcomes holds the outcomes that could not be written yet.
	unloggedOutcomes []requestOutcomeNotLogged
	lastStartNumber  int64
	demand           map[string]dispatch.SlotDemand
	slotSyncs        map[string]*slotSync
	attemptsInFlight map[string]int // attempts on their way, by server

	// VMs, by id where not said otherwise.
	vms         []structs.VM
	vmsReadAt   time.Time
	entryVMs    []structs.VM
	serverVMs   map[string]structs.VM
	serverAddrs map[string]string
	// reportedLeavingAt is when a server last said that it is leaving.
	reportedLeavingAt     map[string]time.Duration
	heartbeatSentAt       map[string]time.Duration // by address
	remoteHeartbeatSentAt time.Duration            // when the last heartbeat went to another data centre
	peerLastSeen          map[string]time.Duration // by address
	isFetchingConfig      bool

	// Ownership of this VM's data centre.
	ownershipMachine *ownership.Machine
	owners           map[string]ownerInfo // by data centre
	broker           *slots.Broker
	probes           map[string]*serverProbe
	// lastBrokerTick is when the broker had its last tick.
	lastBrokerTick time.Duration
	ownerState

	// lastSlowTick is when the slower decisions were last made.
	lastSlowTick time.Duration
	// viewPublishedAt is when the last snapshot was published.
	viewPublishedAt time.Duration
	// lastCPUAllocated is the last sum of the workers' use, made at allocatedAt.
	lastCPUAllocated float64
	cpuAllocatedAt   time.Duration
	// isolatedSince is since when no other data centre is heard, zero if one is.
	isolatedSince time.Time
	// hasHadSlots is set once this VM has held slots.
	hasHadSlots    bool
	isShuttingDown bool
	drainState
	// ownerAppendsInFlight is the number of appends to stream "owners" on their way.
	ownerAppendsInFlight int
}

// streamState tells how far a stream was read.
type streamState struct {
	isReachable bool
	changedAt   time.Time
	// hasReachedEnd is set once the end was reached for the first time.
	hasReachedEnd bool
	// lastEndSentAt is when the last read that reached the end was sent.
	lastEndSentAt time.Duration
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
		d:                  d,
		ctx:                ctx,
		logger:             d.logger,
		config:             configstate.New(),
		auditTrail:         audit.New(),
		requestLog:         requestlog.New(dedupeWindow),
		jobs:               jobstate.New(),
		streams:            map[string]*streamState{},
		pendingAudits:      map[string]pendingAudit{},
		publishWaiters:     map[string]publishReplies{},
		jobWaiters:         map[string][]chan<- structs.Outcome{},
		assignments:        newJobAssignments(),
		awaitingAssignment: map[string]structs.Job{},
		remoteWriters:      map[string]*streamWriter{},
		activeRequests:     map[string]*activeRequest{},
		demand:             map[string]dispatch.SlotDemand{},
		slotSyncs:          map[string]*slotSync{},
		attemptsInFlight:   map[string]int{},
		serverVMs:          map[string]structs.VM{},
		serverAddrs:        map[string]string{},
		reportedLeavingAt:  map[string]time.Duration{},
		heartbeatSentAt:    map[string]time.Duration{},
		peerLastSeen:       map[string]time.Duration{},
		owners:             map[string]ownerInfo{},
		probes:             map[string]*serverProbe{},
		ownerState:         newOwnerState(),
	}
	for _, stream := range d.streams() {
		c.streams[stream] = &streamState{changedAt: time.Now()}
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
	ticker := time.NewTicker(slowTickInterval)
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
		if now := len(c.activeRequests) > 0; now != busy {
			busy = now
			ticker.Reset(tickIntervalFor(busy))
		}
	}
}

func tickIntervalFor(busy bool) time.Duration {
	if busy {
		return tickInterval
	}
	return slowTickInterval
}

func (c *control) tick() {
	c.applyDispatchEvent(dispatch.Tick{})
	c.syncSlots()
	if c.now()-c.lastSlowTick < slowTickInterval-tickInterval {
		return
	}
	c.lastSlowTick = c.now()
	c.applyOwnershipEvent(ownership.Tick{})
	c.updateIsolation()
	c.tickBroker()
	c.tickJobs()
	c.tickConfig()
	c.sendHeartbeats()
	c.retryOutcomes()
	c.publishView()
}

func (ev logReadFailed) apply(c *control) {
	s := c.streams[ev.stream]
	if s.isReachable {
		s.isReachable = false
		s.changedAt = time.Now()
		c.logger.Warn("the log is unreachable", "stream", ev.stream, "error", ev.err)
	}
	if ev.stream == records.StreamOwners {
		c.applyOwnershipEvent(ownership.LogUnreachable{})
	}
}

func (ev logBatch) apply(c *control) {
	s := c.streams[ev.stream]
	if !s.isReachable {
		s.isReachable = true
		s.changedAt = time.Now()
		c.logger.Info("the log is reachable", "stream", ev.stream)
	}
	for _, e := range ev.entries {
		c.applyRecord(ev.stream, e)
	}
	if ev.atEnd {
		s.hasReachedEnd = true
		s.lastEndSentAt = ev.sentAt
	}
	c.handleBatchRead(ev)
}

// applyRecord folds one applyRecord into the state of its stream.
func (c *control) applyRecord(stream string, e logEntry) {
	switch stream {
	case records.StreamConfig:
		c.handleConfigEffect(c.config.ApplyAt(e.offset, e.storedAt, e.record))
	case records.StreamAudit:
		c.auditTrail.Apply(e.offset, e.record)
	case records.StreamOwners:
		c.applyOwnerRecord(e)
	case records.StreamRequests:
		c.applyRequestRecord(e)
	default:
		c.applyJobRecord(e)
	}
}

// handleBatchRead does what follows the records of one read.
func (c *control) handleBatchRead(ev logBatch) {
	switch ev.stream {
	case records.StreamConfig:
		// Has an effect only if the log dropped everything up to next.
		c.config.SkipTo(ev.next)
	case records.StreamOwners:
		c.applyOwnershipEvent(ownership.LogRead{SentAt: ev.sentAt, AtEnd: ev.atEnd, NextOffset: ev.next})
	case records.StreamRequests:
		c.handleRequestsRead(ev)
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
	info.vm = vmOfInstance(info.instance)
	c.owners[dataCentre] = info
}

// vmOfInstance returns the VM of an instance id, which is the VM's id and a ULID.
func vmOfInstance(instance string) string {
	if cut := len(instance) - ulid.EncodedSize - 1; cut > 0 {
		return instance[:cut]
	}
	return instance
}

// logReachable reports whether a stream could be read lately.
func (c *control) logReachable(stream string) bool {
	return c.streams[stream].isReachable
}

// loopCall runs a read-only function on the control loop.
type loopCall struct {
	run  func(c *control)
	done chan struct{}
}

func (q loopCall) apply(c *control) {
	q.run(c)
	close(q.done)
}

// runOnLoop runs f on the control loop and waits for it.
func (d *Daemon) runOnLoop(ctx context.Context, f func(c *control)) error {
	q := loopCall{run: f, done: make(chan struct{})}
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
	c.isShuttingDown = true
}
