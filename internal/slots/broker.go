package slots

import (
	"cmp"
	"slices"
	"time"
)

// maxDemand bounds the demand of a holder, to prevent overflow.
const maxDemand = 1 << 20

// holderAccount is the broker's view of one holder, that is, of one instance of an
// entry VM.
type holderAccount struct {
	lastSeq uint64
	// isRemote is set for VMs of other data centres.
	isRemote bool
	// slots is the number of slots per server that the instance may hold.
	slots      map[string]int
	totalSlots int
	// expiresAt is the end of the lease plus LeaseGrace.
	expiresAt time.Duration
	demand    int
	// urgency is 0 to 1, where 1 is the most urgent.
	urgency float64
	// targetSlots is the share of the holder in the last division of the slots.
	targetSlots int
}

// Broker leases the slots of one data centre. It is not safe for concurrent use.
// For each server, the slots in all accounts together never exceed the server's
// slots.
type Broker struct {
	opts      Options
	isActive  bool
	term      int64
	isLimited bool
	// isRecovering is set while leases of the former broker may be valid.
	isRecovering bool
	recoveryEnd  time.Duration
	serversByID  map[string]*serverAccount
	serverList   []*serverAccount
	accounts     map[string]*holderAccount
	// instanceIDs lists the keys of accounts in ascending order.
	instanceIDs []string
	// maxRemoteSlots bounds the slots of all remote holders together.
	maxRemoteSlots int
}

// New returns a Broker without authority. Until Start it refuses every request.
func New(opts Options) *Broker {
	return &Broker{opts: opts.withDefaults(), serversByID: map[string]*serverAccount{}, accounts: map[string]*holderAccount{}}
}

// Start gives the broker authority with a term. Until recoveryEnd it grants only
// the slots that holders report as held, because leases of the former broker may be
// valid until then. A limited broker also counts the requests that run on a server
// beyond the broker's own leases. If the broker is active, only the term and
// limited change.
func (b *Broker) Start(now time.Duration, term int64, recoveryEnd time.Duration, limited bool) {
	b.term = term
	b.isLimited = limited
	if b.isActive {
		return
	}
	b.isActive = true
	b.isRecovering = true
	b.recoveryEnd = recoveryEnd
	b.accounts = map[string]*holderAccount{}
	b.instanceIDs = nil
	for _, s := range b.serverList {
		s.leasedSlots = 0
		s.orphanedSlots = 0
		s.isDraining = false
	}
	b.Tick(now)
}

// SetLimited changes whether the broker is limited, see Start.
func (b *Broker) SetLimited(limited bool) { b.isLimited = limited }

// Stop ends the broker's authority. It refuses every request from then on.
func (b *Broker) Stop() { b.isActive = false }

// SetServers replaces the list of all servers of the data centre and their states.
// A server that is missing from the list counts as leaving; its account is retained
// while slots are leased or orphaned.
func (b *Broker) SetServers(now time.Duration, servers []Server) {
	listed := map[string]bool{}
	for _, s := range servers {
		listed[s.ID] = true
		if known := b.serversByID[s.ID]; known != nil {
			known.Server = s
			continue
		}
		// Requests may run on any slot of a new server until its first status.
		b.serversByID[s.ID] = &serverAccount{Server: s, orphanedSlots: s.Slots, orphanedAt: now}
	}
	b.serverList = b.serverList[:0]
	for id, s := range b.serversByID {
		if !listed[id] {
			s.State = ServerLeaving
			if s.leasedSlots == 0 && s.orphanedSlots == 0 {
				delete(b.serversByID, id)
				continue
			}
		}
		b.serverList = append(b.serverList, s)
	}
	slices.SortFunc(b.serverList, func(x, y *serverAccount) int { return cmp.Compare(x.ID, y.ID) })
}

// RecordStatus takes in a server's answer to GET /status.
func (b *Broker) RecordStatus(now time.Duration, status ServerStatus) {
	if s := b.serversByID[status.Server]; s != nil {
		s.recordStatus(status)
	}
}

// Tick expires leases and drains servers. It must be called about once a second.
func (b *Broker) Tick(now time.Duration) {
	if !b.isActive {
		return
	}
	b.endRecovery(now)
	b.expireLeases(now)
	isAnyDraining := false
	for _, s := range b.serverList {
		isAnyDraining = isAnyDraining || s.isDraining
	}
	for _, s := range b.serverList {
		s.updateDrain(now, isAnyDraining)
		isAnyDraining = isAnyDraining || s.isDraining
	}
}

// endRecovery ends the recovery when leases of the former broker can no longer be
// valid. Slots that no holder has reported become orphaned, because requests of
// expired leases may still run on them.
func (b *Broker) endRecovery(now time.Duration) {
	if !b.isRecovering || now < b.recoveryEnd {
		return
	}
	b.isRecovering = false
	for _, s := range b.serverList {
		s.orphanedSlots = 0
		s.addOrphaned(now, max(0, s.Slots-s.leasedSlots))
	}
}

// expireLeases closes the accounts of holders that didn't renew their lease, and
// marks their slots as orphaned.
func (b *Broker) expireLeases(now time.Duration) {
	retained := b.instanceIDs[:0]
	for _, id := range b.instanceIDs {
		h := b.accounts[id]
		if now < h.expiresAt {
			retained = append(retained, id)
			continue
		}
		for serverID, n := range h.slots {
			if s := b.serversByID[serverID]; s != nil {
				s.leasedSlots -= n
				s.addOrphaned(now, n)
			}
		}
		delete(b.accounts, id)
	}
	b.instanceIDs = retained
}

