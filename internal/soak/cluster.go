package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

const (
	host    = "soak.example"
	service = "soak"

	callerPort    = 8161
	readinessPort = 8167
	peerPort      = 7720
	workerPort    = 8300
	storePort     = 8400
	advicePort    = 8500

	workerMilliCPU = 16000
	workerMemoryMB = 32000
	// workerHeartbeat is how often a worker writes its entry.
	workerHeartbeat = 1500 * time.Millisecond
	// firstBlock and blocks are the second bytes of the loopback addresses of a run.
	firstBlock = 20
	blocks     = 220
)

// cluster is the VMs with the stand-ins around them.
type cluster struct {
	dir       string
	block     int
	startedAt time.Time
	store     *storeserver.Server
	fleet     *fleet.Fleet
	vms       []*vm
	workers   []*workerSlot
	closers   []func()
	stop      chan struct{}
	// customers is nil in a run without customers.
	customers *customerBook
	// checksApplyBound is Options.ChecksApplyBound.
	checksApplyBound bool
	// publishing is held while a configuration is published, so that versions are written in
	// their order.
	publishing sync.Mutex

	mu         sync.Mutex
	violations []string
	// holders has the VM and the instance of its process that have used each term.
	holders map[int64]string
	owner   string
	owners  int
	version int64
	// unusedRoutes is the number of routes that no caller uses.
	unusedRoutes int
	sequence     int64
	faults       storeFaults
	// removedVMs counts the VMs that are gone for good.
	removedVMs int
	// faultSpans are the times of the faults that were injected.
	faultSpans []span
}

// workerSlot is a worker with its proxy.
type workerSlot struct {
	*fleet.Worker
	proxy *Proxy
	addr  string
	// entry is what the worker writes about itself. The mutex of the cluster guards it.
	entry entryKind
}

// newCluster starts stand-ins and VMs. Logs and settings are in dir.
func newCluster(s Schedule, daemon, dir string) (*cluster, error) {
	c := &cluster{
		dir: dir, startedAt: time.Now(), fleet: fleet.New(s.Seed), stop: make(chan struct{}),
		holders: map[int64]string{}, faults: storeFaults{turnedAway: map[string]int{}},
	}
	if s.Customers > 0 {
		c.customers = newCustomerBook(s.Seed, s.Customers)
	}
	c.store = storeserver.New(&cellstore.Store{}, c.recordAppend)
	c.store.SetFault(c.storeFault)
	if err := c.reserveBlock(); err != nil {
		return nil, err
	}
	go c.fleet.Run(c.stop)
	for i := range s.Workers {
		if err := c.addWorker(i); err != nil {
			c.close()
			return nil, err
		}
	}
	go c.writeWorkers()
	if err := c.publish(); err != nil {
		c.close()
		return nil, err
	}
	for i := range s.VMs {
		if err := c.addVM(i, daemon); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// reserveBlock chooses loopback addresses that no other run uses. Its mark is the
// listener of the advice service.
func (c *cluster) reserveBlock() error {
	var lastErr error
	for i := range blocks {
		c.block = firstBlock + (os.Getpid()+i)%blocks
		if lastErr = c.serve(c.addr(6, 1, advicePort), c.fleet.AdviceHandler()); lastErr == nil {
			return nil
		}
	}
	return eris.Wrap(lastErr, "find free loopback addresses")
}

// ip returns a loopback address of the run: the kind of the listener and its number.
func (c *cluster) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.block, kind+8*(number/250), number%250+1)
}

func (c *cluster) addr(kind, number, port int) string {
	return net.JoinHostPort(c.ip(kind, number), fmt.Sprint(port))
}

// serve serves a handler until the cluster is closed.
func (c *cluster) serve(addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	c.closers = append(c.closers, func() { _ = server.Close() })
	return nil
}

// proxy starts a proxy until the cluster is closed.
func (c *cluster) proxy(addr, target string, onCut func(passedAt time.Time)) (*Proxy, error) {
	p, err := NewProxy(addr, target, onCut)
	if err != nil {
		return nil, eris.Wrap(err, "start proxy")
	}
	c.closers = append(c.closers, p.Close)
	return p, nil
}

// addWorker starts a worker behind a proxy.
func (c *cluster) addWorker(i int) error {
	w := c.fleet.AddWorker(fmt.Sprintf("w-%03d", i), workerMilliCPU, workerMemoryMB)
	if err := c.serve(c.addr(2, i, workerPort), w.Handler()); err != nil {
		return eris.Wrap(err, "listen for worker")
	}
	addr := c.addr(3, i, workerPort)
	p, err := c.proxy(addr, c.addr(2, i, workerPort), nil)
	if err != nil {
		return err
	}
	c.workers = append(c.workers, &workerSlot{Worker: w, proxy: p, addr: addr})
	return nil
}

