// Package node runs an entry VM of a cell: it answers callers, follows the
// store, and owns the cell while no other VM does.
package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/structs"
)

// Settings are a node's settings.
type Settings struct {
	Name       string
	DataCentre string
	// PeerAddr is the address for other entry VMs.
	PeerAddr    string
	MetricsAddr string
	// CPUCores is the share of a core that the VM has; larger VMs claim first.
	CPUCores        float64
	LeaseLimit      time.Duration
	GangTimeout     time.Duration
	StatusRetention time.Duration
	Grace           time.Duration
	RemoteFactor    float64
}

// Decoder decodes the records of others' topics.
type Decoder interface {
	// Config decodes a configuration; ok is false for records of other matters.
	Config(key string, value []byte) (config *cell.Config, ok bool, err error)
	Worker(key string, value []byte) (cell.Worker, error)
}

// Ports are a node's ways to the platform.
type Ports struct {
	Store   cell.Store
	Workers cell.WorkerClient
	Advisor cell.Advisor
	Decoder Decoder
}

// Node is one entry VM.
type Node struct {
	settings Settings
	// store is reached by path.
	store    cell.Store
	path     *storePath
	workers  cell.WorkerClient
	advisor  cell.Advisor
	decoder  Decoder
	log      hclog.Logger
	metrics  *metrics
	mirror   *mirror
	instance string

	config   atomic.Pointer[cell.Config]
	jobs     *tail
	progress *tail
	configs  *tail
	election *election.Election

	// owner is the newest record of an owner.
	owner   atomic.Pointer[election.Record]
	mu      sync.Mutex
	control *control
	peers   map[string]cellpb.Cell
	http    *http.Client

	committer *committer
	// heard is the owner's last answer to a greeting.
	heard atomic.Pointer[heardOwner]
	// beatAt is when the store accepted this owner's last beat, in boot time.
	beatAt atomic.Int64
	// holding is true while this VM has the newest claim, also before it has read
	// the state.
	holding atomic.Bool
	// began is when the process began, in boot time.
	began time.Duration
	// unheardAt is when the owner last read a submission that it had not heard
	// of, in boot time.
	unheardAt atomic.Int64
	// refusals bounds the lines about refused submissions, under mu.
	refusals budget
	// pendings are the counts of waiting jobs as the owner told them.
	pendings  atomic.Pointer[map[string]int32]
	pendingAt atomic.Int64
	// metAt is when met last changed, under mu.
	metAt time.Duration
	// met holds the addresses of other VMs, under mu.
	met []string
	// relays are the VMs that the store answers, as the owner told.
	relays atomic.Pointer[[]string]
	// answered are the VMs which said that the store answers them, under mu.
	answered map[string]relay
	draining atomic.Bool
	// ownCtx ends when this VM may own the cell no longer.
	ownCtx     context.Context
	stopOwning context.CancelFunc
}

// New returns a node that has not started. Log lines go to out.
func New(settings Settings, ports Ports, out io.Writer) *Node {
	n := &Node{
		settings: settings,
		workers:  ports.Workers,
		advisor:  ports.Advisor,
		decoder:  ports.Decoder,
		log:      newLogger(out, settings.Name),
		mirror:   newMirror(),
		instance: ulid.Make().String(),
		began:    boot(),
		peers:    map[string]cellpb.Cell{},
		answered: map[string]relay{},
		http:     peerTransport(),
	}
	n.path = &storePath{direct: ports.Store, peers: n.peersForStore, log: func(message string, details ...any) {
		n.log.Warn(message, details...)
	}}
	n.store = n.path
	n.ownCtx, n.stopOwning = context.WithCancel(context.Background())
	n.metrics = newMetrics(func() float64 { return float64(n.mirror.size()) })
	n.jobs = n.newTail(cell.TopicJobs, n.readJobs)
	n.progress = n.newTail(cell.TopicProgress, n.takeProgress)
	n.configs = n.newTail(cell.TopicConfig, n.takeConfigs)
	n.committer = newCommitter(n.commit, n.path.lastLatency, n.log, func() time.Duration { return time.Duration(n.jobs.readAt.Load()) })
	n.election = election.New(n.store, election.Options{
		Node:     settings.Name,
		Addr:     settings.PeerAddr,
		Instance: n.instance,
		Delay:    claimDelay(settings),
		Now:      boot,
		Alive:    n.alive,
		Latency:  n.path.lastLatency,
		Seen:     n.ownerSeen,
		Beaten:   n.beaten,
		Log:      func(message string, details ...any) { n.log.Info(message, details...) },
	})
	return n
}

