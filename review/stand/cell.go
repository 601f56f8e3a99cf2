//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

// Addresses, ports and names of the deployment.
const (
	host    = "review.example"
	service = "review-desk"

	callerPort    = 8161
	readinessPort = 8167
	peerPort      = 7720
	workerPort    = 8300
	storePort     = 8400
	advicePort    = 8500

	// Capacity of a worker, as at the site of the claims.
	workerMilliCPU = 32000
	workerMemoryMB = 65536
	// heartbeat is how often a worker writes its entry.
	heartbeat = 1500 * time.Millisecond
	// rackSize is the number of workers in a rack.
	rackSize = 8
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
)

var zones = []string{"krk-a", "krk-b", "kat-a"}

// cell is the entry VMs, as processes of the product, and the stand-ins around them.
type cell struct {
	dir       string
	block     int
	startedAt time.Time
	store     *storeserver.Server
	fleet     *fleet.Fleet
	workers   []*worker
	vms       []*vm
	record    *record
	stop      chan struct{}
	listeners []*http.Server

	mu       sync.Mutex
	isDown   bool
	sequence int64
	broken   []string
	// isHangArmed, startsHang and chosen belong to playDrain.
	isHangArmed bool
	startsHang  bool
	chosen      *worker
	// onStart is called for each task that a worker has begun.
	onStart func(w *worker, o order, kind string, drainingSince time.Time)
}

// vm is one process of the product.
type vm struct {
	name string
	ip   string
	cmd  *exec.Cmd
	done chan struct{}
}

// record is the file record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// newCell starts the stand-ins and the VMs. kinds has the first label of each worker.
func newCell(rec *record, vmCount int, kinds []string, routes []storeserver.Route) (*cell, error) {
	dir, err := os.MkdirTemp("", "gypsumwinch-review-")
	if err != nil {
		return nil, err
	}
	c := &cell{dir: dir, startedAt: time.Now(), store: storeserver.New(&cellstore.Store{}, nil), fleet: fleet.New(1), record: rec, stop: make(chan struct{})}
	if err := c.chooseAddresses(); err != nil {
		return c, err
	}
	go c.fleet.Run(c.stop)
	for i, kind := range kinds {
		if err := c.addWorker(i, kind); err != nil {
			return c, err
		}
	}
	go c.writeEntries()
	if err := c.store.PublishConfig(1, routes, service); err != nil {
		return c, err
	}
	for i := range vmCount {
		if err := c.addVM(i); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(30 * time.Second)
}

// chooseAddresses takes a block of loopback addresses that no other run uses. Its mark is
// the listener of the advice service.
func (c *cell) chooseAddresses() error {
	var err error
	for i := range 200 {
		c.block = 20 + (os.Getpid()+i)%200
		if _, err = c.serve(c.addr(6, 0, advicePort), c.fleet.AdviceHandler()); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses: %w", err)
}

func (c *cell) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.block, kind, number+1)
}

func (c *cell) addr(kind, number, port int) string {
	return net.JoinHostPort(c.ip(kind, number), fmt.Sprint(port))
}

func (c *cell) serve(addr string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	c.mu.Lock()
	c.listeners = append(c.listeners, server)
	c.mu.Unlock()
	return server, nil
}

