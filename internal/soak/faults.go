package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

const (
	// slowStoreDelay is what a call of a slow store takes longer.
	slowStoreDelay = 250 * time.Millisecond
	// linkDelay is the delay of each direction of a slow link. Starts are repeated after
	// 0.12 s, so that they overlap.
	linkDelay = 100 * time.Millisecond
	// narrowLink is the rate of a connection over a narrow link, in bytes a second.
	narrowLink = 2e6 / 8
	// storeLossShare is the share of the appends that lose their answers.
	storeLossShare = 0.3
	// orderFaultShare is the share of the orders that a worker does not answer.
	orderFaultShare = 0.1
	// workerShare is the share of the workers that a fault of several workers affects.
	workerShare = 0.25
	// seriesLength is the number of configurations of a series.
	seriesLength = 10
	// lateBeforeRemoval is how long orders are carried out late before their sender is removed.
	lateBeforeRemoval = time.Second
	// lateShareBeforeRemoval is the share of them.
	lateShareBeforeRemoval = 0.5
)

// storeFaults counts the faults of the store that are in force: several may overlap.
// The mutex of the cluster guards it.
type storeFaults struct {
	refuses, silent, slow, loses, late int
	turnedAway                         map[string]int
}

// storeFault returns the fault of a call of the store.
func (c *cluster) storeFault(vm string, call storeserver.Call, _ string) storeserver.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &c.faults
	fault := storeserver.Fault{Silent: f.silent > 0, Refuse: f.refuses > 0 || f.turnedAway[vm] > 0}
	if f.slow > 0 {
		fault.Delay = slowStoreDelay
	}
	if call != storeserver.CallAppend {
		return fault
	}
	switch {
	case f.late > 0 && rand.Float64() < storeLossShare:
		fault.ExecuteAfter = time.Second + time.Duration(rand.Int64N(int64(3*time.Second)))
	case f.loses > 0 && rand.Float64() < storeLossShare:
		fault.LoseAnswer = true
	}
	return fault
}

// inject carries out one fault and returns when it has ended.
func (c *cluster) inject(f Fault) {
	v := c.vms[f.Target%len(c.vms)]
	switch f.Kind {
	case KillVM:
		v.kill(f.For, true)
	case KillOwner:
		c.ownerVM(v).kill(f.For, true)
	case KillAll:
		c.forEachVM(func(v *vm) { v.kill(f.For, true) })
	case RestartTogether:
		c.restartTogether()
	case RemoveOwner:
		c.removeOwner(v, f.For)
	case PauseVM:
		v.pause(f.For)
	case PauseOwner:
		c.ownerVM(v).pause(f.For)
	case StopVM:
		v.stop()
	case StopOwner:
		c.ownerVM(v).stop()
	case StopAll:
		c.stopAll(f.For / time.Duration(len(c.vms)))
	case ReloadVM:
		v.signal(syscall.SIGHUP, false)
	case CutStore:
		c.breakLink(f.For, v, v.storeProxy, LinkState{DropRequests: true, DropAnswers: true})
	case CutStoreAnswers:
		c.breakLink(f.For, v, v.storeProxy, LinkState{DropAnswers: true})
	case DelayStore:
		c.breakLink(f.For, v, v.storeProxy, LinkState{Delay: linkDelay})
	case ResetStore:
		v.beginDisruption()()
		v.storeProxy.Reset()
	case ResetCallers:
		v.beginDisruption()()
		v.callerProxy.Reset()
	case Publish:
		c.publishOrReport()
	case GrowConfig:
		c.addRoutes(f.Target)
		c.publishOrReport()
	case NarrowStoreLinks:
		c.forEachVM(func(v *vm) { v.storeProxy.SetState(LinkState{BytesPerSecond: narrowLink}) })
	case PublishSeries:
		for range seriesLength {
			c.publishOrReport()
			time.Sleep(f.For / seriesLength)
		}
	default:
		c.injectOutside(f)
	}
}