func (n *Node) newTail(topic cell.Topic, take func([]cell.KeyValue)) *tail {
	return &tail{store: n.store, topic: topic, take: take, woken: make(chan struct{}, 1), report: func(message string, details ...any) {
		n.log.Info(message, details...)
	}}
}

const (
	// claimSpread is the longest delay of a claim, for the smallest VM.
	claimSpread = 200 * time.Millisecond
	// claimJitter separates VMs of one size.
	claimJitter = 100 * time.Millisecond
)

const (
	// standbyProcessor is the share of a core from which a VM follows the jobs, so
	// that it can take over at once. Smaller VMs would spend it on reading.
	standbyProcessor = 0.35
	// claimLast is the further delay of the claims of VMs that do not.
	claimLast = 1200 * time.Millisecond
)

// standby reports whether a VM follows the jobs while it does not own the cell.
func standby(s Settings) bool { return s.CPUCores >= standbyProcessor }

// follows reports whether this VM knows the states of all jobs.
func (n *Node) follows() bool {
	return n.owning() != nil || standby(n.settings) && n.jobs.loaded.Load() && n.progress.loaded.Load()
}

// claimDelay lets VMs with more processor claim first.
func claimDelay(s Settings) time.Duration {
	delay := time.Duration(float64(claimSpread) * max(0, 1-s.CPUCores))
	if !standby(s) {
		delay += claimLast
	}
	var sum int
	for _, c := range s.Name {
		sum = (sum*31 + int(c)) % 1009
	}
	return delay + claimJitter*time.Duration(sum)/1009
}

// Run runs the node until the context ends, then gives the ownership up.
func (n *Node) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", n.settings.PeerAddr)
	if err != nil {
		return &structs.Error{Step: "listen for peers", Peer: n.settings.PeerAddr, Cause: err}
	}
	server := &http.Server{Handler: cellpb.NewCellServer(&rpcServer{node: n}), ReadHeaderTimeout: peerDialTimeout}
	go func() {
		if err := server.Serve(peers); err != nil && !eris.Is(err, http.ErrServerClosed) {
			n.log.Error("peers' server ended", "error", err.Error())
		}
	}()
	defer server.Close()
	n.serveMetrics(ctx)
	n.log.Info("node starts", "data_centre", n.settings.DataCentre, "instance", n.instance)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.followConfigs, n.followJobs, n.followProgress, n.campaign, n.greetOwner, n.collect, n.committer.run,
	} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	n.log.Info("node has stopped")
	return nil
}

// serveMetrics serves metrics; a node without them still works.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.settings.MetricsAddr == "" {
		return
	}
	listener, err := net.Listen("tcp", n.settings.MetricsAddr)
	if err != nil {
		n.log.Error("metrics are not served", "address", n.settings.MetricsAddr, "error", err.Error())
		return
	}
	server := &http.Server{Handler: n.metrics.handler(), ReadHeaderTimeout: peerDialTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			n.log.Error("metrics server ended", "error", err.Error())
		}
	}()
	context.AfterFunc(ctx, func() { server.Close() })
}

// configEvery is how often the configuration is read. It is in force after 2 s;
// the owner's answers to greetings tell of a new version sooner.
const configEvery = 800 * time.Millisecond

