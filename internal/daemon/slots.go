package daemon

import (
	"time"

	"gypsumwinch/internal/backend"
	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/peer/peerpb"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/slots"
	"gypsumwinch/internal/structs"
)

const (
	// slotSyncInterval is the period of slot requests. It determines how fast
	// slots follow demand.
	slotSyncInterval = 200 * time.Millisecond
	// idleSlotSyncInterval is the period of slot requests while this VM has no
	// requests. It bounds how long slots of an idle VM take to reach a busy
	// one.
	idleSlotSyncInterval = time.Second
	// probeInterval is the period at which a broker probes its backend servers.
	probeInterval = time.Second
	// maxProbeFailures is the number of consecutive failed probes after which a
	// server gets no new work. Three failures would take 3 s if the probes time
	// out.
	maxProbeFailures = 2
	// brokerTickInterval is the period of the broker's time-driven decisions.
	brokerTickInterval = 500 * time.Millisecond
)

// slotSync is the state of the slot requests to the broker of one data centre.
type slotSync struct {
	holder   *slots.Holder
	inFlight bool
	sentAt   time.Duration
}

// hasSlots reports whether the last response granted slots. control.hasSlots
// and syncSlots call it on the control loop.
func (s *slotSync) hasSlots() bool {
	granted, _ := s.holder.Lease()
	return len(granted) > 0
}

// setSlotDemand stores the slot demand for one data centre, which the next slot
// request reports, and creates the holder on first use. runDispatchAction calls
// it for a SlotDemand action.
func (c *control) setSlotDemand(a dispatch.SlotDemand) {
	c.demand[a.DataCentre] = a
	if c.slotSyncs[a.DataCentre] == nil {
		holder := slots.NewHolder(c.d.settings.VM, c.d.instance, c.d.settings.DataCentre)
		c.slotSyncs[a.DataCentre] = &slotSync{holder: holder}
	}
}

// syncSlots sends the slot requests that are due. It runs on the control loop
// at each tick and sends at most one request to each broker at a time.
func (c *control) syncSlots() {
	for dataCentre, s := range c.slotSyncs {
		if s.inFlight || c.now()-s.sentAt < c.currentSlotSyncInterval() {
			continue
		}
		slotDemand := c.demand[dataCentre]
		if slotDemand.Slots == 0 && !s.hasSlots() && dataCentre != c.d.settings.DataCentre {
			continue
		}
		owner, ok := c.owners[dataCentre]
		if !ok || owner.addr == "" {
			continue
		}
		c.sendSlotSync(dataCentre, s, slotDemand, owner)
	}
}

// currentSlotSyncInterval returns the period of slot requests: the short one
// while requests are active or the VM shuts down. The long one is reduced by
// half a slow tick, so that the tick nearest to the period sends the request.
// syncSlots calls it.
func (c *control) currentSlotSyncInterval() time.Duration {
	if len(c.activeRequests) > 0 || c.isShuttingDown {
		return slotSyncInterval
	}
	return idleSlotSyncInterval - slowTickInterval/2
}

// sendSlotSync sends this VM's slot demand to the broker of a data centre;
// during a shutdown the demand is zero, which returns the slots. syncSlots
// calls it; the call runs on its own goroutine, which posts slotsAnswered.
func (c *control) sendSlotSync(dataCentre string, s *slotSync, slotDemand dispatch.SlotDemand, owner ownerInfo) {
	demand := slots.Demand{InUse: c.inFlightByServer(dataCentre), Slots: slotDemand.Slots, MinSlack: slotDemand.MinSlack}
	if c.isShuttingDown {
		demand.Slots = 0
	}
	s.inFlight = true
	s.sentAt = c.now()
	c.d.metrics.countMessage("slots")
	req := s.holder.NextRequest(s.sentAt, demand)
	go func() {
		out, err := c.d.peers.SyncSlots(c.ctx, owner.addr, encodeSyncRequest(req))
		c.d.post(c.ctx, slotsAnswered{dataCentre: dataCentre, seq: req.Seq, response: out, err: err})
	}()
}

// inFlightByServer returns the number of attempts in flight to each server of a
// data centre. sendSlotSync calls it for each slot request.
func (c *control) inFlightByServer(dataCentre string) map[string]int {
	inUse := map[string]int{}
	for server, n := range c.attemptsInFlight {
		if c.serverVMs[server].DataCentre == dataCentre {
			inUse[server] = n
		}
	}
	return inUse
}

