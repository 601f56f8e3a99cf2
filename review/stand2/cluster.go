//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gypsumwinch/platform"
	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/storeserver"
)

const (
	host          = "case.example"
	service       = "serwis-desk"
	callerPort    = 8161
	readinessPort = 8167
	peerPort      = 7720
	workerPort    = 8300
	storePort     = 8400
	advicePort    = 8500
	heartbeat     = 1500 * time.Millisecond
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// vm is one process of the daemon.
type vm struct {
	name, ip, zone, settings string
	storeAddr                string
	cmd                      *exec.Cmd
	log                      *os.File
}

// cluster is a small deployment of real daemons with stand-ins around them.
type cluster struct {
	rec    *record
	dir    string
	daemon string
	block  int
	store  *storeserver.Server
	fleet  *fleet
	vms    []*vm
	stop   chan struct{}
	seq    int64
	client *http.Client

	mu    sync.Mutex
	owner string
}

var zones = []string{"krk-a", "krk-b", "kat-a"}

// newCluster starts the stand-ins; startVMs starts the daemons.
func newCluster(daemon string, rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, daemon: daemon, stop: make(chan struct{}), fleet: newFleet(rec),
		client: &http.Client{Timeout: 4 * time.Second}}
	c.store = storeserver.New(&cellstore.Store{}, c.appended)
	for i := range 200 {
		c.block = 30 + (os.Getpid()+i)%200
		if err = c.serve(c.addr(6, 1, advicePort), http.NotFoundHandler()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go c.fleet.run(c.stop)
	return c, nil
}

func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.block, kind, n+1) }
func (c *cluster) addr(kind, n, port int) string {
	return net.JoinHostPort(c.ip(kind, n), fmt.Sprint(port))
}

func (c *cluster) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return nil
}

// appended notes who owns the cell.
func (c *cluster) appended(_, topic string, kv cellRecord) {
	if topic != storeserver.OwnerTopic {
		return
	}
	var r struct {
		T int64  `json:"t"`
		N string `json:"n"`
		R bool   `json:"r"`
	}
	if json.Unmarshal(kv.Value, &r) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.N != c.owner {
		c.owner = r.N
		c.rec.line("%s owns the cell, term %d", r.N, r.T)
	}
}

func (c *cluster) ownerName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner
}

// addWorkers adds n workers of 32 cores and 64 GB, 8 a rack.
func (c *cluster) addWorkers(n int) error {
	for i := range n {
		w := c.fleet.add(fmt.Sprintf("w-%03d", i), c.addr(2, i, workerPort), zones[i%3], fmt.Sprintf("r%d", i/8), 32000, 65536)
		w.kind = usualKind
		if i < specialKinds {
			w.kind = specialKind(i)
		}
		l, err := net.Listen("tcp", w.addr)
		if err != nil {
			return err
		}
		s := &http.Server{Handler: w.handler()}
		go func() { _ = s.Serve(l) }()
	}
	c.writeEntries()
	go func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(heartbeat):
				c.writeEntries()
			}
		}
	}()
	return nil
}

// writeEntries writes the entries of all minions, as they do at each heartbeat.
func (c *cluster) writeEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	for _, w := range c.fleet.workers {
		value, _ := json.Marshal(map[string]any{
			"Service": service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.mem, "Gpu": 0}, "Labels": []string{w.kind, w.rack}, "Sequence": c.seq, "born": w.born,
		})
		_ = c.store.WriteEntry(w.id, value)
	}
}

// startVMs starts n daemons and waits until one owns the cell.
func (c *cluster) startVMs(n int) error {
	route := storeserver.Route{Name: "desk", Host: host, PathPrefix: "/desk/", Service: service, Priority: 1, MaxAttempts: 3, SlackFactor: 2, TargetLatencyMs: 3000}
	if err := c.store.PublishConfig(1, []storeserver.Route{route}, service); err != nil {
		return err
	}
	for i := range n {
		if err := c.addVM(i); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if c.ownerName() != "" && c.ready() {
			return nil
		}
	}
	return fmt.Errorf("no VM owns the cell after 15 s")
}

// addVM adds a machine of the system and starts its process.
func (c *cluster) addVM(i int) error {
	v := &vm{name: fmt.Sprintf("vm-%d", i), ip: c.ip(1, i), zone: zones[i%3], storeAddr: c.addr(4, i, storePort)}
	if err := c.serve(v.storeAddr, c.store.Handler(v.name)); err != nil {
		return err
	}
	v.settings = filepath.Join(c.dir, v.name+".json")
	s := storeserver.VMSettings{Name: v.name, Zone: v.zone, IP: v.ip, CallerPort: callerPort, ReadinessPort: readinessPort, PeerPort: peerPort,
		StoreAddr: v.storeAddr, AdviceAddr: c.addr(6, 1, advicePort), CPUShare: 0.4, MaxLease: maxHold, Grace: 6 * time.Second,
		GangTimeout: gangTimeout, StopTimeout: 900 * time.Millisecond}
	if err := s.WriteFile(v.settings); err != nil {
		return err
	}
	var err error
	if v.log, err = os.Create(filepath.Join(c.dir, v.name+".log")); err != nil {
		return err
	}
	c.vms = append(c.vms, v)
	return c.start(v)
}

// start starts the process of a VM with the command of the deploy file.
func (c *cluster) start(v *vm) error {
	v.cmd = exec.Command(c.daemon, "-platform")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsEnvVar + "=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

// kill kills the process of a VM and waits for its end.
func (v *vm) kill() {
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Kill()
		_ = v.cmd.Wait()
		v.cmd = nil
	}
}

// ready reports whether every VM is ready.
func (c *cluster) ready() bool {
	for _, v := range c.vms {
		resp, err := c.client.Get("http://" + net.JoinHostPort(v.ip, fmt.Sprint(readinessPort)) + storeserver.ReadinessPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all processes.
func (c *cluster) close() {
	close(c.stop)
	for _, v := range c.vms {
		v.kill()
		_ = v.log.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// call makes a caller's request to a VM. status is 0 if there was no answer.
func (c *cluster) call(v *vm, method, path string, body any) (status int, answer []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+net.JoinHostPort(v.ip, fmt.Sprint(callerPort))+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(storeserver.DeadlineHeader, "3000")
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.line("%s %s at %s: no answer", method, path, v.name)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ = io.ReadAll(resp.Body)
	c.rec.line("%s %s at %s: %d %s", method, path, v.name, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, answer
}
