package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/node"
	"gypsumwinch/internal/clientlimit"
	"gypsumwinch/internal/gracefulhttp"
	"gypsumwinch/platform"
)

const (
	// settingsReloadInterval is how often the settings file is read again. The
	// platform may change it without sending SIGHUP.
	settingsReloadInterval = 5 * time.Second
	// deregistrationDelay is the time from the end of readiness until the load
	// balancer sends no new callers: it probes once a second, removes the VM
	// after two failed probes, and answers may be in flight.
	deregistrationDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process
	// to exit after the requests in flight have been finished or given up.
	exitMargin = 700 * time.Millisecond
	// finalAnswerTimeout is the part of exitMargin in which requests that have been
	// given up are answered.
	finalAnswerTimeout = 250 * time.Millisecond
	// nodeStopTimeout is the part of exitMargin in which the node ends its loops.
	nodeStopTimeout = 250 * time.Millisecond
	// memoryLimitFraction is the fraction of the platform's memory limit from
	// which the garbage collector runs more often, so that the platform does
	// not kill the process for exceeding the limit.
	memoryLimitFraction = 0.7
	// gcPercent is the garbage collection target (GOGC). A higher value uses
	// less processor time and more memory; the platform charges for both.
	gcPercent = 100
	// ownerGCPercent is that of the VM that owns the cell, whose processor time every
	// caller waits for.
	ownerGCPercent = 200
	// Limits of connections to the callers' and readiness listeners. The
	// platform operators' limits are the same at all sites known so far.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// bodyTimeout bounds the time for the body of a request, also for callers that wait
	// longer for their answers. The largest legal body takes 0.2 s on a link of 10 Mbit/s.
	bodyTimeout = 5 * time.Second
	// writeTimeout bounds each write of an answer. Answers are shorter than sendBufferBytes,
	// and callers wait 3 s for them unless they say otherwise.
	writeTimeout = 3 * time.Second
	// receiveBufferBytes and sendBufferBytes are the kernel's buffers of a connection, of
	// which it allocates twice as much. Left to itself it allocates several MB, so that the
	// bodies of clients that a process does not read would exceed the memory of a VM.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 16 << 10
)

// decoder implements node.Decoder with the record formats of the platform.
type decoder struct{}

// Config implements node.Decoder.
func (decoder) Config(key string, value []byte) (*cell.Config, bool, error) {
	return platform.DecodeConfig(key, value)
}

// Worker implements node.Decoder.
func (decoder) Worker(key string, value []byte) (cell.Worker, error) {
	return platform.DecodeWorker(key, value)
}

// runOnPlatform runs one entry VM on the users' platform until stopCtx ends or a
// part of it fails, and returns the exit code. run calls it for -platform. The
// addresses of the store and of the advice service follow changes of the
// settings file; the other settings are fixed at start.
func runOnPlatform(stopCtx context.Context, learnRunTimes bool) int {
	// The signal would end the process if it came before this call. It stays caught
	// until the process exits.
	settingsChanged := make(chan os.Signal, 1)
	signal.Notify(settingsChanged, syscall.SIGHUP)
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitFraction))
	currentSettings := &atomic.Pointer[platform.Settings]{}
	currentSettings.Store(&settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, settingsChanged, currentSettings)

	n := node.New(nodeSettings(settings, learnRunTimes), node.Ports{
		Store:   platform.NewStore(func() string { return currentSettings.Load().StoreAddr }),
		Workers: platform.NewWorkerClient(settings.MaxFiles),
		Advisor: platform.NewAdvisor(func() string { return currentSettings.Load().AdviceAddr }),
		Decoder: decoder{},
	}, os.Stdout)
	results := make(chan error, 3)
	go func() { results <- n.Run(ctx) }()
	plan := clientlimit.NewPlan(settings.MemoryMB, settings.MaxFiles)
	ingress := platform.NewLimitedIngress(n, platform.BodyLimits{
		Budget: clientlimit.NewBudget(plan.BodyBytes), OnRefused: func(reason string) { n.ClientLimitReached(callersName, reason) },
	})
	callerServer, err := startServer(settings.CallerAddr, n.ContainPanics(callersName, ingress), connLimits(n, callersName, plan.CallerConns), results)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	readinessServer, err := startServer(settings.ReadinessAddr, platform.NewReadiness(n), connLimits(n, readinessName, plan.ReadinessConns), results)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer readinessServer.Close()
	select {
	case err := <-results:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case <-stopCtx.Done():
	}
	return drain(n, callerServer, cancel, results, settings.GracePeriod)
}

