// Package node runs one entry VM of a cell. It connects the state machine of
// package owner and the election of package election to the network: it runs
// their goroutines, reads and appends topics of the store, directly or through
// other VMs, serves callers and the RPCs between entry VMs, and writes logs and
// metrics. While this VM holds the current term, it runs the control loop of
// the owner.
//
// The package makes no scheduling decisions (see package owner), does not
// decide who owns the cell (see package election), and contains no clients of
// the store, the workers or the advice service: those come in through Ports.
//
// Read Node first: Run lists the loops of a VM. Then read campaign and
// runOwnership, which make this VM the owner, and controlLoop, which runs the
// owner's state machine.
//
// Package cell defines the terms of the data. In addition:
//
//   - A cell is all entry VMs and workers of a deployment; one elected entry VM,
//     the owner, schedules its jobs. An entry VM (below: VM) accepts requests of callers; every VM runs this package.
//   - A term is the number of one
//     ownership; a VM holds a term from its claim until it resigns or another VM
//     claims the cell. The owner proves that it runs by heartbeats: records that
//     it appends to its topic in the store. A takeover is the start of a term, in
//     which the new owner loads the recorded state.
//   - A follower is a VM with enough CPU capacity to read topics jobs and progress
//     all the time. It knows the states of all jobs and can take over at once.
//   - The replica is a VM's copy of topics jobs and progress in memory.
//   - The control loop is the goroutine on which the owner runs its state machine
//     for one term; see controlLoop. A tick is its regular event, once every
//     tickInterval. A flush appends the progress records that changed, in one
//     batch.
//   - A topic reader reads one topic of the store in order, on a goroutine of its
//     own, and applies each record; see topicReader.
//   - The store router makes all calls of the store by this VM; see storeRouter. A
//     direct call goes from this VM to the store. A store proxy is another VM that
//     makes the call instead, by a direct call of its own. A hedged call is a
//     direct call that is repeated through a store proxy because the store has not
//     answered in time or the direct call has failed; the first answer of the
//     store counts.
//   - An advice proxy is a VM through which the owner queries the advice service.
//   - A hello message is a short RPC that each VM sends to the owner, or to other
//     VMs while no owner answers, once every helloInterval, in its hello loop. The
//     answer reports the owner, its health and other VMs.
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
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/uniqueid"
)

// Settings configure a Node. They do not change while it runs.
type Settings struct {
	// Name identifies the VM in owner records and in log lines.
	Name string
	// DataCentre is the data centre of the VM.
	DataCentre string
	// PeerAddr is the address at which this VM serves the RPCs between entry VMs.
	PeerAddr string
	// MetricsAddr is the address of the metrics endpoint; if it is empty, no
	// metrics are served.
	MetricsAddr string
	// CPUCores is the CPU capacity of the VM in cores, usually a fraction of one.
	// VMs with more of it claim the cell first.
	CPUCores float64
	// MemoryMB is the memory limit of the process; 0 if it is not known.
	MemoryMB int64
	// LinkMbps is the speed of the VM's network link in Mbit/s; 0 if it is not known.
	LinkMbps float64
	// LeaseLimit, GangTimeout, RemoteFactor, QuotaOvershoot and LearnRunTimes are passed to
	// the state machine; see owner.Options.
	LeaseLimit  time.Duration
	GangTimeout time.Duration
	// StatusRetention is how long the state of a finished job is kept.
	StatusRetention time.Duration
	// ConfigApplyLimit is how long after its acknowledgement a configuration must be in force; 0
	// if there is no such limit.
	ConfigApplyLimit time.Duration
	// Grace is the time between SIGTERM and SIGKILL. The node does not use it.
	Grace          time.Duration
	RemoteFactor   float64
	QuotaOvershoot float64
	LearnRunTimes  bool
	// OnOwnership, if set, is called when this VM begins to own the cell, with true, and
	// when that ends. The calls do not overlap.
	OnOwnership func(owns bool)
}

// Decoder decodes records of topics that other programs write.
type Decoder interface {
	// Config decodes a configuration. ok is false for a record that is not a
	// configuration.
	Config(key string, value []byte) (config *cell.Config, ok bool, err error)
	// Worker decodes the entry of a worker.
	Worker(key string, value []byte) (cell.Worker, error)
}

// Ports are the interfaces through which a node reaches the rest of the
// platform.
type Ports struct {
	Store   cell.Store
	Workers cell.WorkerClient
	Advisor cell.Advisor
	Decoder Decoder
}