// encodeSyncRequest converts a slot request of this VM to its wire format.
// sendSlotSync calls it.
func encodeSyncRequest(req slots.SyncRequest) *peerpb.SyncSlotsRequest {
	return &peerpb.SyncSlotsRequest{
		Vm: req.VM, Instance: req.Instance, DataCentre: req.DataCentre, Sequence: int64(req.Seq),
		Held: encodeServerSlots(req.Held), Overdue: encodeServerSlots(req.Overdue), Wanted: int32(req.Demand),
		Term: req.Term, MinSlackMs: req.MinSlack.Milliseconds(),
	}
}

// encodeServerSlots converts slots per server to their wire format, for slot
// requests that this VM sends and responses of its broker.
func encodeServerSlots(in []slots.ServerSlots) []*peerpb.ServerSlots {
	out := make([]*peerpb.ServerSlots, len(in))
	for i, h := range in {
		out[i] = &peerpb.ServerSlots{Server: h.Server, Slots: int32(h.Slots)}
	}
	return out
}

// slotsAnswered is the event of a broker's response to a slot request.
type slotsAnswered struct {
	dataCentre string
	seq        uint64
	response   *peerpb.SyncSlotsResponse
	err        error
}

// apply passes the response to the holder and the resulting slots of each
// server to the dispatcher. It runs on the control loop after each slot request
// of this VM, successful or not.
func (ev slotsAnswered) apply(c *control) {
	s := c.slotSyncs[ev.dataCentre]
	s.inFlight = false
	if ev.err != nil {
		c.logger.Debug("slot request failed", "data_centre_asked", ev.dataCentre, "error", ev.err)
		return
	}
	before, _ := s.holder.Lease()
	s.holder.HandleResponse(c.now(), slots.SyncResponse{
		OK: ev.response.Term != records.NoTerm, Term: ev.response.Term, Seq: ev.seq,
		Granted: decodeServerSlots(ev.response.Granted), TTL: time.Duration(ev.response.TtlMs) * time.Millisecond,
	})
	after, expires := s.holder.Lease()
	counts := map[string]int{}
	for _, h := range before {
		counts[h.Server] = 0
	}
	for _, h := range after {
		counts[h.Server] = h.Slots
	}
	for server, n := range counts {
		c.applySlotLease(server, ev.dataCentre, n, expires)
	}
}

// applySlotLease sets the number of slots that this VM holds on a server, and
// their expiry, in the dispatcher and the limit of the server's client.
// slotsAnswered.apply calls it for each server whose slots the holder had
// before or has now.
func (c *control) applySlotLease(server, dataCentre string, count int, expires time.Duration) {
	if addr := c.serverAddrs[server]; addr != "" {
		c.d.servers.SetLimit(addr, count)
	}
	c.applyDispatchEvent(dispatch.SlotsChanged{Server: server, DataCentre: dataCentre, Count: count, Expires: expires})
}

// slotsRequested is the event of another VM's slot request to this VM's broker.
type slotsRequested struct {
	request *peerpb.SyncSlotsRequest
	reply   chan<- *peerpb.SyncSlotsResponse
}

// apply answers the request from the broker, or redirects the sender to the
// owner if this VM may not grant slots. It runs on the control loop for each
// slot request that this VM receives.
func (ev slotsRequested) apply(c *control) {
	if c.broker == nil || !c.ownershipMachine.Authority(c.now()).MayGrantSlots {
		ev.reply <- c.redirectToOwner()
		return
	}
	out := c.broker.Sync(c.now(), decodeSyncRequest(ev.request))
	if !out.OK {
		ev.reply <- c.redirectToOwner()
		return
	}
	answer := &peerpb.SyncSlotsResponse{
		Term: out.Term, TtlMs: out.TTL.Milliseconds(), Granted: encodeServerSlots(out.Granted),
	}
	ev.reply <- answer
}

// redirectToOwner returns the response to a slot request that this VM may not
// answer. It contains the address of the owner, if that is known.
// slotsRequested.apply calls it.
func (c *control) redirectToOwner() *peerpb.SyncSlotsResponse {
	out := &peerpb.SyncSlotsResponse{Term: records.NoTerm}
	if owner, ok := c.owners[c.d.settings.DataCentre]; ok {
		out.OwnerAddr = owner.addr
	}
	return out
}

// decodeSyncRequest converts a received slot request from its wire format.
// slotsRequested.apply calls it.
func decodeSyncRequest(in *peerpb.SyncSlotsRequest) slots.SyncRequest {
	return slots.SyncRequest{
		VM: in.Vm, Instance: in.Instance, DataCentre: in.DataCentre, Seq: uint64(in.Sequence),
		Held: decodeServerSlots(in.Held), Demand: int(in.Wanted), Overdue: decodeServerSlots(in.Overdue),
		Term: in.Term, MinSlack: time.Duration(in.MinSlackMs) * time.Millisecond,
	}
}

