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

// control is the state of the control loop. Only the control loop's goroutine
// accesses it. Fields of type time.Duration whose names end in At or Since are
// times on the daemon's clock, see Daemon.now.
type control struct {
	d      *Daemon
	ctx    context.Context
	logger hclog.Logger

	// State that is derived from the log streams.
	config     *configstate.State
	auditTrail *audit.Trail
	requestLog *requestlog.Log
	jobs       *jobstate.State
	streams    map[string]*streamState
	// pendingAudits holds, by id, the audit entries that are not on the log
	// yet. Any VM may write them.
	pendingAudits  map[string]pendingAudit
	publishWaiters map[string]publishReplies
	// configRewrittenAt is when this VM last appended a copy of the
	// configuration to keep it on the log.
	configRewrittenAt time.Duration
	jobWaiters        map[string][]chan<- structs.Outcome
	// assignments holds the data centre of each job, awaitingAssignment the
	// submitted jobs whose data centre is not decided yet.
	assignments        jobAssignments
	awaitingAssignment map[string]structs.Job
	// remoteWriters holds the writers of other data centres' jobs streams.
	remoteWriters map[string]*streamWriter

	// Requests.
	dispatcher     *dispatch.Dispatcher
	activeRequests map[string]*activeRequest
	// unloggedOutcomes holds the request outcomes that could not be appended
	// yet.
	unloggedOutcomes []requestOutcomeNotLogged
	lastStartNumber  int64
	demand           map[string]dispatch.SlotDemand
	slotSyncs        map[string]*slotSync
	attemptsInFlight map[string]int // by server

	// VMs, by id unless stated otherwise.
	vms         []structs.VM
	vmsReadAt   time.Time
	entryVMs    []structs.VM
	serverVMs   map[string]structs.VM
	serverAddrs map[string]string
	// reportedLeavingAt is when a backend server last reported that it is
	// leaving.
	reportedLeavingAt     map[string]time.Duration
	heartbeatSentAt       map[string]time.Duration // by address
	remoteHeartbeatSentAt time.Duration            // of the last heartbeat to another data centre
	peerLastSeen          map[string]time.Duration // by address
	isFetchingConfig      bool

	// Ownership of this VM's data centre.
	ownershipMachine *ownership.Machine
	owners           map[string]ownerInfo // by data centre
	broker           *slots.Broker
	probes           map[string]*serverProbe
	lastBrokerTick   time.Duration
	ownerState

	// lastSlowTick is when the decisions of slowTickInterval were last made.
	lastSlowTick time.Duration
	// viewPublishedAt is when the last View was published.
	viewPublishedAt time.Duration
	// lastCPUAllocated is the allocated fraction of the workers' CPU, computed
	// at cpuAllocatedAt.
	lastCPUAllocated float64
	cpuAllocatedAt   time.Duration
	// isolatedSince is since when no heartbeat of another data centre has been
	// received, zero if there was a recent one.
	isolatedSince time.Time
	// hasHadSlots is set once this VM has been granted slots.
	hasHadSlots    bool
	isShuttingDown bool
	drainState
	// ownerAppendsInFlight is the number of appends to stream "owners" without
	// a result.
	ownerAppendsInFlight int
}

// streamState is the read progress of a log stream. changedAt is when
// isReachable last changed.
type streamState struct {
	isReachable bool
	changedAt   time.Time
	// hasReachedEnd is set once a read has reached the end of the stream.
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

// newControl returns the state of a control loop that has applied no event.
// startLoops calls it once, on the goroutine that then calls run.
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

// dedupeWindow is the maximum age of the id of a non-idempotent request. The
// log must retain its records for longer.
const dedupeWindow = time.Hour

// seedOf derives the seed of an instance's random choices. newControl calls it
// once for the dispatcher and the ownership machine, so that instances make
// different random choices.
func seedOf(instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(instance))
	return h.Sum64()
}

func (c *control) now() time.Duration {
	return c.d.now()
}

// run is the control loop: it applies events and calls tick until the daemon's
// context is cancelled. The ticker runs faster while this VM has active
// requests. startLoops starts it on its own goroutine when the daemon starts.
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

// tickIntervalFor returns the period of ticks with or without active requests.
// run calls it when the first request becomes active and when the last one is
// finished.
func tickIntervalFor(busy bool) time.Duration {
	if busy {
		return tickInterval
	}
	return slowTickInterval
}

// tick makes the time-driven decisions. run calls it every tickInterval while
// requests are active, else every slowTickInterval. All work but that of the
// dispatcher and the slot requests is done only on slow ticks, about every
// slowTickInterval.
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

// apply marks the stream as unreachable and, for stream "owners", reports the
// failure to the ownership machine. It runs on the control loop after each
// failed read of a stream.
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

// apply marks the stream as reachable and applies the records read, in log
// order. It runs on the control loop after each successful read of a stream,
// also if the read returned no records.
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

// applyRecord applies a record to the state of its stream. logBatch.apply calls
// it for each record of a read.
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

// handleBatchRead does the work that follows the records of one read, which
// depends on the stream. logBatch.apply calls it last, also for a read without
// records.
func (c *control) handleBatchRead(ev logBatch) {
	switch ev.stream {
	case records.StreamConfig:
		// This has an effect only if the log has dropped all records before
		// next.
		c.config.SkipTo(ev.next)
	case records.StreamOwners:
		c.applyOwnershipEvent(ownership.LogRead{SentAt: ev.sentAt, AtEnd: ev.atEnd, NextOffset: ev.next})
	case records.StreamRequests:
		c.handleRequestsRead(ev)
	case records.JobsStream(c.d.settings.DataCentre):
		if c.jobs.Next() == 0 && ev.next > 0 {
			// The log has dropped all records. Every owner repeats its snapshot in time,
			// so there was none for that long, and no job can be restored.
			c.jobs.StartAt(ev.next)
		}
		c.sendReadyStarts()
	}
}

// recordOwner records the owner of a data centre if its term is higher than the
// known one. The control loop calls it for claims of other data centres on
// stream "owners", for each heartbeat and heartbeat response, and after each
// event of the ownership machine.
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

// vmOfInstance returns the VM of an instance id, which consists of the VM's id
// and a ULID. recordOwner calls it, since a heartbeat contains only the owner's
// instance.
func vmOfInstance(instance string) string {
	if cut := len(instance) - ulid.EncodedSize - 1; cut > 0 {
		return instance[:cut]
	}
	return instance
}

// logReachable reports whether the last read of a stream succeeded.
func (c *control) logReachable(stream string) bool {
	return c.streams[stream].isReachable
}

// loopCall is the event that runs a function on the control loop.
type loopCall struct {
	call func(c *control)
	done chan struct{}
}

// apply runs the function and then wakes runOnLoop. It runs on the control
// loop.
func (q loopCall) apply(c *control) {
	q.call(c)
	close(q.done)
}

// runOnLoop runs f on the control loop and waits for it to return. If ctx ends
// first, it returns the context's error, and f may still run later. HTTP
// goroutines call it for requests of callers, operators and peers that read
// control state.
func (d *Daemon) runOnLoop(ctx context.Context, f func(c *control)) error {
	q := loopCall{call: f, done: make(chan struct{})}
	d.post(ctx, q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// shutdownRequested is the event that begins the release of slots and ownership
// at the end of a drain.
type shutdownRequested struct{}

func (shutdownRequested) apply(c *control) {
	c.isShuttingDown = true
}
