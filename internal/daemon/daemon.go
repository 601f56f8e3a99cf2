package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/backend"
	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/gracefulhttp"
	"gypsumwinch/internal/peer"
	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/uniqueid"
	"gypsumwinch/internal/workerclient"
)

const (
	// tickInterval is the period of the control loop's time-driven decisions.
	tickInterval = dispatch.TickInterval
	// slowTickInterval is the period of the less urgent decisions, and of all
	// decisions while this VM has no requests.
	slowTickInterval = 100 * time.Millisecond
	// maxQueuedEvents bounds the events that wait for the control loop.
	maxQueuedEvents = 16384
	// drainPollInterval is how often a drain checks whether work is left.
	drainPollInterval = 50 * time.Millisecond
)

var errQueueFull = errors.New("too many records wait for the log")

// event is a message to the control loop, which calls apply on its own
// goroutine.
type event interface {
	apply(c *control)
}

// Daemon is the process of one entry VM. Create it with New and call Run once.
type Daemon struct {
	settings  Settings
	logger    hclog.Logger
	instance  string
	startedAt time.Time

	log      platform.Log
	vmList   platform.VMList
	workers  *workerclient.Client
	servers  *backend.Client
	peers    *peer.Client
	metrics  *metrics
	counters counters

	events        chan event
	view          atomic.Pointer[View]
	writers       map[string]*streamWriter
	readerWakeups map[string]chan struct{}

	draining atomic.Bool
	wg       sync.WaitGroup
}

// Dependencies are the platform clients that tests may replace. Nil clients are
// created from the settings.
type Dependencies struct {
	Log    platform.Log
	VMList platform.VMList
}

// New returns a daemon that is not running. It opens no connection or listener.
func New(settings Settings, logger hclog.Logger, deps Dependencies) *Daemon {
	instance := settings.VM + "-" + uniqueid.New()
	counters := newCounters()
	opts := platform.HTTPOptions{Name: settings.VM, Count: counters.platform}
	if deps.Log == nil {
		deps.Log = platform.NewHTTPLog(settings.Platform.Log, opts)
	}
	if deps.VMList == nil {
		deps.VMList = platform.NewHTTPVMList(settings.Platform.VMList, opts)
	}
	d := &Daemon{
		settings:  settings,
		logger:    logger.With("vm", settings.VM, "data_centre", settings.DataCentre),
		instance:  instance,
		startedAt: time.Now(),
		log:       deps.Log,
		vmList:    deps.VMList,
		workers:   workerclient.New(workerclient.Options{Name: settings.VM, Count: counters.workers}),
		servers: backend.New(backend.Options{
			Name: settings.VM, AnswerLimit: int64(settings.Limits.MaxAnswerBytes),
		}),
		peers:         peer.NewClient(counters.peers),
		counters:      counters,
		events:        make(chan event, maxQueuedEvents),
		writers:       map[string]*streamWriter{},
		readerWakeups: map[string]chan struct{}{},
	}
	d.metrics = newMetrics(d)
	d.view.Store(&View{VM: settings.VM, Instance: instance, DataCentre: settings.DataCentre, OwnerTerm: records.NoTerm, ConfigVersion: records.NoVersion})
	for _, stream := range d.streams() {
		d.writers[stream] = newStreamWriter(d.log, stream, d.logger, func() { d.metrics.countMessage("log append") })
		d.readerWakeups[stream] = make(chan struct{}, 1)
	}
	return d
}

// streams returns the log streams that this VM reads and appends to. New,
// startLoops and newControl call it once each, at the start.
func (d *Daemon) streams() []string {
	return []string{
		records.StreamConfig, records.StreamAudit, records.StreamOwners,
		records.StreamRequests, records.JobsStream(d.settings.DataCentre),
	}
}

// now returns the time since the daemon's start on its monotonic clock.
func (d *Daemon) now() time.Duration {
	return time.Since(d.startedAt)
}

// post sends an event to the control loop. It blocks while the queue is full
// and drops the event if ctx ends first. Any other goroutine may call it, but
// not the control loop, which would wait for itself on a full queue.
func (d *Daemon) post(ctx context.Context, ev event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// Run serves until stop ends, drains, and returns. It returns an error if a
// listener fails. The command gypsumwinchd calls it once; stop ends when the
// process is asked to terminate.
func (d *Daemon) Run(stop context.Context) error {
	listener, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		listener.Close()
		return eris.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.startLoops(ctx)
	callers := gracefulhttp.New(&http.Server{Handler: d.callerHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout})
	peerListener = d.counters.peers.Listener(peerListener)
	peers := &http.Server{Handler: d.peerHandler(ctx), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 2)
	go func() { failed <- callers.Serve(listener) }()
	go func() { failed <- peers.Serve(peerListener) }()
	d.logger.Info("serving", "listen", listener.Addr(), "peer_listen", peerListener.Addr(), "instance", d.instance)
	select {
	case err = <-failed:
		err = eris.Wrap(err, "serve HTTP")
	case <-stop.Done():
		d.drain(ctx, callers)
	}
	peers.Close()
	callers.Close()
	cancel()
	d.wg.Wait()
	return err
}

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection of a caller or peer may be idle.
	idleTimeout = 2 * time.Minute
	// maxFinalAnswerTimeout bounds the part of DrainTimeout, otherwise a quarter, in
	// which requests that have been given up are answered and the slots and the
	// ownership are returned.
	maxFinalAnswerTimeout = 5 * time.Second
)

// startLoops starts the goroutines of the control loop, of the writer and the
// reader of each log stream, and of the reads of the VM list. Run calls it
// once, before it serves HTTP.
func (d *Daemon) startLoops(ctx context.Context) {
	d.spawn(func() { newControl(d, ctx).run() })
	for _, w := range d.writers {
		d.spawn(func() { w.run(ctx) })
	}
	for _, stream := range d.streams() {
		d.spawn(func() { d.readStream(ctx, stream) })
	}
	d.spawn(func() { d.pollVMs(ctx) })
}

// spawn runs f on a new goroutine for which Run waits before it returns.
// startLoops calls it for the daemon's loops, and the control loop for the
// writer of another data centre's jobs stream.
func (d *Daemon) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// drain makes the VM report that it is not ready, lets requests in flight
// finish, answers those that it gives up, returns the slots and releases ownership
// of the data centre. Run calls it when stop ends and waits for it; DrainTimeout
// bounds it.
func (d *Daemon) drain(ctx context.Context, callers *gracefulhttp.Server) {
	d.draining.Store(true)
	callers.Drain()
	timeout := time.Duration(d.settings.DrainTimeout)
	d.logger.Info("draining", "timeout", timeout)
	drainCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	finalAnswerTimeout := min(timeout/4, maxFinalAnswerTimeout)
	requestCtx, cancelRequests := context.WithTimeout(drainCtx, timeout-finalAnswerTimeout)
	defer cancelRequests()
	sleep(requestCtx, time.Duration(d.settings.BalancerDelay))
	if err := callers.Shutdown(requestCtx, finalAnswerTimeout); err != nil {
		d.logger.Warn("caller connections still open at the drain timeout", "error", err)
	}
	d.post(drainCtx, shutdownRequested{})
	for drainCtx.Err() == nil && !d.view.Load().Drained {
		sleep(drainCtx, drainPollInterval)
	}
	d.logger.Info("drained", "complete", d.view.Load().Drained)
}
