package slots

import (
	"cmp"
	"slices"
	"time"
)

// maxWanted bounds what a holder may ask for, against overflow.
const maxWanted = 1 << 20

// holder is the account of one instance of an entry VM.
type holder struct {
	seq    uint64
	remote bool
	// slots counts what the instance may hold per server.
	slots   map[string]int
	total   int
	expires time.Duration
	wanted  int
	urgency float64
	target  int
}

// Broker leases the slots of one data centre. The sum of what it counts per
// server never exceeds the server's slots.
type Broker struct {
	opt       Options
	active    bool
	term      int64
	limited   bool
	quiet     bool
	quietEnd  time.Duration
	servers   map[string]*server
	list      []*server
	holders   map[string]*holder
	order     []string
	remoteCap int
}

// New returns a Broker without authority.
func New(opt Options) *Broker {
	return &Broker{opt: opt.withDefaults(), servers: map[string]*server{}, holders: map[string]*holder{}}
}

// Start gives the broker authority with a term. Until quietUntil it grants only
// what holders report to hold. A limited broker also counts what a server has
// running beyond the broker's leases. If the broker is active, only the term
// and the limit change.
func (b *Broker) Start(now time.Duration, term int64, quietUntil time.Duration, limited bool) {
	b.term = term
	b.limited = limited
	if b.active {
		return
	}
	b.active = true
	b.quiet = true
	b.quietEnd = quietUntil
	b.holders = map[string]*holder{}
	b.order = nil
	for _, s := range b.list {
		s.leased = 0
		s.reserve = 0
		s.draining = false
	}
	b.Tick(now)
}

// SetLimited changes whether the broker is limited.
func (b *Broker) SetLimited(limited bool) { b.limited = limited }

// Stop ends the authority.
func (b *Broker) Stop() { b.active = false }

