package requests

import (
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/slots"
)

const (
	// syncInterval is the interval of slot requests of an entry VM, as in the daemon.
	syncInterval = 200 * time.Millisecond
	// statusInterval is the interval at which a broker reads the status of its
	// servers.
	statusInterval = time.Second
	// staticLease outlasts every trace.
	staticLease = 1000 * time.Hour
	brokerTerm  = 1
)

// grantEqualShares grants each VM an equal share of the slots in its data centre
// with a lease that outlasts the trace. It runs once, before the replay.
func grantEqualShares(c *cluster, vms []*entryVM) {
	for si, s := range c.servers {
		var localVMs []*entryVM
		for _, v := range vms {
			if c.vms[v.index].centre == s.centre {
				localVMs = append(localVMs, v)
			}
		}
		counts := make([]int, len(localVMs))
		for k := range slotsPerServer {
			counts[(si*slotsPerServer+k)%len(localVMs)]++
		}
		for i, v := range localVMs {
			v.apply(dispatch.SlotsChanged{
				Server: s.name, DataCentre: s.centre, Count: counts[i], Expires: staticLease,
			})
		}
	}
}

// runBrokers sets up a slots.Broker in each data centre, and for each entry VM a
// slots.Holder per broker. It runs once, before the replay.
func runBrokers(c *cluster, vms []*entryVM) {
	for _, dc := range c.trace.Centres {
		b := newBroker(c, dc.Name)
		for _, v := range vms {
			h := &holder{
				v: v, b: b, centre: dc.Name, heldSlots: make(map[string]int),
				Holder: slots.NewHolder(c.vms[v.index].name, c.vms[v.index].name, c.vms[v.index].centre),
			}
			first := time.Duration(c.random.Int64N(int64(syncInterval)))
			c.every(first, syncInterval, &c.unanswered, h.sync)
		}
	}
}

// newBroker returns a started broker of a data centre that reads the status of its
// servers at statusInterval.
func newBroker(c *cluster, centre string) *slots.Broker {
	b := slots.New(slots.Options{DataCentre: centre})
	var servers []slots.Server
	for _, s := range c.servers {
		if s.centre == centre {
			servers = append(servers, slots.Server{ID: s.name, Slots: slotsPerServer})
		}
	}
	b.SetServers(c.now, servers)
	b.Start(c.now, brokerTerm, c.now, false)
	poll := func() {
		for _, s := range c.servers {
			if s.centre == centre {
				b.RecordStatus(c.now, slots.ServerStatus{Server: s.name, InUse: s.running, SentAt: c.now})
			}
		}
		b.Tick(c.now)
	}
	poll()
	c.every(statusInterval, statusInterval, &c.unanswered, poll)
	return b
}

// holder exchanges slots between one entry VM and one broker.
type holder struct {
	*slots.Holder
	v         *entryVM
	b         *slots.Broker
	centre    string
	heldSlots map[string]int
}

// sync sends the VM's slot demand to the broker and applies the response. It does
// nothing if the VM neither demands, holds nor uses slots there. It runs at
// syncInterval, and at once after a lost lease.
func (h *holder) sync() {
	c := h.v.c
	demanded := h.v.slotDemand[h.centre]
	demand := slots.Demand{InUse: make(map[string]int), Slots: demanded.Slots, MinSlack: demanded.MinSlack}
	for _, s := range c.servers {
		if n := h.v.inUse[s.name]; s.centre == h.centre && n > 0 {
			demand.InUse[s.name] = n
		}
	}
	if demanded.Slots == 0 && len(h.heldSlots) == 0 && len(demand.InUse) == 0 {
		return
	}
	request := h.NextRequest(c.now, demand)
	delay := remoteDelay
	if c.vms[h.v.index].centre == h.centre {
		delay = localDelay
	}
	c.after(delay, func() {
		answer := h.b.Sync(c.now, request)
		c.after(delay, func() { h.applyResponse(answer) })
	})
}

// applyResponse passes the slots granted by a response of the broker to the VM's
// dispatcher, and syncs again if the holder has lost its lease.
func (h *holder) applyResponse(answer slots.SyncResponse) {
	lost := h.HandleResponse(h.v.c.now, answer)
	granted, until := h.Lease()
	next := make(map[string]int, len(granted))
	for _, g := range granted {
		next[g.Server] = g.Slots
	}
	for _, s := range h.v.c.servers {
		if next[s.name] == 0 && h.heldSlots[s.name] == 0 {
			continue
		}
		h.v.apply(dispatch.SlotsChanged{
			Server: s.name, DataCentre: h.centre, Count: next[s.name], Expires: until,
		})
	}
	h.heldSlots = next
	if lost {
		h.sync()
	}
}
