package scripts

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a started program: a daemon or the stand-ins.
type process struct {
	name    string
	cmd     *exec.Cmd
	logFile string
	// exitDone is closed when the process has exited.
	exitDone chan struct{}
}

// startProcess starts a program with its standard error appended to logFile. The
// kernel kills the program when the test process ends, even if that crashes. For
// the stand-ins, it waits for the addresses that they print and returns them as
// the second value; for other programs that buffer is empty.
func startProcess(name, logFile string, args ...string) (*process, *bytes.Buffer, error) {
	stderr, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, err
	}
	defer stderr.Close()
	out := &bytes.Buffer{}
	p := &process{name: name, logFile: logFile, exitDone: make(chan struct{})}
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Stderr = stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var stdout io.Reader
	if name == standinsName {
		if stdout, err = p.cmd.StdoutPipe(); err != nil {
			return nil, nil, err
		}
	}
	started := make(chan error)
	go func() {
		// The kernel sends Pdeathsig when the thread that started the child ends, so
		// this thread has to live as long as the child.
		runtime.LockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			p.cmd.Wait()
		}
		close(p.exitDone)
	}()
	if err := <-started; err != nil {
		return nil, nil, err
	}
	if name != standinsName {
		return p, out, nil
	}
	buffer := make([]byte, 64<<10)
	for !bytes.HasSuffix(out.Bytes(), []byte("\n}\n")) {
		n, err := stdout.Read(buffer)
		if err != nil {
			return p, out, fmt.Errorf("read addresses of the stand-ins: %w", err)
		}
		out.Write(buffer[:n])
	}
	return p, out, nil
}

const standinsName = "standins"

// isRunning reports whether the process has not exited yet. kill calls it.
func (p *process) isRunning() bool {
	select {
	case <-p.exitDone:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// kill sends SIGKILL if the process still runs and waits until it has exited.
func (p *process) kill() {
	if p.isRunning() {
		p.signal(syscall.SIGKILL)
	}
	<-p.exitDone
}

// awaitExit waits until the process has exited without a further signal, and
// returns an error after conditionTimeout.
func (p *process) awaitExit() error {
	select {
	case <-p.exitDone:
		return nil
	case <-time.After(conditionTimeout):
		return fmt.Errorf("%s is still running after %v", p.name, conditionTimeout)
	}
}

// The ports are below the range that the system uses for outgoing connections,
// so that a port stays free until a daemon listens on it.
const (
	firstPort = 12000
	portCount = 18000
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid() * 37))
}

// freeAddr returns a loopback address whose port is free at the time of the call.
// cmdDaemon calls it for each address that the daemon listens on.
func freeAddr() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, listener.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}

// programPath returns the path of a program under test.
func programPath(name string) string {
	return filepath.Join(binDir, name)
}
