package slots

import (
	"cmp"
	"slices"
	"time"
)

// Holder is the lease of one entry VM on slots of one data centre. It is not safe
// for concurrent use.
type Holder struct {
	vm         string
	instance   string
	dataCentre string
	seq        uint64
	term       int64
	// sentAt is when request number seq was sent. Its response is used only until
	// the next request is made.
	sentAt       time.Duration
	isWaiting    bool
	expiresAt    time.Duration
	grantedSlots map[string]int
}

// NewHolder returns a Holder that holds nothing. dataCentre is that of the VM.
func NewHolder(vm, instance, dataCentre string) *Holder {
	return &Holder{vm: vm, instance: instance, dataCentre: dataCentre, term: -1, grantedSlots: map[string]int{}}
}

// Demand is the slot demand of an entry VM and its use of slots.
type Demand struct {
	// InUse counts the requests that are sent and not finished, per server.
	InUse map[string]int
	// Slots is the number of slots that the VM could use in total.
	Slots int
	// MinSlack is the time left until the most urgent queued request must start
	// to meet its targets.
	MinSlack time.Duration
}

// NextRequest returns the next SyncSlots message. Responses to earlier ones are not
// used any more.
func (h *Holder) NextRequest(now time.Duration, d Demand) SyncRequest {
	h.seq++
	h.sentAt = now
	h.isWaiting = true
	req := SyncRequest{
		VM:         h.vm,
		Instance:   h.instance,
		DataCentre: h.dataCentre,
		Seq:        h.seq,
		Demand:     d.Slots,
		Term:       h.term,
		MinSlack:   d.MinSlack,
	}
	if now >= h.expiresAt {
		req.Overdue = sortedSlots(d.InUse)
		return req
	}
	held := make(map[string]int, len(h.grantedSlots))
	for server, n := range h.grantedSlots {
		held[server] = n
	}
	for server, n := range d.InUse {
		held[server] = max(held[server], n)
	}
	req.Held = sortedSlots(held)
	return req
}

// HandleResponse takes the slots of the response to the last request; any other
// response is ignored. It returns true if the new lease has fewer slots on a server:
// the next request gives them back and should be sent at once.
func (h *Holder) HandleResponse(now time.Duration, resp SyncResponse) bool {
	if !h.isWaiting || resp.Seq != h.seq || !resp.OK || resp.Term < h.term {
		return false
	}
	h.isWaiting = false
	h.term = resp.Term
	hasLostSlots := false
	next := make(map[string]int, len(resp.Granted))
	for _, g := range resp.Granted {
		next[g.Server] = g.Slots
	}
	for server, n := range h.grantedSlots {
		hasLostSlots = hasLostSlots || next[server] < n
	}
	h.grantedSlots = next
	h.expiresAt = h.sentAt + resp.TTL
	return hasLostSlots
}

// ObserveTerm records the term of an owner. Responses of earlier owners are ignored
// from then on.
func (h *Holder) ObserveTerm(term int64) { h.term = max(h.term, term) }

// Slots returns how many requests may be in flight on a server at now. It must be
// called at the time of sending, since the lease may expire.
func (h *Holder) Slots(now time.Duration, server string) int {
	if now >= h.expiresAt {
		return 0
	}
	return h.grantedSlots[server]
}

// Lease returns the slots of the last lease, which may have expired, and its end.
func (h *Holder) Lease() (slots []ServerSlots, until time.Duration) {
	return sortedSlots(h.grantedSlots), h.expiresAt
}

// ReleaseAll gives all slots back with the next request. It is for the shutdown.
func (h *Holder) ReleaseAll() { h.grantedSlots = map[string]int{} }

// sortedSlots returns the servers with at least one slot, in the order of their IDs.
func sortedSlots(slots map[string]int) []ServerSlots {
	out := make([]ServerSlots, 0, len(slots))
	for server, n := range slots {
		if n > 0 {
			out = append(out, ServerSlots{Server: server, Slots: n})
		}
	}
	slices.SortFunc(out, func(a, b ServerSlots) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