// Node is one entry VM. Create it with New and run it once with Run. The
// methods that serve callers are safe for concurrent use.
type Node struct {
	settings Settings
	// store is storeRouter; everything but serving other VMs goes through it.
	store       cell.Store
	storeRouter *storeRouter
	workers     cell.WorkerClient
	advisor     cell.Advisor
	decoder     Decoder
	logWriter   *asyncWriter
	log         hclog.Logger
	metrics     *metrics
	// customerMetrics count submissions by customer.
	customerMetrics *customerMetrics
	panics          panicReporter
	replica         *replica
	instance        string

	// config is the configuration in force, or nil.
	config         atomic.Pointer[cell.Config]
	configLag      configLag
	sharedConfig   *sharedConfig
	jobsReader     *topicReader
	progressReader *topicReader
	configReader   *topicReader
	election       *election.Election

	// ownerRecord is the newest owner record that this VM has received.
	ownerRecord atomic.Pointer[election.OwnerRecord]
	// leaseStatement is what heartbeats of this VM record about the leases of workers
	// that do not answer; nil while it is not the owner and during its takeover.
	leaseStatement atomic.Pointer[owner.LeaseStatement]
	mu             sync.Mutex
	// loop is the control loop while this VM owns the cell. Guarded by mu.
	loop *controlLoop
	// peerClients are the clients of other VMs, by address. Guarded by mu.
	peerClients map[string]cellpb.Cell
	httpClient  *http.Client

	committer *committer
	// ownerReply is the owner's last answer to a hello message.
	ownerReply atomic.Pointer[ownerReply]
	// heartbeatAt is the boot time at which the last call was sent that showed that
	// this VM owns the cell: a claim or a heartbeat that the store accepted.
	heartbeatAt atomic.Int64
	// holdsTerm is true while this VM holds the current term, also before it has
	// loaded the state.
	holdsTerm atomic.Bool
	// startedAt is the boot time at which the process started.
	startedAt time.Duration
	// unnotifiedAt is the boot time at which the owner last read a submission
	// that no VM had notified it of.
	unnotifiedAt atomic.Int64
	// refusalLimiter limits the log lines about refused submissions,
	// invalidKeyLimiter those about calls without a valid key, acceptedCancelLimiter and
	// deniedCancelLimiter those about cancellations. Guarded by mu.
	refusalLimiter        logLimiter
	invalidKeyLimiter     logLimiter
	acceptedCancelLimiter logLimiter
	deniedCancelLimiter   logLimiter
	clientLimitLog        clientLimitLog
	// pendingCounts are the numbers of pending jobs by queue, as reported by the
	// owner.
	pendingCounts   atomic.Pointer[map[string]int32]
	pendingCountsAt atomic.Int64
	// peersChangedAt is the boot time at which peerAddrs last changed. Guarded by
	// mu.
	peersChangedAt time.Duration
	// peerAddrs are the addresses of the other entry VMs. Guarded by mu.
	peerAddrs []string
	// advertisedProxies are the addresses of store proxies that the owner
	// reported.
	advertisedProxies atomic.Pointer[[]string]
	// proxyCandidates are the VMs that reported that the store answers them, by
	// address. Guarded by mu.
	proxyCandidates map[string]proxyCandidate
	// proxyLatencies are those of the store proxies that this VM has called lately.
	proxyLatencies proxyLatencies
	// proxyList lists the usable ones of proxyCandidates; nil if it has to be built.
	// Guarded by mu.
	proxyList  *proxyList
	isDraining atomic.Bool
	// ownershipCtx ends when this VM may no longer own the cell.
	ownershipCtx    context.Context
	cancelOwnership context.CancelFunc
	// takeoverTimeout bounds a takeover that fails; see defaultTakeoverTimeout.
	takeoverTimeout time.Duration
}

