package requests

import (
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/slots"
)

const (
	// syncInterval is how often an entry VM asks for slots, as in the daemon.
	syncInterval = 200 * time.Millisecond
	// statusInterval is how often a broker asks its servers.
	statusInterval = time.Second
	// staticLease outlasts every trace.
	staticLease = 1000 * time.Hour
	brokerTerm  = 1
)

// shareEqually gives each VM the same share of the servers of its data centre,
// for good.
func shareEqually(c *cluster, vms []*entryVM) {
	for si, s := range c.servers {
		var home []*entryVM
		for _, v := range vms {
			if c.vms[v.index].centre == s.centre {
				home = append(home, v)
			}
		}
		held := make([]int, len(home))
		for k := range slotsPerServer {
			held[(si*slotsPerServer+k)%len(home)]++
		}
		for i, v := range home {
			v.apply(dispatch.SlotsChanged{
				Server: s.name, DataCentre: s.centre, Count: held[i], Expires: staticLease,
			})
		}
	}
}

// moveByDemand runs the product's broker in each data centre, and its holder for
// each entry VM.
func moveByDemand(c *cluster, vms []*entryVM) {
	for _, dc := range c.trace.Centres {
		b := newBroker(c, dc.Name)
		for _, v := range vms {
			h := &holder{
				v: v, b: b, centre: dc.Name, held: make(map[string]int),
				Holder: slots.NewHolder(c.vms[v.index].name, c.vms[v.index].name, c.vms[v.index].centre),
			}
			first := time.Duration(c.random.Int64N(int64(syncInterval)))
			c.every(first, syncInterval, &c.open, h.sync)
		}
	}
}

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
	ask := func() {
		for _, s := range c.servers {
			if s.centre == centre {
				b.RecordStatus(c.now, slots.ServerStatus{Server: s.name, InUse: s.running, SentAt: c.now})
			}
		}
		b.Tick(c.now)
	}
	ask()
	c.every(statusInterval, statusInterval, &c.open, ask)
	return b
}

// holder exchanges slots between one entry VM and one broker.
type holder struct {
	*slots.Holder
	v      *entryVM
	b      *slots.Broker
	centre string
	held   map[string]int
}

// sync sends a request to the broker and uses its answer, as far as the VM wants
// or has slots there.
func (h *holder) sync() {
	c := h.v.c
	want := h.v.wants[h.centre]
	demand := slots.Demand{InUse: make(map[string]int), Slots: want.Slots, MinSlack: want.MinSlack}
	for _, s := range c.servers {
		if n := h.v.inUse[s.name]; s.centre == h.centre && n > 0 {
			demand.InUse[s.name] = n
		}
	}
	if want.Slots == 0 && len(h.held) == 0 && len(demand.InUse) == 0 {
		return
	}
	request := h.NextRequest(c.now, demand)
	delay := delayAway
	if c.vms[h.v.index].centre == h.centre {
		delay = delayHome
	}
	c.after(delay, func() {
		answer := h.b.Sync(c.now, request)
		c.after(delay, func() { h.use(answer) })
	})
}

func (h *holder) use(answer slots.SyncResponse) {
	lost := h.HandleResponse(h.v.c.now, answer)
	granted, until := h.Lease()
	next := make(map[string]int, len(granted))
	for _, g := range granted {
		next[g.Server] = g.Slots
	}
	for _, s := range h.v.c.servers {
		if next[s.name] == 0 && h.held[s.name] == 0 {
			continue
		}
		h.v.apply(dispatch.SlotsChanged{
			Server: s.name, DataCentre: h.centre, Count: next[s.name], Expires: until,
		})
	}
	h.held = next
	if lost {
		h.sync()
	}
}