// injectOutside carries out a fault of the store or of workers.
func (c *cluster) injectOutside(f Fault) {
	v := c.vms[f.Target%len(c.vms)]
	w := c.workers[f.Target%len(c.workers)]
	switch f.Kind {
	case StoreRefuses:
		c.disturbStore(f.For, &c.faults.refuses)
	case StoreSilent:
		c.disturbStore(f.For, &c.faults.silent)
	case StoreSlow:
		c.disturbStore(f.For, &c.faults.slow)
	case StoreLosesAnswers:
		c.disturbStore(f.For, &c.faults.loses)
	case StoreLate:
		c.disturbStore(f.For, &c.faults.late)
	case StoreForgets:
		c.store.Forget()
	case StoreTurnsAway:
		c.turnAway(v, f.For)
	case StoreTurnsOwnerAway:
		c.turnAway(c.ownerVM(v), f.For)
	case RestartWorker:
		c.restartWorker(w)
	case RestartWorkers:
		c.forEachOfAQuarter(f.Target, c.restartWorker)
	case CutWorkers:
		c.cutWorkers(f, LinkState{DropRequests: true, DropAnswers: true})
	case CutWorkerAnswers:
		c.cutWorkers(f, LinkState{DropAnswers: true})
	case DelayWorkers:
		c.cutWorkers(f, LinkState{Delay: linkDelay})
	case LateOrders:
		c.disturbOrders(f.For, lateOrders(orderFaultShare))
	case LostAnswers:
		c.disturbOrders(f.For, fleet.OrderFault{LoseShare: orderFaultShare})
	case RestartBehindCut:
		c.restartBehindCut(f)
	case ExpireEntries:
		c.disturbEntries(f, entryRemoved)
	case OddEntries:
		c.disturbEntries(f, oddEntries[f.Target%len(oddEntries)])
	case FailingWorkers:
		c.forEachOfAQuarter(f.Target, func(w *workerSlot) { w.SetFailsAll(true) })
		time.Sleep(f.For)
		c.forEachOfAQuarter(f.Target, func(w *workerSlot) { w.SetFailsAll(false) })
	case ForeignEntries:
		c.writeForeignEntries(f)
	}
}

// foreignEntryInterval is the time between two series of odd entries. A worker writes its own entry
// every workerHeartbeat.
const foreignEntryInterval = 300 * time.Millisecond