// followConfigs reads the configuration.
func (n *Node) followConfigs(ctx context.Context) {
	n.configs.follow(ctx, func() time.Duration { return 0 }, func() time.Duration { return configEvery })
}

// followJobs reads submissions. The owner hears of them from the other VMs; if
// some arrive by reading first, it waits for them at the store.
func (n *Node) followJobs(ctx context.Context) {
	for !standby(n.settings) && n.owning() == nil && ctx.Err() == nil {
		// Reads nothing, but keeps looking whether the store answers.
		n.watchStore(ctx)
	}
	unheard := func() bool { return boot()-time.Duration(n.unheardAt.Load()) < unheardFor }
	wait := func() time.Duration {
		if n.owning() != nil && unheard() {
			return ownerWait
		}
		return 0
	}
	every := func() time.Duration {
		if n.owning() != nil {
			return ownerEvery
		}
		return followEvery
	}
	n.jobs.follow(ctx, wait, every)
}

// watchStore notes that the store answers by reading the configuration, as a VM
// that follows nothing else does anyway.
func (n *Node) watchStore(ctx context.Context) {
	n.jobs.readAt.Store(n.configs.readAt.Load())
	pause(ctx, ownerEvery)
}

// followProgress reads the progress; the owner knows what it writes itself.
func (n *Node) followProgress(ctx context.Context) {
	for ctx.Err() == nil {
		if n.owning() != nil || !standby(n.settings) {
			pause(ctx, ownerEvery)
			continue
		}
		_, err := n.progress.read(ctx, 0)
		n.progress.logChange(err)
		pause(ctx, followEvery)
	}
}

// takeConfigs takes a newer configuration; versions never go back.
func (n *Node) takeConfigs(records []cell.KeyValue) {
	for _, r := range records {
		config, ok, err := n.decoder.Config(r.Key, r.Value)
		if err != nil {
			n.log.Error("configuration cannot be read", "key", r.Key, "error", err.Error())
			continue
		}
		if !ok {
			continue
		}
		if old := n.config.Load(); old != nil && config.Version <= old.Version {
			continue
		}
		n.config.Store(config)
		n.log.Info("configuration is in force", "version", config.Version, "queues", len(config.Queues))
	}
}

// readJobs takes over what was read of topic jobs.
func (n *Node) readJobs(records []cell.KeyValue) {
	if n.takeJobs(records) && n.owning() != nil {
		n.unheardAt.Store(int64(boot()))
	}
}

// takeJobs takes submissions and cancellings over, passes new ones on to the
// control loop if this VM owns the cell, and reports whether there were any.
func (n *Node) takeJobs(records []cell.KeyValue) (fresh bool) {
	for _, kv := range records {
		r, err := cell.ParseRecord(kv.Key, kv.Value)
		if err != nil {
			n.log.Error("record of a job cannot be read", "error", err.Error())
			continue
		}
		ch := n.mirror.apply(r)
		fresh = fresh || ch.fresh
		// A new owner sets its control loop before it reads the mirror, so that a
		// record is in the one or reaches the other.
		if c := n.owning(); c != nil && ch.fresh {
			c.passOn(r, n.log)
		}
	}
	return fresh
}

func (n *Node) takeProgress(records []cell.KeyValue) {
	for _, kv := range records {
		r, err := cell.ParseRecord(kv.Key, kv.Value)
		if err != nil {
			n.log.Error("record of progress cannot be read", "error", err.Error())
			continue
		}
		n.mirror.apply(r)
	}
}

// owning returns the control loop while this VM owns the cell.
func (n *Node) owning() *control {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

func (n *Node) setControl(c *control) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.control = c
}

func (n *Node) ownerSeen(r election.Record) {
	old := n.owner.Swap(&r)
	if old == nil || old.Term != r.Term || old.Resigned != r.Resigned {
		n.log.Info("owner of the cell", "owner", r.Node, "term", r.Term, "resigned", r.Resigned)
	}
}