// New returns a node that has not started. It writes log lines to out. The
// daemon (cmd/gypsumwinchd) calls it once when it starts.
func New(settings Settings, ports Ports, out io.Writer) *Node {
	logWriter := newAsyncWriter(out)
	n := &Node{
		settings:        settings,
		logWriter:       logWriter,
		log:             newLogger(logWriter, settings.Name),
		replica:         newReplica(),
		instance:        settings.Name + "-" + uniqueid.New(),
		startedAt:       bootTime(),
		peerClients:     map[string]cellpb.Cell{},
		proxyCandidates: map[string]proxyCandidate{},
		httpClient:      newPeerHTTPClient(),
		takeoverTimeout: defaultTakeoverTimeout,
	}
	n.metrics = newMetrics(func() float64 { return float64(n.replica.size()) })
	n.customerMetrics = newCustomerMetrics(n.metrics.registry)
	n.panics = panicReporter{log: n.log, metrics: n.metrics}
	n.workers = containedWorkers{ports.Workers, n.panics}
	n.advisor = containedAdvisor{ports.Advisor, n.panics}
	n.decoder = containedDecoder{ports.Decoder, n.panics}
	n.storeRouter = &storeRouter{direct: containedStore{ports.Store, n.panics}, proxies: n.storeProxyClients, newestTimeout: defaultNewestTimeout, now: bootTime, log: func(message string, details ...any) {
		n.log.Warn(message, details...)
	}}
	n.store = n.storeRouter
	n.ownershipCtx, n.cancelOwnership = context.WithCancel(context.Background())
	n.jobsReader = n.newTopicReader(cell.TopicJobs, n.applyReadJobRecords)
	n.progressReader = n.newTopicReader(cell.TopicProgress, n.applyProgressRecords)
	n.jobsReader.knownKeys = n.replica.submissionKeys
	n.progressReader.knownKeys = n.replica.progressKeys
	n.configReader = n.newTopicReader(cell.TopicConfig, n.applyConfigRecords)
	n.sharedConfig = &sharedConfig{reader: n.configReader}
	n.committer = newCommitter(n.commit, n.storeRouter.lastLatency, n.log, func() time.Duration { return time.Duration(n.jobsReader.lastReadAt.Load()) })
	n.election = election.New(n.store, election.Options{
		Node:         settings.Name,
		Addr:         settings.PeerAddr,
		Instance:     n.instance,
		ClaimDelay:   claimDelay(settings),
		Now:          bootTime,
		OwnerStatus:  n.ownerStatus,
		StoreLatency: n.storeRouter.lastLatency,
		OnRecord:     n.setOwnerFromStore,
		OnHeartbeat:  n.heartbeatAccepted,
		Leases:       n.statedLeases,
		OnLeases:     n.leaseStatementAccepted,
		Log:          func(message string, details ...any) { n.log.Info(message, details...) },
	})
	return n
}

const (
	// maxCPUClaimDelay is the claim delay of a VM without CPU capacity; VMs with
	// more capacity wait less.
	maxCPUClaimDelay = 200 * time.Millisecond
	// maxClaimJitter bounds the additional delay that separates VMs of the same
	// size.
	maxClaimJitter = 100 * time.Millisecond
)

const (
	// minFollowerCores is the CPU capacity from which a VM is a follower: it
	// reads the jobs all the time, so that it can take over at once. Smaller VMs
	// would spend their CPU time on reading.
	minFollowerCores = 0.35
	// nonFollowerClaimDelay is added to the claim delay of VMs that are not
	// followers.
	nonFollowerClaimDelay = 1200 * time.Millisecond
)

// minFollowerLinkMbps is the slowest link of a follower, in Mbit/s. An owner of 350 workers sends
// and receives 0.5 MB a second, and several times as much after a takeover, so that one with 10
// Mbit/s answers all calls late.
const minFollowerLinkMbps = 20

// isFollower reports whether a VM reads the states of all jobs while it does
// not own the cell. A link of unknown speed counts as fast enough.
func isFollower(s Settings) bool {
	return s.CPUCores >= minFollowerCores && (s.LinkMbps == 0 || s.LinkMbps >= minFollowerLinkMbps)
}

// knowsAllJobs reports whether this VM knows the states of all jobs: as the
// owner, or as a follower that has loaded both topics. Ready checks it, since a
// follower takes callers only then. findJob and lookUp check it to answer from
// the replica instead of asking the followers, Pending to count a queue's jobs
// itself. The hello loop checks it to ask for pending counts or to report this
// VM as a follower; the RPCs check it to report the same and to return counts.
func (n *Node) knowsAllJobs() bool {
	return n.activeLoop() != nil || isFollower(n.settings) && n.jobsReader.isLoaded.Load() && n.progressReader.isLoaded.Load()
}

// maxAbsenceAge is the age of the last read of the jobs from which this VM no longer
// reports to others that a job does not exist. Jobs must be visible after 3 s.
const maxAbsenceAge = 2500 * time.Millisecond

// provesAbsence reports whether a job that this VM does not know does not exist. The
// State RPC calls it on a VM that knows all jobs.
func (n *Node) provesAbsence() bool {
	return n.hasReadProgress() && bootTime()-time.Duration(n.jobsReader.lastSentAt.Load()) < maxAbsenceAge
}

