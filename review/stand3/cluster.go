package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/storeserver"
)

// Names and limits of the deployment.
const (
	host     = "review.example"
	service  = "desk"
	memoryMB = 284

	callerPort, readinessPort, peerPort = 8161, 8167, 7720
	workerPort, storePort, advicePort   = 8300, 8400, 8500
)

// recorder writes record.txt.
type recorder struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// lab is the processes under test with the stand-ins around them.
type lab struct {
	rec     *recorder
	dir     string
	block   int
	store   *storeserver.Server
	fleet   *fleet
	vms     []*vm
	closers []func()
	stop    chan struct{}
	// jobs counts the ordinary jobs.
	jobs int
}

// vm is one entry VM: a process of the deploy file, started again after a short delay
// whenever it has ended.
type vm struct {
	lab      *lab
	name     string
	ip       string
	settings string
	log      *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	isClosed bool
	// memoryKills counts the processes that exceeded the memory of the VM.
	memoryKills int
	starts      int
}

func newLab(rec *recorder, vms, workers int, workerMilliCPU int64) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, dir: dir, fleet: newFleet(rec), stop: make(chan struct{})}
	l.store = storeserver.New(&cellstore.Store{}, nil)
	// A case that is stopped ends its processes too.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		l.close()
		os.Exit(exitNotRun)
	}()
	if err := l.findBlock(); err != nil {
		return nil, err
	}
	for i := range workers {
		w := l.fleet.addWorker(fmt.Sprintf("w%03d", i), l.addr(2, i, workerPort), workerMilliCPU, 128_000)
		if err := l.listen(w.addr, w.handler()); err != nil {
			return l, err
		}
	}
	go l.fleet.run(l.stop)
	l.writeWorkers()
	go func() {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(1500 * time.Millisecond):
				l.writeWorkers()
			}
		}
	}()
	routes := []storeserver.Route{{Name: "batch", Host: host, PathPrefix: "/batch/", Service: service, Priority: 1, MaxAttempts: 3, SlackFactor: 2, TargetLatencyMs: 1000}}
	if err := l.store.PublishConfig(1, routes, service); err != nil {
		return l, err
	}
	for i := range vms {
		if err := l.addVM(i); err != nil {
			return l, err
		}
	}
	return l, nil
}

// findBlock chooses loopback addresses that no other run uses; the listener of the advice
// service, which no queue needs, marks them.
func (l *lab) findBlock() error {
	var err error
	for i := range 200 {
		l.block = 20 + (os.Getpid()+i)%200
		if err = l.listen(l.addr(6, 0, advicePort), http.NotFoundHandler()); err == nil {
			return nil
		}
	}
	return err
}

func (l *lab) addr(kind, number, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", l.block, kind, number+1), strconv.Itoa(port))
}

func (l *lab) listen(addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	l.closers = append(l.closers, func() { _ = server.Close() })
	return nil
}

func (l *lab) writeWorkers() {
	for _, w := range l.fleet.workers {
		_ = l.store.WriteWorker(storeserver.WorkerEntry{
			ID: w.id, Service: service, Addr: w.addr, Zone: "zone-0", MilliCPU: w.milliCPU, MemoryMB: w.memoryMB,
			Sequence: time.Now().UnixMilli(), Born: w.born.UnixMilli(),
		})
	}
}

func (l *lab) addVM(i int) error {
	v := &vm{lab: l, name: fmt.Sprintf("frontend-%d", i), ip: fmt.Sprintf("127.%d.1.%d", l.block, i+1)}
	v.settings = filepath.Join(l.dir, v.name+".json")
	storeAddr := l.addr(4, i, storePort)
	if err := l.listen(storeAddr, l.store.Handler(v.name)); err != nil {
		return err
	}
	err := storeserver.VMSettings{
		Name: v.name, Zone: fmt.Sprintf("zone-%d", i%3), IP: v.ip, CallerPort: callerPort, ReadinessPort: readinessPort, PeerPort: peerPort,
		StoreAddr: storeAddr, AdviceAddr: l.addr(6, 0, advicePort), CPUShare: 0.4, MemoryMB: memoryMB,
		MaxLease: maxLease, Grace: 6 * time.Second, GangTimeout: 3 * time.Second, StopTimeout: 900 * time.Millisecond,
	}.WriteFile(v.settings)
	if err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(l.dir, v.name+".log")); err != nil {
		return err
	}
	l.vms = append(l.vms, v)
	return v.start()
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isClosed {
		return nil
	}
	cmd := exec.Command("target/gypsumwinchd", "-platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GYPSUMWINCH_BOOT=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd = cmd
	v.starts++
	ended := make(chan struct{})
	go v.watchMemory(cmd, ended)
	go func() {
		err := cmd.Wait()
		close(ended)
		v.lab.rec.logf("process of %s ended: %v", v.name, err)
		time.Sleep(500 * time.Millisecond)
		_ = v.start()
	}()
	return nil
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does.
func (v *vm) watchMemory(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if mb := residentMB(cmd.Process.Pid); mb > memoryMB {
			v.mu.Lock()
			v.memoryKills++
			v.mu.Unlock()
			v.lab.rec.logf("process of %s has %d MB, above its %d MB: the platform kills it", v.name, mb, memoryMB)
			_ = cmd.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

func (v *vm) url(path string) string {
	return "http://" + net.JoinHostPort(v.ip, strconv.Itoa(callerPort)) + path
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(v.ip, strconv.Itoa(readinessPort)) + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs report that they are ready.
func (l *lab) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range l.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(l.vms) {
			return true
		}
	}
	return false
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	close(l.stop)
	for _, v := range l.vms {
		v.mu.Lock()
		v.isClosed = true
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
		}
		v.mu.Unlock()
	}
	for _, c := range l.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are in", l.dir)
	}
}
