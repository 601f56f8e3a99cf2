package slots

import (
	"cmp"
	"slices"
	"time"
)

// Holder keeps the slots that one entry VM holds in one data centre.
type Holder struct {
	vm         string
	instance   string
	dataCentre string
	seq        uint64
	term       int64
	// sent is when the request with number seq was sent. Its answer counts only
	// while no later request is made.
	sent    time.Duration
	waiting bool
	expires time.Duration
	granted map[string]int
}

// NewHolder returns a Holder that holds nothing. dataCentre is that of the VM.
func NewHolder(vm, instance, dataCentre string) *Holder {
	return &Holder{vm: vm, instance: instance, dataCentre: dataCentre, term: -1, granted: map[string]int{}}
}

// Demand is what the entry VM has in use and wants.
type Demand struct {
	// InUse counts the requests that are sent and not finished, per server.
	InUse    map[string]int
	Slots    int
	MinSlack time.Duration
}

// NextRequest returns the next message SyncSlots. The answer to an earlier one is
// not used any more.
func (h *Holder) NextRequest(now time.Duration, d Demand) SyncRequest {
	h.seq++
	h.sent = now
	h.waiting = true
	req := SyncRequest{
		VM:         h.vm,
		Instance:   h.instance,
		DataCentre: h.dataCentre,
		Seq:        h.seq,
		Demand:     d.Slots,
		Term:       h.term,
		MinSlack:   d.MinSlack,
	}
	if now >= h.expires {
		req.Overdue = sorted(d.InUse)
		return req
	}
	held := make(map[string]int, len(h.granted))
	for server, n := range h.granted {
		held[server] = n
	}
	for server, n := range d.InUse {
		held[server] = max(held[server], n)
	}
	req.Held = sorted(held)
	return req
}

// HandleResponse uses the answer to the last request. It returns true if the holder can
// give slots back, so that the next request should be sent at once.
func (h *Holder) HandleResponse(now time.Duration, resp SyncResponse) bool {
	if !h.waiting || resp.Seq != h.seq || !resp.OK || resp.Term < h.term {
		return false
	}
	h.waiting = false
	h.term = resp.Term
	lost := false
	next := make(map[string]int, len(resp.Granted))
	for _, g := range resp.Granted {
		next[g.Server] = g.Slots
	}
	for server, n := range h.granted {
		lost = lost || next[server] < n
	}
	h.granted = next
	h.expires = h.sent + resp.TTL
	return lost
}

// ObserveTerm notes the term of an owner. Answers of earlier owners are refused.
func (h *Holder) ObserveTerm(term int64) { h.term = max(h.term, term) }

// Slots returns how many requests may be under way on a server at now. It is to
// be called at the moment of sending.
func (h *Holder) Slots(now time.Duration, server string) int {
	if now >= h.expires {
		return 0
	}
	return h.granted[server]
}

// Lease returns the slots under the lease and when it ends.
func (h *Holder) Lease() (slots []ServerSlots, until time.Duration) {
	return sorted(h.granted), h.expires
}

// ReleaseAll gives all slots back with the next request, on shutdown.
func (h *Holder) ReleaseAll() { h.granted = map[string]int{} }

func sorted(slots map[string]int) []ServerSlots {
	out := make([]ServerSlots, 0, len(slots))
	for server, n := range slots {
		if n > 0 {
			out = append(out, ServerSlots{Server: server, Slots: n})
		}
	}
	slices.SortFunc(out, func(a, b ServerSlots) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