// SetServers gives all servers of the data centre with their states. A server
// that is missing is leaving; its account is kept while slots are out.
func (b *Broker) SetServers(now time.Duration, servers []Server) {
	listed := map[string]bool{}
	for _, s := range servers {
		listed[s.ID] = true
		if have := b.servers[s.ID]; have != nil {
			have.Server = s
			continue
		}
		// Nothing is known of a new server until its first status.
		b.servers[s.ID] = &server{Server: s, reserve: s.Slots, since: now}
	}
	b.list = b.list[:0]
	for id, s := range b.servers {
		if !listed[id] {
			s.State = ServerLeaving
			if s.leased == 0 && s.reserve == 0 {
				delete(b.servers, id)
				continue
			}
		}
		b.list = append(b.list, s)
	}
	slices.SortFunc(b.list, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
}

// RecordStatus uses the answer of a server to GET /status.
func (b *Broker) RecordStatus(now time.Duration, status ServerStatus) {
	if s := b.servers[status.Server]; s != nil {
		s.status(status)
	}
}

// Tick lets leases lapse and drains servers. It is due about once a second.
func (b *Broker) Tick(now time.Duration) {
	if !b.active {
		return
	}
	b.endQuiet(now)
	b.lapse(now)
	busy := false
	for _, s := range b.list {
		busy = busy || s.draining
	}
	for _, s := range b.list {
		s.drain(now, busy)
		busy = busy || s.draining
	}
}

// endQuiet ends the time in which leases of the former broker may last. What no
// holder has reported is lapsed, but its requests may still run.
func (b *Broker) endQuiet(now time.Duration) {
	if !b.quiet || now < b.quietEnd {
		return
	}
	b.quiet = false
	for _, s := range b.list {
		s.reserve = 0
		s.hold(now, max(0, s.Slots-s.leased))
	}
}

// lapse ends the leases of holders that didn't renew.
func (b *Broker) lapse(now time.Duration) {
	kept := b.order[:0]
	for _, id := range b.order {
		h := b.holders[id]
		if now < h.expires {
			kept = append(kept, id)
			continue
		}
		for name, n := range h.slots {
			if s := b.servers[name]; s != nil {
				s.leased -= n
				s.hold(now, n)
			}
		}
		delete(b.holders, id)
	}
	b.order = kept
}

// Sync answers a holder.
func (b *Broker) Sync(now time.Duration, req SyncRequest) SyncResponse {
	resp := SyncResponse{Term: b.term, Seq: req.Seq, TTL: b.opt.LeaseTTL}
	if !b.active || req.Term > b.term {
		return resp
	}
	b.endQuiet(now)
	b.lapse(now)
	h := b.holders[req.Instance]
	if h != nil && req.Seq <= h.seq {
		return resp
	}
	if h == nil {
		h = b.admit(req)
	} else {
		b.returned(now, h, req)
	}
	h.seq = req.Seq
	h.wanted = min(max(req.Demand, 0), maxWanted)
	h.hurry(req.MinSlack)
	h.expires = now + b.opt.LeaseTTL + b.opt.LeaseGrace
	b.shares()
	resp.Granted = b.grant(now, h)
	resp.OK = true
	return resp
}

// admit begins the account of an instance. What it holds from the former broker
// is accepted while such leases can last, as far as the server has slots.
func (b *Broker) admit(req SyncRequest) *holder {
	h := &holder{remote: req.DataCentre != b.opt.DataCentre, slots: map[string]int{}}
	b.holders[req.Instance] = h
	at, _ := slices.BinarySearch(b.order, req.Instance)
	b.order = slices.Insert(b.order, at, req.Instance)
	if !b.quiet {
		return h
	}
	for _, held := range req.Held {
		s := b.servers[held.Server]
		if s == nil || held.Slots <= 0 {
			continue
		}
		n := min(held.Slots, max(0, s.Slots-s.leased))
		b.change(h, s, h.slots[s.ID]+n)
	}
	return h
}

// returned lowers the account to what the holder reports. It has used every
// answer that it will ever use, since its request has a higher number. What runs
// although the lease has lapsed at the holder is reserved; a request that was
// sent just before may still be in flight to the server.
func (b *Broker) returned(now time.Duration, h *holder, req SyncRequest) {
	reported := count(req.Held)
	overdue := count(req.Overdue)
	for name, n := range h.slots {
		s := b.servers[name]
		if s == nil || reported[name] >= n {
			continue
		}
		left := max(0, reported[name])
		b.change(h, s, left)
		if running := min(n-left, overdue[name]); running > 0 {
			s.hold(now+b.opt.LeaseGrace, running)
		}
	}
}

func count(holdings []ServerSlots) map[string]int {
	out := make(map[string]int, len(holdings))
	for _, h := range holdings {
		out[h.Server] = h.Slots
	}
	return out
}

// change sets the account of a holder on a server.
func (b *Broker) change(h *holder, s *server, slots int) {
	old := h.slots[s.ID]
	s.leased += slots - old
	h.total += slots - old
	if slots == 0 {
		delete(h.slots, s.ID)
		return
	}
	h.slots[s.ID] = slots
}

// grant moves a holder towards its target and returns its new holding. Slots
// that it loses stay in its account until it reports them no more.
func (b *Broker) grant(now time.Duration, h *holder) []ServerSlots {
	next := map[string]int{}
	total := 0
	for name, n := range h.slots {
		s := b.servers[name]
		if s == nil || !s.usable() {
			continue
		}
		n -= min(n, max(0, s.leased+s.reserve-s.Slots))
		next[name] = n
		total += n
	}
	b.shrink(next, total-h.target)
	if !b.quiet {
		b.grow(now, h, next, h.target-total)
	}
	var out []ServerSlots
	for _, s := range b.list {
		if n := next[s.ID]; n > 0 {
			out = append(out, ServerSlots{Server: s.ID, Slots: n})
		}
	}
	return out
}

// shrink takes slots away, from the largest holdings first.
func (b *Broker) shrink(next map[string]int, surplus int) {
	if surplus <= 0 {
		return
	}
	held := sorted(next)
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

// grow adds free slots, from the servers with most of them first.
func (b *Broker) grow(now time.Duration, h *holder, next map[string]int, missing int) {
	if h.remote {
		missing = min(missing, b.remoteCap-b.remoteTotal())
	}
	if missing <= 0 {
		return
	}
	free := make([]int, len(b.list))
	for i, s := range b.list {
		free[i] = s.free(now, b.opt.MaxStatusAge, b.limited)
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
		s := b.list[best]
		free[best]--
		next[s.ID]++
		b.change(h, s, h.slots[s.ID]+1)
	}
}

// remoteTotal counts the slots of callers in other data centres.
func (b *Broker) remoteTotal() int {
	n := 0
	for _, h := range b.holders {
		if h.remote {
			n += h.total
		}
	}
	return n
}