func (c *cell) addVM(i int) error {
	v := &vm{name: fmt.Sprintf("frontend-%d", i), ip: c.ip(1, i), done: make(chan struct{})}
	storeAddr := c.addr(4, i, storePort)
	if _, err := c.serve(storeAddr, c.store.Handler(v.name)); err != nil {
		return err
	}
	settings := storeserver.VMSettings{
		Name: v.name, Zone: zones[i%len(zones)], IP: v.ip, CallerPort: callerPort, ReadinessPort: readinessPort, PeerPort: peerPort,
		StoreAddr: storeAddr, AdviceAddr: c.addr(6, 0, advicePort), CPUShare: 0.4,
		MaxLease: fleet.MaxLease, Grace: grace, GangTimeout: fleet.GangTimeout, StopTimeout: fleet.StopTimeout,
	}
	path := filepath.Join(c.dir, v.name+".json")
	if err := settings.WriteFile(path); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, v.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	// The command of deploy/system.toml.
	v.cmd = exec.Command("target/gypsumwinchd", "-platform")
	v.cmd.Env = append(os.Environ(), "GYPSUMWINCH_BOOT="+path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	c.vms = append(c.vms, v)
	go func() {
		_ = v.cmd.Wait()
		close(v.done)
	}()
	c.record.line("process %s is started", v.name)
	return nil
}

// awaitReady waits until each VM answers its readiness check with 200.
func (c *cell) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range c.vms {
		url := "http://" + net.JoinHostPort(v.ip, fmt.Sprint(readinessPort)) + storeserver.ReadinessPath
		for {
			resp, err := http.Get(url)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (c *cell) close() {
	close(c.stop)
	for _, v := range c.vms {
		_ = v.cmd.Process.Kill()
		<-v.done
	}
	c.mu.Lock()
	servers := c.listeners
	c.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// report adds a broken rule that this program has seen itself.
func (c *cell) report(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	c.record.line("BROKEN %s", line)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, line)
}

// violations returns the broken rules whose line contains a word.
func (c *cell) violations(word string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, line := range append(c.fleet.Violations(), c.broken...) {
		if strings.Contains(line, word) {
			out = append(out, line)
		}
	}
	return out
}

// worker is a stand-in of a worker: the worker of the fleet, and the socket and the entry of
// its process.
type worker struct {
	*fleet.Worker
	cell   *cell
	number int
	addr   string
	server *http.Server

	mu         sync.Mutex
	kind       string
	isUp       bool
	isDraining bool
	// hangsStarts is true while start requests get no answer and are not carried out.
	hangsStarts bool
	// drainingSince is when the store accepted the entry that says so.
	drainingSince time.Time
}

func (c *cell) addWorker(i int, kind string) error {
	w := &worker{Worker: c.fleet.AddWorker(fmt.Sprintf("w-%03d", i), workerMilliCPU, workerMemoryMB), cell: c, number: i, addr: c.addr(2, i, workerPort), kind: kind}
	c.workers = append(c.workers, w)
	return w.listen()
}

// listen writes the worker's entry and then serves orders.
func (w *worker) listen() error {
	w.mu.Lock()
	w.isUp = true
	w.mu.Unlock()
	w.writeEntry()
	server, err := w.cell.serve(w.addr, w.handler())
	w.server = server
	return err
}

// crash ends the process of the worker with all that it runs.
func (w *worker) crash() {
	w.mu.Lock()
	w.isUp = false
	w.mu.Unlock()
	_ = w.server.Close()
	w.Restart()
	w.cell.record.line("worker %s crashes", w.ID)
}

// handler serves the orders of the worker and records starts and stops.
func (w *worker) handler() http.Handler {
	next := w.Handler()
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/run-start" {
			next.ServeHTTP(rw, r)
			return
		}
		body, order := readOrder(r)
		w.cell.chooseIfArmed(w)
		w.mu.Lock()
		hangs, kind, drainingSince := w.hangsStarts, w.kind, w.drainingSince
		w.mu.Unlock()
		if hangs {
			w.cell.record.line("start of %s run %d reaches %s: not answered, not carried out", order.Task, order.Run, w.ID)
			<-r.Context().Done()
			return
		}
		r.Body = body
		answer := &statusWriter{ResponseWriter: rw, status: http.StatusOK}
		before := w.cell.fleet.Starts()
		next.ServeHTTP(answer, r)
		hasStarted := w.cell.fleet.Starts() > before
		w.cell.record.line("start of %s run %d at %s (%s): %d", order.Task, order.Run, w.ID, kind, answer.status)
		if answer.status == http.StatusOK && hasStarted && w.cell.onStart != nil {
			w.cell.onStart(w, order, kind, drainingSince)
		}
	})
}

// writeEntry writes what the worker says about itself to the store, unless the store is down.
func (w *worker) writeEntry() {
	c := w.cell
	c.mu.Lock()
	c.sequence++
	sequence, isDown := c.sequence, c.isDown
	c.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isUp || isDown {
		return
	}
	state := "ready"
	if w.isDraining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": w.addr, "Zone": zones[w.number%len(zones)], "Version": "v1", "Slots": 8, "State": state,
		"Capacity": map[string]any{"Cpu": workerMilliCPU, "MemMb": workerMemoryMB, "Gpu": 0},
		"Labels":   []string{w.kind, fmt.Sprintf("r%d", w.number/rackSize)},
		"Sequence": sequence, "born": w.Born(),
	})
	if err == nil {
		err = c.store.WriteEntry(w.ID, value)
	}
	if err != nil {
		c.record.line("entry of %s: %v", w.ID, err)
		return
	}
	if w.isDraining && w.drainingSince.IsZero() {
		w.drainingSince = time.Now()
	}
}

// writeEntries writes the entries of all workers until the cell is closed.
func (c *cell) writeEntries() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(heartbeat):
		}
		for _, w := range c.workers {
			w.writeEntry()
		}
	}
}

// takeStoreDown makes the store silent to everybody for a time.
func (c *cell) takeStoreDown(d time.Duration) {
	c.setStoreDown(true)
	c.store.SetFault(func(string, storeserver.Call, string) storeserver.Fault { return storeserver.Fault{Silent: true} })
	c.record.line("the store is down")
	time.Sleep(d)
	c.store.SetFault(nil)
	c.setStoreDown(false)
	c.record.line("the store is back")
}

func (c *cell) setStoreDown(isDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown = isDown
}