// decodeServerSlots converts slots per server from their wire format, for slot
// requests that this VM receives and responses of brokers.
func decodeServerSlots(in []*peerpb.ServerSlots) []slots.ServerSlots {
	out := make([]slots.ServerSlots, len(in))
	for i, h := range in {
		out[i] = slots.ServerSlots{Server: h.Server, Slots: int(h.Slots)}
	}
	return out
}

// serverProbe is the probe state of a backend server of this data centre.
type serverProbe struct {
	inFlight  bool
	sentAt    time.Duration
	failures  int
	isLeaving bool
}

// startBroker makes this VM the slot broker of its data centre.
// runOwnershipAction calls it for a StartSlots action, which may come before
// StartOwning.
func (c *control) startBroker(a ownership.StartSlots) {
	if c.broker == nil {
		c.broker = slots.New(slots.Options{DataCentre: c.d.settings.DataCentre})
	}
	c.broker.Start(c.now(), a.Term, a.QuietUntil, c.ownershipMachine.Authority(c.now()).Limited)
	c.setBrokerServers()
	c.logger.Info("granting slots", "term", a.Term)
}

// stopBroker removes the broker. This VM then redirects slot requests to the
// owner. stopOwning calls it.
func (c *control) stopBroker() {
	if c.broker != nil {
		c.broker.Stop()
		c.broker = nil
	}
}

// tickBroker probes the servers and expires slot leases. It runs on the control
// loop at each slow tick and does nothing while this VM is not the broker.
func (c *control) tickBroker() {
	if c.broker == nil {
		return
	}
	for id, vm := range c.serverVMs {
		if vm.DataCentre == c.d.settings.DataCentre {
			c.probeServer(id, vm)
		}
	}
	if c.now()-c.lastBrokerTick >= brokerTickInterval {
		c.lastBrokerTick = c.now()
		c.broker.Tick(c.now())
	}
}

// probeServer probes a backend server if a probe is due and none is in flight.
// tickBroker calls it for each server of this data centre; the probe runs on
// its own goroutine and posts serverProbed.
func (c *control) probeServer(id string, vm structs.VM) {
	p := c.probes[id]
	if p == nil {
		p = &serverProbe{}
		c.probes[id] = p
	}
	if p.inFlight || c.now()-p.sentAt < probeInterval {
		return
	}
	p.inFlight = true
	c.d.metrics.countMessage("server probe")
	p.sentAt = c.now()
	sent := p.sentAt
	go func() {
		status, err := c.d.servers.Status(c.ctx, vm.Addr)
		c.d.post(c.ctx, serverProbed{server: id, sentAt: sent, status: status, err: err})
	}()
}

// serverProbed is the event of a finished probe.
type serverProbed struct {
	server string
	sentAt time.Duration
	status backend.Status
	err    error
}

// apply records the result of the probe and passes the server's state and use
// to the broker. It runs on the control loop after each probe, successful or
// not.
func (ev serverProbed) apply(c *control) {
	p := c.probes[ev.server]
	if p == nil {
		return
	}
	p.inFlight = false
	if ev.err != nil {
		p.failures++
		c.logger.Debug("probe of a backend server failed", "server", ev.server, "error", ev.err)
	} else {
		p.failures = 0
		p.isLeaving = ev.status.Leaving
	}
	if c.broker == nil {
		return
	}
	c.setBrokerServers()
	if ev.err == nil {
		c.broker.RecordStatus(c.now(), slots.ServerStatus{Server: ev.server, InUse: ev.status.InUse, SentAt: ev.sentAt})
	}
}

// setBrokerServers passes the servers of this data centre and their state to
// the broker. The control loop calls it when the broker starts, after each read
// of the VM list and after each probe.
func (c *control) setBrokerServers() {
	if c.broker == nil {
		return
	}
	var servers []slots.Server
	for id, vm := range c.serverVMs {
		if vm.DataCentre != c.d.settings.DataCentre {
			continue
		}
		servers = append(servers, slots.Server{ID: id, Slots: vm.Slots, State: c.brokerServerState(id, vm)})
	}
	c.broker.SetServers(c.now(), servers)
}

// brokerServerState returns the state of a server from the VM list and its
// probes. setBrokerServers calls it for each server.
func (c *control) brokerServerState(id string, vm structs.VM) slots.ServerState {
	p := c.probes[id]
	switch {
	case vm.State == structs.VMLeaving || p != nil && p.isLeaving:
		return slots.ServerLeaving
	case p != nil && p.failures >= maxProbeFailures:
		return slots.ServerFailing
	}
	return slots.ServerLive
}