// drain stops the entry VM within the grace period and returns the exit code:
// it fails the readiness probes, resigns the ownership of the cell, ends each
// connection with its next response, waits until the load balancer sends no new
// callers, finishes the requests in flight, answers those that it gives up, and then
// ends the context of the node with cancel. runOnPlatform calls it when a
// stop signal arrives. Without the wait, new callers would be refused.
func drain(n *node.Node, callerServer *gracefulhttp.Server, cancel context.CancelFunc, results chan error, grace time.Duration) int {
	startedAt := time.Now()
	n.Drain()
	n.ResignOwnership()
	callerServer.Drain()
	time.Sleep(min(deregistrationDelay, grace/2))
	ctx, cancelShutdown := context.WithTimeout(context.Background(), grace-exitMargin-time.Since(startedAt))
	defer cancelShutdown()
	code := exitOK
	if err := callerServer.Shutdown(ctx, finalAnswerTimeout); err != nil {
		fmt.Fprintln(os.Stderr, "connections of callers were still open when the drain timed out:", err)
		code = exitFailed
	}
	cancel()
	select {
	case <-results:
	case <-time.After(nodeStopTimeout):
	}
	return code
}

// Names of the listeners in metrics and log lines.
const (
	callersName   = "callers"
	readinessName = "readiness"
)

// connLimits returns the limits of the connections of a listener. runOnPlatform calls it for
// each of them.
func connLimits(n *node.Node, listener string, maxConns int) gracefulhttp.Limits {
	return gracefulhttp.Limits{
		MaxConns: maxConns, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout,
		OnLimit: func(r gracefulhttp.Reason) { n.ClientLimitReached(listener, string(r)) },
	}
}

// startServer listens on addr and serves handler there; see serve. runOnPlatform
// calls it for the callers' and the readiness listener.
func startServer(addr string, handler http.Handler, limits gracefulhttp.Limits, results chan error) (*gracefulhttp.Server, error) {
	config := net.ListenConfig{Control: setBufferSizes}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return serve(listener, handler, limits, results), nil
}

// setBufferSizes sets the buffer sizes of a listener, which its connections inherit.
// startServer passes it to the listener.
func setBufferSizes(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes))
	})
	return errors.Join(controlErr, err)
}

// serve serves handler on a goroutine of its own. A later failure of the server is
// sent to results; a shutdown is none. startServer calls it.
func serve(listener net.Listener, handler http.Handler, limits gracefulhttp.Limits, results chan error) *gracefulhttp.Server {
	server := gracefulhttp.New(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
	server.SetLimits(limits)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			results <- err
		}
	}()
	return server
}

// watchSettings reads the settings file again on every signal from changed and every
// settingsReloadInterval, and stores valid settings in currentSettings. It runs on a
// goroutine that runOnPlatform starts, until ctx ends.
func watchSettings(ctx context.Context, changed <-chan os.Signal, currentSettings *atomic.Pointer[platform.Settings]) {
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			fmt.Fprintln(os.Stderr, "the settings file was not reloaded and the previous settings stay in force:", err)
			continue
		}
		currentSettings.Store(&s)
	}
}

// nodeSettings converts the platform's settings to those of the node.
// runOnPlatform calls it once at start.
func nodeSettings(s platform.Settings, learnRunTimes bool) node.Settings {
	return node.Settings{
		Name:             s.Name,
		DataCentre:       s.DataCentre,
		PeerAddr:         s.PeerAddr,
		MetricsAddr:      s.MetricsAddr,
		CPUCores:         s.CPUShare,
		MemoryMB:         s.MemoryMB,
		LinkMbps:         s.LinkMbps,
		LeaseLimit:       s.MaxLease,
		GangTimeout:      s.GangTimeout,
		StatusRetention:  s.StatusRetention,
		ConfigApplyLimit: s.ConfigApplyLimit,
		Grace:            s.GracePeriod,
		RemoteFactor:     s.RemoteFactor,
		QuotaOvershoot:   s.QuotaOvershoot,
		LearnRunTimes:    learnRunTimes,
		OnOwnership:      setGCPercent,
	}
}

// setGCPercent sets the garbage collection target of a VM that owns the cell or does not.
// The node calls it when that changes.
func setGCPercent(ownsCell bool) {
	if ownsCell {
		debug.SetGCPercent(ownerGCPercent)
		return
	}
	debug.SetGCPercent(gcPercent)
}
