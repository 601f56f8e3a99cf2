package daemon

import (
	"context"
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/structs"
)

const (
	// vmPollInterval is the period of reads of the platform's VM list.
	vmPollInterval = time.Second
	// reportedLeavingTTL is how long a server's own report that it is leaving
	// overrides the VM list, which lags behind.
	reportedLeavingTTL = time.Minute
	// vmListTimeout bounds one read of the VM list.
	vmListTimeout = 2 * time.Second
)

// vmsListed is the event of a successful read of the VM list.
type vmsListed struct {
	vms []structs.VM
	at  time.Time
}

// pollVMs reads the VM list until ctx ends. The last list stays in use while
// reads fail. It runs on its own goroutine, which startLoops starts with the
// daemon.
func (d *Daemon) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := d.listVMs(ctx)
		if err != nil {
			d.logger.Debug("the VM list is unreachable", "error", err)
		} else {
			d.post(ctx, vmsListed{vms: vms, at: time.Now()})
		}
		sleep(ctx, vmPollInterval)
	}
}

// listVMs reads the VM list once, within vmListTimeout. pollVMs calls it about
// every vmPollInterval.
func (d *Daemon) listVMs(ctx context.Context) ([]structs.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	return d.vmList.List(ctx)
}

// apply replaces the VM list and updates the peers, backend servers and workers
// from it. It runs on the control loop after each successful read of the VM
// list.
func (ev vmsListed) apply(c *control) {
	c.vms = ev.vms
	c.vmsReadAt = ev.at
	c.entryVMs = c.entryVMs[:0]
	servers := map[string]structs.VM{}
	var workers []structs.VM
	for _, vm := range ev.vms {
		switch vm.Kind {
		case structs.VMEntry:
			if vm.ID != c.d.settings.VM {
				c.entryVMs = append(c.entryVMs, vm)
			}
		case structs.VMServer:
			servers[vm.ID] = vm
		case structs.VMWorker:
			if vm.DataCentre == c.d.settings.DataCentre {
				workers = append(workers, vm)
			}
		}
	}
	c.updateServers(servers)
	c.updateWorkers(workers)
	c.removeUnlistedPeers()
}

// removeUnlistedPeers deletes the heartbeat times of peers that are no longer
// listed. vmsListed.apply calls it.
func (c *control) removeUnlistedPeers() {
	listed := map[string]bool{}
	for _, vm := range c.entryVMs {
		listed[vm.Addr] = true
	}
	for addr := range c.heartbeatSentAt {
		if !listed[addr] {
			delete(c.heartbeatSentAt, addr)
		}
	}
	for addr := range c.peerLastSeen {
		if !listed[addr] {
			delete(c.peerLastSeen, addr)
		}
	}
}

// updateServers reports backend servers whose state changed to the dispatcher.
// vmsListed.apply calls it with the listed servers of all data centres.
func (c *control) updateServers(servers map[string]structs.VM) {
	for id, vm := range servers {
		old, known := c.serverVMs[id]
		if !known || old.State != vm.State {
			c.applyDispatchEvent(dispatch.ServerChanged{Server: id, DataCentre: vm.DataCentre, Health: dispatchHealth(vm.State), Slots: vm.Slots})
		}
		c.clearExpiredLeaving(id, vm)
		c.serverAddrs[id] = vm.Addr
	}
	for id, vm := range c.serverVMs {
		if _, listed := servers[id]; !listed {
			c.applyDispatchEvent(dispatch.ServerChanged{Server: id, DataCentre: vm.DataCentre, Health: dispatch.HealthRemoved})
			delete(c.probes, id)
			delete(c.reportedLeavingAt, id)
		}
	}
	c.serverVMs = servers
	c.setBrokerServers()
}

// dispatchHealth converts the listed state of a server to the health that the
// dispatcher uses. updateServers calls it.
func dispatchHealth(state structs.VMState) dispatch.Health {
	if state == structs.VMLeaving {
		return dispatch.HealthLeaving
	}
	return dispatch.HealthLive
}

// markServerLeaving records that a server reported in a response that it is
// leaving. attemptEnded.apply calls it.
func (c *control) markServerLeaving(id string) {
	vm, ok := c.serverVMs[id]
	if !ok {
		return
	}
	c.reportedLeavingAt[id] = c.now()
	c.applyDispatchEvent(dispatch.ServerChanged{Server: id, DataCentre: vm.DataCentre, Health: dispatch.HealthLeaving, Slots: vm.Slots})
}

// clearExpiredLeaving makes a server eligible for work again if the VM list
// still shows it as live reportedLeavingTTL after the server reported, in a
// response to a request, that it is leaving (markServerLeaving). The broker grants its slots
// only if its probes do not report that it is leaving. updateServers calls it
// for each listed server after each read of the VM list.
func (c *control) clearExpiredLeaving(id string, vm structs.VM) {
	reportedAt, ok := c.reportedLeavingAt[id]
	if !ok || vm.State != structs.VMLive || c.now()-reportedAt < reportedLeavingTTL {
		return
	}
	delete(c.reportedLeavingAt, id)
	c.applyDispatchEvent(dispatch.ServerChanged{Server: id, DataCentre: vm.DataCentre, Health: dispatch.HealthLive, Slots: vm.Slots})
}

// updateWorkers passes the listed workers of this data centre to the ownership
// machine and changes of their state to the scheduler. vmsListed.apply calls
// it, on every VM of the data centre, whether it is the owner or not.
func (c *control) updateWorkers(listed []structs.VM) {
	roster := make([]string, 0, len(listed))
	present := map[string]bool{}
	for _, vm := range listed {
		roster = append(roster, vm.ID)
		present[vm.ID] = true
		w := c.workers[vm.ID]
		if w == nil {
			c.workers[vm.ID] = &workerState{vm: vm, firstListedAt: c.now()}
			continue
		}
		changed := w.vm.State != vm.State || w.vm.Capacity != vm.Capacity
		w.vm = vm
		if changed {
			c.handleWorkerChange(w)
		}
	}
	for id, w := range c.workers {
		w.isUnlisted = !present[id]
	}
	c.applyOwnershipEvent(ownership.RosterChanged{Workers: roster})
}