// hasReadProgress reports whether this VM knows the states that were recorded before it
// loaded the jobs. Otherwise it does not know a job that has ended and whose submission was
// deleted before the load. A follower has read topic progress since the load. An owner
// has recorded all states itself if it still owned the cell after the load: a heartbeat
// that was sent later has been accepted. Without one it may have been deposed.
func (n *Node) hasReadProgress() bool {
	loadedAt := n.jobsReader.loadedAt.Load()
	return n.progressReader.lastSentAt.Load() >= loadedAt || n.activeLoop() != nil && n.heartbeatAt.Load() >= loadedAt
}

// claimDelay returns how long a VM waits before it claims the cell. VMs with
// more CPU capacity wait less. New computes it once.
func claimDelay(s Settings) time.Duration {
	delay := time.Duration(float64(maxCPUClaimDelay) * max(0, 1-s.CPUCores))
	if !isFollower(s) {
		delay += nonFollowerClaimDelay
	}
	var sum int
	for _, c := range s.Name {
		sum = (sum*31 + int(c)) % 1009
	}
	return delay + maxClaimJitter*time.Duration(sum)/1009
}

// Run runs the node until ctx ends, then resigns if this VM owns the cell. It
// fails only if it cannot listen on PeerAddr. The daemon calls it once, on its
// own goroutine. Run starts one goroutine for each loop of the node, and
// returns when they have ended.
func (n *Node) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", n.settings.PeerAddr)
	if err != nil {
		return &structs.Error{Step: "listen for peers", Peer: n.settings.PeerAddr, Cause: err}
	}
	handler := n.ContainPanics("rpc", cellpb.NewCellServer(&rpcServer{node: n}))
	server := &http.Server{Handler: handler, ReadHeaderTimeout: peerDialTimeout}
	go func() {
		if err := server.Serve(peerListener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			n.log.Error("RPC server for entry VMs failed", "error", err.Error())
		}
	}()
	defer server.Close()
	n.serveMetrics(ctx)
	n.log.Info("node starts", "data_centre", n.settings.DataCentre, "instance", n.instance)
	var wg sync.WaitGroup
	loops := []struct {
		name string
		run  func(context.Context)
	}{
		{"config", n.pollConfig}, {"jobs", n.pollJobs}, {"progress", n.pollProgress}, {"campaign", n.campaign},
		{"hello", n.sendHellos}, {"garbage", n.collectGarbage}, {"committer", n.committer.run},
	}
	for _, loop := range loops {
		wg.Go(func() { n.runLoop(ctx, loop.name, loop.run) })
	}
	wg.Wait()
	n.log.Info("node has stopped")
	n.logWriter.flush(logFlushTimeout)
	return nil
}

// serveMetrics serves the metrics. Failures are only logged, because a node
// works without them. Run calls it once, before it starts the loops; the
// server runs on its own goroutine until ctx ends.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.settings.MetricsAddr == "" {
		return
	}
	listener, err := net.Listen("tcp", n.settings.MetricsAddr)
	if err != nil {
		n.log.Error("cannot listen for metrics requests", "address", n.settings.MetricsAddr, "error", err.Error())
		return
	}
	server := &http.Server{Handler: n.metrics.handler(), ReadHeaderTimeout: peerDialTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			n.log.Error("metrics server failed", "error", err.Error())
		}
	}()
	context.AfterFunc(ctx, func() { server.Close() })
}

// activeLoop returns the control loop while this VM owns the cell, else nil.
// During a takeover it returns nil until the topics have been read. Any
// goroutine may call it.
func (n *Node) activeLoop() *controlLoop {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loop
}

// setLoop sets the control loop that activeLoop returns. The goroutine of
// campaign calls it once the topics have been read in a takeover, and with nil
// when the ownership ends.
func (n *Node) setLoop(c *controlLoop) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loop = c
}

// setOwnerFromStore stores an owner record that the election has read or
// claimed with. The election calls it for each such record, on the goroutine
// of Campaign or of SendHeartbeats.
func (n *Node) setOwnerFromStore(r election.OwnerRecord) {
	// Other VMs do not report it, and records are compared with theirs.
	r.FormerRenewalsMS, r.Leases = 0, nil
	old := n.ownerRecord.Swap(&r)
	if old == nil || old.Term != r.Term || old.Resigned != r.Resigned {
		n.log.Info("owner of the cell", "owner", r.Node, "term", r.Term, "resigned", r.Resigned)
	}
}