// Sync renews the lease of a holder, adjusted to the demand of all holders, and
// returns the response to its request.
func (b *Broker) Sync(now time.Duration, req SyncRequest) SyncResponse {
	resp := SyncResponse{Term: b.term, Seq: req.Seq, TTL: b.opts.LeaseTTL}
	if !b.isActive || req.Term > b.term {
		return resp
	}
	b.endRecovery(now)
	b.expireLeases(now)
	h := b.accounts[req.Instance]
	if h != nil && req.Seq <= h.lastSeq {
		return resp
	}
	if h == nil {
		h = b.openAccount(req)
	} else {
		b.applyReport(now, h, req)
	}
	h.lastSeq = req.Seq
	h.demand = min(max(req.Demand, 0), maxDemand)
	h.updateUrgency(req.MinSlack)
	h.expiresAt = now + b.opts.LeaseTTL + b.opts.LeaseGrace
	b.computeTargets()
	resp.Granted = b.grant(now, h)
	resp.OK = true
	return resp
}

// openAccount adds the account of an instance. During the recovery it accepts the
// slots that the instance holds from the former broker, as far as the servers have
// slots.
func (b *Broker) openAccount(req SyncRequest) *holderAccount {
	h := &holderAccount{isRemote: req.DataCentre != b.opts.DataCentre, slots: map[string]int{}}
	b.accounts[req.Instance] = h
	at, _ := slices.BinarySearch(b.instanceIDs, req.Instance)
	b.instanceIDs = slices.Insert(b.instanceIDs, at, req.Instance)
	if !b.isRecovering {
		return h
	}
	for _, held := range req.Held {
		s := b.serversByID[held.Server]
		if s == nil || held.Slots <= 0 {
			continue
		}
		n := min(held.Slots, max(0, s.Slots-s.leasedSlots))
		b.setSlots(h, s, h.slots[s.ID]+n)
	}
	return h
}

// applyReport lowers the account to the slots that the holder reports. The holder
// will use no earlier response any more, since its request has a higher number.
// Slots in use whose lease has expired at the holder become orphaned, from
// LeaseGrace after now, because a request that was sent just before the expiry may
// still be in flight to the server.
func (b *Broker) applyReport(now time.Duration, h *holderAccount, req SyncRequest) {
	reported := slotsByServer(req.Held)
	overdue := slotsByServer(req.Overdue)
	for serverID, n := range h.slots {
		s := b.serversByID[serverID]
		if s == nil || reported[serverID] >= n {
			continue
		}
		left := max(0, reported[serverID])
		b.setSlots(h, s, left)
		if running := min(n-left, overdue[serverID]); running > 0 {
			s.addOrphaned(now+b.opts.LeaseGrace, running)
		}
	}
}

func slotsByServer(list []ServerSlots) map[string]int {
	out := make(map[string]int, len(list))
	for _, s := range list {
		out[s.Server] = s.Slots
	}
	return out
}

// setSlots sets the number of slots that a holder may hold on a server.
func (b *Broker) setSlots(h *holderAccount, s *serverAccount, slots int) {
	before := h.slots[s.ID]
	s.leasedSlots += slots - before
	h.totalSlots += slots - before
	if slots == 0 {
		delete(h.slots, s.ID)
		return
	}
	h.slots[s.ID] = slots
}

// grant changes the lease of a holder towards its target and returns the slots of
// the new lease. Slots that the holder loses stay in its account until it no longer
// reports them.
func (b *Broker) grant(now time.Duration, h *holderAccount) []ServerSlots {
	next := map[string]int{}
	total := 0
	for serverID, n := range h.slots {
		s := b.serversByID[serverID]
		if s == nil || !s.isUsable() {
			continue
		}
		n -= min(n, max(0, s.leasedSlots+s.orphanedSlots-s.Slots))
		next[serverID] = n
		total += n
	}
	b.shrink(next, total-h.targetSlots)
	if !b.isRecovering {
		b.grow(now, h, next, h.targetSlots-total)
	}
	var out []ServerSlots
	for _, s := range b.serverList {
		if n := next[s.ID]; n > 0 {
			out = append(out, ServerSlots{Server: s.ID, Slots: n})
		}
	}
	return out
}

// shrink removes surplus slots from next, on the servers with the most slots there
// first.
func (b *Broker) shrink(next map[string]int, surplus int) {
	if surplus <= 0 {
		return
	}
	held := sortedSlots(next)
	for ; surplus > 0 && len(held) > 0; surplus-- {
		most := 0
		for i := range held {
			if held[i].Slots > held[most].Slots {
				most = i
			}
		}
		if held[most].Slots == 0 {
			return
		}
		held[most].Slots--
		next[held[most].Server]--
	}
}

// grow adds missing slots to next and to the account, on the servers with the most
// free slots first.
func (b *Broker) grow(now time.Duration, h *holderAccount, next map[string]int, missing int) {
	if h.isRemote {
		missing = min(missing, b.maxRemoteSlots-b.leasedRemoteSlots())
	}
	if missing <= 0 {
		return
	}
	free := make([]int, len(b.serverList))
	for i, s := range b.serverList {
		free[i] = s.freeSlots(now, b.opts.MaxStatusAge, b.isLimited)
	}
	for ; missing > 0; missing-- {
		best := -1
		most := 0
		for i, n := range free {
			if n > most {
				best = i
				most = n
			}
		}
		if best < 0 {
			return
		}
		s := b.serverList[best]
		free[best]--
		next[s.ID]++
		b.setSlots(h, s, h.slots[s.ID]+1)
	}
}

// leasedRemoteSlots counts the slots leased to holders in other data centres.
func (b *Broker) leasedRemoteSlots() int {
	n := 0
	for _, h := range b.accounts {
		if h.isRemote {
			n += h.totalSlots
		}
	}
	return n
}
