//go:build clients

package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumwinch/platform"
	"gypsumwinch/standin/badclient"
	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

const (
	// memoryMB and maxFDs are the limits of the smallest VM of the new deployments.
	memoryMB = 144
	maxFDs   = 3075
	// patience is how long an ordinary request may take, with its repetitions, and how long
	// its job. It is far above what either takes on a busy machine.
	patience = time.Minute
	// attemptTimeout is how long a caller waits for one answer, retryPause its pause after an
	// answer that tells it to come back.
	attemptTimeout = 10 * time.Second
	retryPause     = 200 * time.Millisecond
	// stay is how long a crowd stays after the first ordinary request.
	stay = 2 * time.Second
	// sampleInterval is how often the descriptors of the process are counted.
	sampleInterval = 20 * time.Millisecond

	host    = "clients.example"
	prefix  = "/q/"
	service = "clients"
	workers = 2
)

// limits are those that the platform's pages give for all sites.
var limits = storeserver.ClientLimits{MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}

var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "gypsumwinchd")
	if output, err := exec.Command("go", "build", "-o", daemon, "gypsumwinch/cmd/gypsumwinchd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// vm is a process of the daemon with stand-ins of store, workers and advice service.
type vm struct {
	t         *testing.T
	callers   string
	readiness string
	metrics   string
	fleet     *fleet.Fleet
	cmd       *exec.Cmd
	ended     chan struct{}
	jobs      int
	// mostFDs is the highest number of open descriptors that was seen.
	mostFDs atomic.Int64
}

// serve serves a handler on a free port until the test ends.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// freePorts returns a number of consecutive ports of an address on which nothing listens.
func freePorts(t *testing.T, ip string, count int) int {
	t.Helper()
next:
	for first := 20_000; first < 30_000; first += count {
		for i := range count {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(first+i)))
			if err != nil {
				continue next
			}
			defer l.Close()
		}
		return first
	}
	t.Fatal("no free ports")
	return 0
}

// startVM starts the stand-ins and the process, and waits until an ordinary job has run.
func startVM(t *testing.T) *vm {
	t.Helper()
	store := storeserver.New(&cellstore.Store{}, nil)
	v := &vm{t: t, fleet: fleet.New(1), ended: make(chan struct{})}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go v.fleet.Run(stop)
	for i := range workers {
		w := v.fleet.AddWorker(fmt.Sprintf("w-%d", i), 16_000, 32_000)
		entry := storeserver.WorkerEntry{ID: w.ID, Service: service, Addr: serve(t, w.Handler()), Zone: "z", MilliCPU: 16_000, MemoryMB: 32_000, Sequence: 1, Born: w.Born()}
		must(t, store.WriteWorker(entry))
		go rewrite(store, entry, stop)
	}
	route := storeserver.Route{Name: "q", Host: host, PathPrefix: prefix, Service: service, MaxAttempts: 4, SlackFactor: 2, TargetLatencyMs: 2000}
	must(t, store.PublishLimitedConfig(1, []storeserver.Route{route}, service, limits))
	const ip = "127.0.0.1"
	port := freePorts(t, ip, 4)
	settings := storeserver.VMSettings{
		Name: "vm", Zone: "z", IP: ip, CallerPort: port, ReadinessPort: port + 1, PeerPort: port + 2,
		StoreAddr: serve(t, store.Handler("vm")), AdviceAddr: serve(t, v.fleet.AdviceHandler()), CPUShare: 0.8,
		MaxLease: fleet.MaxLease, Grace: 6 * time.Second, GangTimeout: fleet.GangTimeout, StopTimeout: fleet.StopTimeout,
		MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	addr := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(port+n)) }
	v.callers, v.readiness, v.metrics = addr(0), addr(1), addr(3)
	path := filepath.Join(t.TempDir(), "vm.json")
	must(t, settings.WriteFile(path))
	v.start(path)
	v.serveOrdinary("before the crowd")
	t.Logf("before the crowd: VmHWM %d MB, %d descriptors", v.peakMB(), v.mostFDs.Load())
	return v
}

// rewrite writes the entry of a worker again and again, as the worker does.
func rewrite(store *storeserver.Server, entry storeserver.WorkerEntry, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			entry.Sequence++
			_ = store.WriteWorker(entry)
		}
	}
}

// start starts the process and the count of its descriptors. The process is ended with the
// test.
func (v *vm) start(settings string) {
	v.t.Helper()
	log, err := os.Create(settings + ".log")
	must(v.t, err)
	v.cmd = exec.Command(daemon, "-platform")
	v.cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	must(v.t, v.cmd.Start())
	go func() {
		_ = v.cmd.Wait()
		close(v.ended)
	}()
	go v.sampleFDs()
	v.t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		<-v.ended
		log.Close()
	})
}

// sampleFDs counts the descriptors of the process until it ends.
func (v *vm) sampleFDs() {
	for {
		v.countFDs()
		select {
		case <-v.ended:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (v *vm) countFDs() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
	if n := int64(len(entries)); err == nil && n > v.mostFDs.Load() {
		v.mostFDs.Store(n)
	}
}

// peakMB returns the peak resident memory of the process.
func (v *vm) peakMB() int {
	v.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	must(v.t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			must(v.t, err)
			return kb >> 10
		}
	}
	v.t.Fatalf("process %d has no peak memory: it has ended", v.cmd.Process.Pid)
	return 0
}

// check fails the test if the process has ended or was over a limit of its settings.
func (v *vm) check() {
	v.t.Helper()
	select {
	case <-v.ended:
		v.t.Fatalf("the process has ended: %v", v.cmd.ProcessState)
	default:
	}
	v.countFDs()
	peak, fds := v.peakMB(), v.mostFDs.Load()
	v.t.Logf("VmHWM %d MB, limit %d MB; %d descriptors, limit %d", peak, memoryMB, fds, maxFDs)
	if peak >= memoryMB {
		v.t.Errorf("VmHWM %d MB, limit %d MB", peak, memoryMB)
	}
	if fds >= maxFDs {
		v.t.Errorf("%d open descriptors, limit %d", fds, maxFDs)
	}
}

// serveOrdinary hands in one job on a new connection and waits until it is done.
func (v *vm) serveOrdinary(when string) {
	v.t.Helper()
	v.jobs++
	id := fmt.Sprintf("%016x", v.jobs)
	v.fleet.AddJob(fleet.Job{ID: id, Spec: "ordinary", MaxAttempts: 4, Steps: []fleet.Step{{Count: 1, MilliCPU: 500, MemoryMB: 64, Duration: 50 * time.Millisecond}}})
	v.repeat(when+": submission", func() (*http.Request, error) { return badclient.Submission(v.callers, host, prefix, id) }, "")
	v.repeat(when+": completion", func() (*http.Request, error) { return badclient.StateQuery(v.callers, host, prefix, id) }, badclient.Completed)
}

// repeat sends a request until it is answered 200 with a text in the body. An answer that
// tells the caller to come back, and a lost connection, are followed by a repetition.
func (v *vm) repeat(what string, request func() (*http.Request, error), text string) {
	v.t.Helper()
	client := &http.Client{Timeout: attemptTimeout}
	last := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(retryPause) {
		r, err := request()
		must(v.t, err)
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), text) {
			return
		}
		last = fmt.Sprintf("status %d, body %q, error %v", resp.StatusCode, body, err)
		if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
			break
		}
	}
	v.t.Errorf("%s: no success within %v; last: %s", what, patience, last)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
