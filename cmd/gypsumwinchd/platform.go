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
	"gypsumwinch/platform"
)

const (
	// settingsEvery is how often the settings file is read for changes that come
	// without a signal.
	settingsEvery = 5 * time.Second
	// outOfRotation is the time after which the balancer sends no new callers:
	// two missed questions, one a second, and the answers under way.
	outOfRotation = 2500 * time.Millisecond
	// stopMargin is kept of the grace for the process to end.
	stopMargin = 700 * time.Millisecond
	// memoryShare is the share of the memory limit at which the garbage collector
	// works harder rather than let the process be killed.
	memoryShare = 0.7
	// gcPercent trades processor time for memory; both are priced.
	gcPercent = 100
	// Limits of callers' connections. The operators' limits are the same at all
	// sites seen so far.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// decoder decodes the records of the platform's topics.
type decoder struct{}

func (decoder) Config(key string, value []byte) (*cell.Config, bool, error) {
	return platform.DecodeConfig(key, value)
}

func (decoder) Worker(key string, value []byte) (cell.Worker, error) {
	return platform.DecodeWorker(key, value)
}

// runOnPlatform runs one entry VM on the users' platform.
func runOnPlatform(stop context.Context) int {
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	current := &atomic.Pointer[platform.Settings]{}
	current.Store(&settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go followSettings(ctx, current)

	n := node.New(nodeSettings(settings), node.Ports{
		Store:   platform.NewStore(func() string { return current.Load().StoreAddr }),
		Workers: platform.NewWorkerClient(),
		Advisor: platform.NewAdvisor(func() string { return current.Load().AdviceAddr }),
		Decoder: decoder{},
	}, os.Stdout)
	ended := make(chan error, 3)
	go func() { ended <- n.Run(ctx) }()
	callers, err := listen(settings.CallerAddr, platform.NewIngress(n), ended)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ready, err := listen(settings.ReadinessAddr, platform.NewReadiness(n), ended)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer ready.Close()
	select {
	case err := <-ended:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case <-stop.Done():
	}
	return drain(n, callers, cancel, ended, settings.GracePeriod)
}

// drain leaves the rotation, gives the ownership up and finishes the requests
// in flight.
func drain(n *node.Node, callers *http.Server, cancel context.CancelFunc, ended chan error, grace time.Duration) int {
	began := time.Now()
	n.Drain()
	n.ResignOwnership()
	time.Sleep(min(outOfRotation, grace/2))
	callers.SetKeepAlivesEnabled(false)
	ctx, stop := context.WithTimeout(context.Background(), grace-stopMargin-time.Since(began))
	defer stop()
	code := exitOK
	if err := callers.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "requests were in flight at the end of the grace:", err)
		code = exitFailed
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(stopMargin / 2):
	}
	return code
}

// listen serves a handler at an address.
func listen(addr string, handler http.Handler, ended chan error) (*http.Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			ended <- err
		}
	}()
	return server, nil
}

// followSettings reads the settings again after SIGHUP and every few seconds.
func followSettings(ctx context.Context, current *atomic.Pointer[platform.Settings]) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			fmt.Fprintln(os.Stderr, "settings are kept as they were:", err)
			continue
		}
		current.Store(&s)
	}
}

// nodeSettings takes what the node needs.
func nodeSettings(s platform.Settings) node.Settings {
	return node.Settings{
		Name:            s.Name,
		DataCentre:      s.DataCentre,
		PeerAddr:        s.PeerAddr,
		MetricsAddr:     s.MetricsAddr,
		CPUCores:        s.CPUShare,
		LeaseLimit:      s.MaxLease,
		GangTimeout:     s.GangTimeout,
		StatusRetention: s.StatusRetention,
		Grace:           s.GracePeriod,
		RemoteFactor:    s.RemoteFactor,
	}
}