// addVM starts a VM whose edges to the store and to the callers have a proxy.
func (c *cluster) addVM(i int, daemon string) error {
	name := fmt.Sprintf("vm-%d", i)
	if err := c.serve(c.addr(4, i, storePort), c.store.Handler(name)); err != nil {
		return eris.Wrap(err, "listen for calls of the store")
	}
	storeProxy, err := c.proxy(c.addr(5, i, storePort), c.addr(4, i, storePort), nil)
	if err != nil {
		return err
	}
	v := &vm{name: name, isSmall: i >= 3 && i%3 == 0, ip: c.ip(1, i), settingsPath: filepath.Join(c.dir, name+".json"), daemon: daemon, storeProxy: storeProxy, report: c.report}
	v.callerProxy, err = c.proxy(c.addr(7, i, callerPort), c.addr(1, i, callerPort), v.requestCut)
	if err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(c.dir, name+".log")); err != nil {
		return eris.Wrap(err, "create log")
	}
	c.vms = append(c.vms, v)
	// Every third VM from the fourth on is too small to be a follower.
	share := 0.8
	if v.isSmall {
		share = 0.2
	}
	settings := storeserver.VMSettings{
		Name: name, Zone: fmt.Sprintf("dc-%d", i%3), IP: v.ip, CallerPort: callerPort, ReadinessPort: readinessPort, PeerPort: peerPort,
		StoreAddr: c.addr(5, i, storePort), AdviceAddr: c.addr(6, 1, advicePort), CPUShare: share,
		MaxLease: fleet.MaxLease, Grace: grace, GangTimeout: fleet.GangTimeout, StopTimeout: fleet.StopTimeout,
		QuotaOvershoot: quotaOvershoot,
	}
	if err := settings.WriteFile(v.settingsPath); err != nil {
		return eris.Wrap(err, "write settings")
	}
	return v.start()
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	close(c.stop)
	for _, v := range c.vms {
		v.close()
	}
	for _, f := range c.closers {
		f()
	}
}

// report adds a broken rule that no worker sees.
func (c *cluster) report(rule, format string, args ...any) {
	c.reportAt(time.Now(), rule, format, args...)
}

// reportAt adds a rule that was broken at an earlier time.
func (c *cluster) reportAt(at time.Time, rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf("%.3f %s: %s", at.Sub(c.startedAt).Seconds(), rule, fmt.Sprintf(format, args...)))
}

// allViolations returns the broken rules that anyone has seen.
func (c *cluster) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(slices.Clone(c.violations), c.fleet.Violations()...)
}

// recordAppend notes who owns the cell, and checks that one process uses a term and that no VM
// records a key.
func (c *cluster) recordAppend(vm, topic string, record cell.KeyValue) {
	if bytes.Contains(record.Value, []byte(keyPrefix)) {
		c.report("KEY", "%s records a key in %s", vm, topic)
	}
	if topic != storeserver.OwnerTopic {
		return
	}
	var r election.OwnerRecord
	if err := json.Unmarshal(record.Value, &r); err != nil {
		c.report("FAULT", "owner record cannot be read: %v", err)
		return
	}
	c.mu.Lock()
	process := r.Node + "/" + r.Instance
	holder, isKnown := c.holders[r.Term]
	if !isKnown {
		c.holders[r.Term] = process
	}
	if r.Node != c.owner {
		c.owner = r.Node
		c.owners++
	}
	c.mu.Unlock()
	if isKnown && holder != process {
		c.report("ONE", "processes %s and %s use term %d", holder, process, r.Term)
	}
}

// ownerVM returns the VM whose owner record is the newest, or the given one if there is none.
func (c *cluster) ownerVM(fallback *vm) *vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.vms {
		if v.name == c.owner {
			return v
		}
	}
	return fallback
}

// queues are the routes of every configuration: one with advice and one without.
func queues() []storeserver.Route {
	return []storeserver.Route{
		{Name: "plain", Host: host, PathPrefix: "/plain/", Service: service, Priority: 1, MaxAttempts: maxAttempts, SlackFactor: 2, TargetLatencyMs: 2000},
		{Name: "advised", Host: host, PathPrefix: "/advised/", Service: service, MaxAttempts: maxAttempts, SlackFactor: 2, TargetLatencyMs: 1000,
			Advice: &storeserver.Advice{DecisionMs: 20, PerItemMs: 1, ValidityMs: float64(fleet.TicketValidity.Milliseconds())}},
	}
}

// versionPath returns the path of the route that only one version of the configuration has.
func versionPath(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// publish publishes the next version of the configuration.
func (c *cluster) publish() error {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	c.mu.Lock()
	c.version++
	version, unused := c.version, c.unusedRoutes
	c.mu.Unlock()
	routes := append(queues(), unusedRoutes(unused)...)
	routes = append(routes, storeserver.Route{Name: "version", Host: host, PathPrefix: versionPath(version), Service: service, MaxAttempts: 1, SlackFactor: 2})
	if c.customers != nil {
		return eris.Wrap(c.publishCustomers(version, routes), "publish configuration")
	}
	return eris.Wrap(c.store.PublishConfig(version, routes, service), "publish configuration")
}

// addRoutes adds routes that no caller uses to the configurations to come.
func (c *cluster) addRoutes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unusedRoutes += n
}

func unusedRoutes(n int) []storeserver.Route {
	routes := make([]storeserver.Route, 0, n)
	for i := range n {
		name := fmt.Sprintf("unused-%d", i)
		routes = append(routes, storeserver.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Service: service, MaxAttempts: maxAttempts, SlackFactor: 2, TargetLatencyMs: 2000})
	}
	return routes
}

// newestVersion returns the version of the newest configuration.
func (c *cluster) newestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// writeWorkers writes the entries of all workers until the cluster is closed.
func (c *cluster) writeWorkers() {
	for {
		for _, w := range c.workers {
			c.writeWorker(w)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(workerHeartbeat):
		}
	}
}

func (c *cluster) writeWorker(w *workerSlot) {
	c.mu.Lock()
	c.sequence++
	sequence, entry := c.sequence, w.entry
	c.mu.Unlock()
	err := w.writeEntry(c.store, entry, storeserver.WorkerEntry{
		ID: w.ID, Service: service, Addr: w.addr, Zone: "dc-0", MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB, Sequence: sequence, Born: w.Born(),
	})
	if err != nil {
		c.report("FAULT", "entry of worker %s: %v", w.ID, err)
	}
}
