package soak

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/platform"
)

const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// contactTime is how long a VM must have been without a fault before a request that it
	// cuts off counts as a broken rule.
	contactTime = 4 * time.Second
)

// vm is one entry VM: a process of the daemon, started again whenever it has ended.
type vm struct {
	name         string
	ip           string
	settingsPath string
	daemon       string
	log          *os.File
	storeProxy   *Proxy
	callerProxy  *Proxy
	// isSmall is true for a VM that is too small to be a follower.
	isSmall bool
	report  func(rule, format string, args ...any)

	mu sync.Mutex
	// process is nil while the VM is down.
	process *process
	// isClosed is true once the run is over.
	isClosed bool
	// startedAt is when the newest process was started.
	startedAt time.Time
	// disruptedAt is when the last fault of the VM began or ended; SIGTERM and SIGHUP are none.
	disruptedAt time.Time
	// disruptions counts the faults that last.
	disruptions int
}

// process is one process of a VM.
type process struct {
	cmd *exec.Cmd
	// isEnding is true once the process was told to end.
	isEnding bool
	ended    chan struct{}
}

// start starts the process if the VM is down.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil || v.isClosed {
		return nil
	}
	cmd := exec.Command(v.daemon, "-platform")
	cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+v.settingsPath)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start VM %s", v.name)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	v.process, v.startedAt = p, time.Now()
	go v.await(p)
	return nil
}

// await waits for the end of a process. One that ends by itself is a finding; it is
// started again.
func (v *vm) await(p *process) {
	err := p.cmd.Wait()
	v.mu.Lock()
	isOwnEnd := !p.isEnding && !v.isClosed
	v.process = nil
	v.mu.Unlock()
	close(p.ended)
	if isOwnEnd {
		v.report("FAULT", "the process of %s ended by itself: %v", v.name, err)
		_ = v.start()
	}
}

// signal sends a signal to the process if there is one, and returns the process. The signal
// ends the process if ends is true.
func (v *vm) signal(s os.Signal, ends bool) *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return nil
	}
	v.process.isEnding = v.process.isEnding || ends
	_ = v.process.cmd.Process.Signal(s)
	return v.process
}

// beginDisruption records that a fault of the VM has begun; the function that it returns
// records its end.
func (v *vm) beginDisruption() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disruptions++
	v.disruptedAt = time.Now()
	return sync.OnceFunc(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.disruptions--
		v.disruptedAt = time.Now()
	})
}

// wasCalm reports whether the VM had no fault from contactTime before a time until now.
func (v *vm) wasCalm(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disruptions == 0 && v.disruptedAt.Before(since.Add(-contactTime))
}

// lossSlack is how long after it was passed on a request counts as cut off if the process
// closes its connection.
const lossSlack = 200 * time.Millisecond

// requestCut reports that the process has closed a connection without an answer to a request
// that it had read. The proxy of the callers calls it.
func (v *vm) requestCut(passedAt time.Time) {
	if age := time.Since(passedAt); age > lossSlack && v.wasCalm(passedAt) {
		v.report("LOST", "%s closed a connection %v after it had read a request, without an answer", v.name, age.Round(time.Millisecond))
	}
}

// kill kills the process and starts it again after a time, if isBack is true.
func (v *vm) kill(downFor time.Duration, isBack bool) {
	end := v.beginDisruption()
	defer end()
	if p := v.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
	time.Sleep(downFor)
	if isBack {
		_ = v.start()
	}
}

// remove kills the process for good.
func (v *vm) remove() {
	v.mu.Lock()
	v.isClosed = true
	v.mu.Unlock()
	v.kill(0, false)
}

// isRemoved reports whether the VM is gone for good.
func (v *vm) isRemoved() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isClosed
}

// pause stops the process for a time without its knowledge.
func (v *vm) pause(d time.Duration) {
	end := v.beginDisruption()
	defer end()
	p := v.signal(syscall.SIGSTOP, false)
	if p == nil {
		return
	}
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// stop asks the process to end, kills it after the grace period, and starts it again.
func (v *vm) stop() {
	p := v.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(grace):
		if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			v.report("FAULT", "cannot kill %s: %v", v.name, err)
		}
		<-p.ended
	}
	_ = v.start()
}

// close ends the process for good.
func (v *vm) close() {
	v.mu.Lock()
	v.isClosed = true
	v.mu.Unlock()
	if p := v.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
	_ = v.log.Close()
}