// foreignEntries are entries of another writer. The address, where there is one, refuses connections.
var foreignEntries = []string{
	`{"Service":"unnamed","Address":"127.0.0.1:9","Zone":"dc-0","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,"Capacity":{"Cpu":16000,"MemMb":32000,"Gpu":0},"Labels":["kind","rack"],"Sequence":1,"born":1}`,
	`{"Service":"soak","Zone":"dc-0","State":"ready","Capacity":{"Cpu":16000,"MemMb":32000}}`,
	`{"Service":"soak","Address":"127.0.0.1:99999","Zone":"dc-0","Version":"v1","Slots":8,"State":"ready","Capacity":{"Cpu":16000,"MemMb":32000}}`,
	`{"Service":"soak","Address":"127.0.0.1:9","Zone":"dc-0","Version":"v1","Slots":"8","State":"ready","Capacity":{"Cpu":16000,"MemMb":32000}}`,
	`{"Service":"soak","Address":"127.0.0.1:9","Zone":"dc-0","Version":"v1","Slots":8,"State":"asleep","Capacity":{"Cpu":16000,"MemMb":32000}}`,
	`{"Service":"soak","Address":"127.0.0.1:9","Zone":"dc-0","Version":"v1","Slots":8,"State":"ready","Capacity":{"Cpu":16000,"MemMb":32000},"born":9223372036854775807}`,
	`{"Service":"soak","Address":"127.0.0.1:9","Zone":"dc-0","Version":"v1","Slots":8,"State":"ready","Capacity":{"Cpu":1e300,"MemMb":32000}}`,
	`{"Service":"soak","Address":"127.0.0.1:9","Zone":"dc-0","State":"ready","Capacity":{"Cpu":16000,"MemMb":32000},"Extra":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	strings.Repeat(`{"Address":`, 20_000), "null", "\x00\xff",
}

// writeForeignEntries writes the odd entries in turn, under the ids of a quarter of the workers and
// under ids that no worker has, until the fault ends.
func (c *cluster) writeForeignEntries(f Fault) {
	write := func(id string, i int) {
		if err := c.store.WriteEntry(id, []byte(foreignEntries[i%len(foreignEntries)])); err != nil {
			c.report("FAULT", "odd entry of %q: %v", id, err)
		}
	}
	end := time.Now().Add(f.For)
	for i := f.Target; time.Now().Before(end); i++ {
		c.forEachOfAQuarter(f.Target, func(w *workerSlot) { write(w.ID, i) })
		for n, id := range []string{"", "odd", "odd\r\nX: y", "\xff"} {
			write(id, i+n)
		}
		time.Sleep(foreignEntryInterval)
	}
}

func (c *cluster) publishOrReport() {
	if err := c.publish(); err != nil {
		c.report("FAULT", "%v", err)
	}
}

// forEachVM calls f for all VMs at once and waits until all calls have returned.
func (c *cluster) forEachVM(f func(*vm)) {
	var wg sync.WaitGroup
	for _, v := range c.vms {
		wg.Go(func() { f(v) })
	}
	wg.Wait()
}

// stopAll stops the VMs one after the other, as a rolling restart does.
func (c *cluster) stopAll(gap time.Duration) {
	for _, v := range c.vms {
		v.stop()
		time.Sleep(gap)
	}
}

// restartTogether kills all VMs and starts them again once all have ended.
func (c *cluster) restartTogether() {
	c.forEachVM(func(v *vm) { v.kill(0, false) })
	c.forEachVM(func(v *vm) { _ = v.start() })
}

// removeOwner makes workers carry out orders late, and removes the VM that owns the cell, which
// has sent them. If a third of the VMs is removed already, it is killed for a time instead.
func (c *cluster) removeOwner(fallback *vm, downFor time.Duration) {
	c.disturbOrders(lateBeforeRemoval, lateOrders(lateShareBeforeRemoval))
	owner := c.ownerVM(fallback)
	c.mu.Lock()
	mayRemove := 3*(c.removedVMs+1) <= len(c.vms)
	if mayRemove {
		c.removedVMs++
	}
	c.mu.Unlock()
	if mayRemove {
		owner.remove()
		return
	}
	owner.kill(downFor, true)
}

// lateOrders returns the fault of workers that carry out a share of the orders late.
func lateOrders(share float64) fleet.OrderFault {
	return fleet.OrderFault{LateShare: share, LateBy: 2*time.Second + time.Duration(rand.Int64N(int64(3*time.Second)))}
}

// breakLink changes the link of a VM for a time.
func (c *cluster) breakLink(d time.Duration, v *vm, p *Proxy, state LinkState) {
	end := v.beginDisruption()
	defer end()
	p.SetState(state)
	time.Sleep(d)
	p.SetState(LinkState{})
	p.Reset()
}

// disturbStore has a fault of the store in force for a time; all VMs count as disrupted.
func (c *cluster) disturbStore(d time.Duration, count *int) {
	c.forEachVM(func(v *vm) {
		end := v.beginDisruption()
		time.AfterFunc(d, end)
	})
	c.addFault(count, 1)
	time.Sleep(d)
	c.addFault(count, -1)
}

func (c *cluster) addFault(count *int, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*count += n
}

// turnAway makes the store refuse the calls of one VM for a time.
func (c *cluster) turnAway(v *vm, d time.Duration) {
	end := v.beginDisruption()
	defer end()
	change := func(n int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.faults.turnedAway[v.name] += n
	}
	change(1)
	time.Sleep(d)
	change(-1)
}

// forEachOfAQuarter calls f for a quarter of the workers, from the given one on.
func (c *cluster) forEachOfAQuarter(first int, f func(*workerSlot)) {
	for i := range max(1, int(workerShare*float64(len(c.workers)))) {
		f(c.workers[(first+i)%len(c.workers)])
	}
}

// restartWorker restarts a worker, which resets its connections.
func (c *cluster) restartWorker(w *workerSlot) {
	w.Restart()
	w.proxy.Reset()
	c.writeWorker(w)
}

// restartBehindCut restarts a quarter of the workers while they are cut off.
func (c *cluster) restartBehindCut(f Fault) {
	c.forEachOfAQuarter(f.Target, func(w *workerSlot) {
		w.proxy.SetState(LinkState{DropRequests: true, DropAnswers: true})
		if f.Target%2 == 1 {
			c.setEntry(w, entryUnchanged)
		}
		w.Restart()
		c.writeWorker(w)
	})
	time.Sleep(f.For)
	c.forEachOfAQuarter(f.Target, func(w *workerSlot) {
		w.proxy.SetState(LinkState{})
		w.proxy.Reset()
		c.setEntry(w, entryValid)
		c.writeWorker(w)
	})
}

// disturbEntries replaces the entries of a quarter of the workers for a time.
func (c *cluster) disturbEntries(f Fault, entry entryKind) {
	c.forEachOfAQuarter(f.Target, func(w *workerSlot) {
		c.setEntry(w, entry)
		c.writeWorker(w)
	})
	time.Sleep(f.For)
	c.forEachOfAQuarter(f.Target, func(w *workerSlot) {
		c.setEntry(w, entryValid)
		c.writeWorker(w)
	})
}

// cutWorkers changes the links of a quarter of the workers for a time.
func (c *cluster) cutWorkers(f Fault, state LinkState) {
	c.forEachOfAQuarter(f.Target, func(w *workerSlot) { w.proxy.SetState(state) })
	time.Sleep(f.For)
	c.forEachOfAQuarter(f.Target, func(w *workerSlot) {
		w.proxy.SetState(LinkState{})
		w.proxy.Reset()
	})
}

// disturbOrders has a fault of the orders to all workers in force for a time.
func (c *cluster) disturbOrders(d time.Duration, fault fleet.OrderFault) {
	for _, w := range c.workers {
		w.SetOrderFault(fault)
	}
	time.Sleep(d)
	for _, w := range c.workers {
		w.SetOrderFault(fleet.OrderFault{})
	}
}
