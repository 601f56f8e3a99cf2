package node

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/structs"
)

// Hello messages between entry VMs. Each VM sends them to the owner, which
// learns from them which VMs can serve as advice proxies. The answer reports
// whether the owner is healthy, which saves reads of the store. If the owner
// does not answer, the VM asks other VMs who the owner is.

const (
	// helloInterval is the period of hello messages to the owner.
	helloInterval = 250 * time.Millisecond
	// helloTimeout bounds a hello message and its answer.
	helloTimeout = 200 * time.Millisecond
	// hellosPerSecond is the rate of hello messages of VMs that are no followers, above
	// which their interval grows, up to maxHelloInterval: each message costs the owner 0.1
	// ms of processor time. Followers, which replace the owner, keep to helloInterval.
	hellosPerSecond  = 400
	maxHelloInterval = time.Second
	// helloReplySlack is added to two intervals to get the time for which an answer of
	// the owner counts; one hello message may be lost.
	helloReplySlack = 50 * time.Millisecond
	// pendingCountsInterval is how often a VM that does not know all jobs asks
	// for the counts of pending jobs, which may be 2 s old.
	pendingCountsInterval = 800 * time.Millisecond
	// maxKnownPeers bounds the VMs that are remembered and reported to others.
	maxKnownPeers = 2048
)

// ownerReply is the owner's last answer to a hello message.
type ownerReply struct {
	receivedAt time.Duration
	// instance is the process that answered, term the term that it held.
	instance        string
	term            int64
	isHealthy       bool
	heartbeatOffset int64
	// hasMissedHello is true if a later hello message was not answered.
	hasMissedHello bool
}

// ownerClient returns the client of the owner, or nil if there is no owner or
// this VM is the owner. The hello loop, callers' state queries and commits
// call it.
func (n *Node) ownerClient() cellpb.Cell {
	r := n.ownerRecord.Load()
	if !n.isOtherOwner(r) {
		return nil
	}
	return n.peer(r.Addr)
}

// isOtherOwner reports whether a record names an owner that is another VM.
func (n *Node) isOtherOwner(r *election.OwnerRecord) bool {
	return r != nil && !r.Resigned && r.Addr != n.settings.PeerAddr
}

// currentHelloInterval returns the time between two hello messages to an owner that
// answers them.
func (n *Node) currentHelloInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return helloIntervalOf(isFollower(n.settings), len(n.peerAddrs))
}

// helloIntervalOf returns the time between two hello messages of a VM in a cell of that many
// other VMs.
func helloIntervalOf(isFollower bool, peers int) time.Duration {
	if isFollower {
		return helloInterval
	}
	spread := time.Duration(peers) * time.Second / hellosPerSecond
	return max(helloInterval, min(spread, maxHelloInterval))
}

// ownerReplyTTL returns how long an answer of the owner to a hello message counts.
func (n *Node) ownerReplyTTL() time.Duration { return 2*n.currentHelloInterval() + helloReplySlack }

// responsiveOwner returns the client of the owner if it answered within
// ownerReplyTTL, else nil. commit calls it for each batch and while it waits
// for the owner, and the store router when it needs store proxies.
func (n *Node) responsiveOwner() cellpb.Cell {
	reply := n.ownerReply.Load()
	r := n.ownerRecord.Load()
	if reply == nil || r == nil || r.Instance != reply.instance || reply.hasMissedHello || bootTime()-reply.receivedAt > n.ownerReplyTTL() {
		return nil
	}
	return n.ownerClient()
}

// unansweredReply returns a copy of the owner's last answer with
// hasMissedHello set, or nil if there is none. The hello loop calls it when
// the owner has not answered a hello message.
func (n *Node) unansweredReply() *ownerReply {
	reply := n.ownerReply.Load()
	if reply == nil {
		return nil
	}
	return &ownerReply{receivedAt: reply.receivedAt, instance: reply.instance, term: reply.term, heartbeatOffset: reply.heartbeatOffset, hasMissedHello: true}
}

// ownerStatus returns what the owner last reported to this VM, as the election
// needs it. Campaign calls it when it checks the owner, on the goroutine of
// campaign.
func (n *Node) ownerStatus() election.OwnerStatus {
	reply := n.ownerReply.Load()
	r := n.ownerRecord.Load()
	if reply == nil || r == nil || r.Resigned || r.Instance != reply.instance {
		return election.OwnerStatus{}
	}
	age := bootTime() - reply.receivedAt
	isFresh := age <= n.ownerReplyTTL() && !reply.hasMissedHello
	if isFresh && !reply.isHealthy {
		// The owner runs and retries heartbeats that the store does not accept.
		// Without a status, the election waits the full HeartbeatTimeout for one: the
		// Age of this answer must not shorten it.
		return election.OwnerStatus{}
	}
	return election.OwnerStatus{
		Term: reply.term, Instance: reply.instance,
		Healthy: reply.isHealthy && isFresh, HeartbeatOffset: reply.heartbeatOffset, Age: age,
	}
}

// addPeer adds a VM to the known VMs and reports whether it is new. An address that cannot be
// that of a VM is not added. It runs
// for the sender of each hello message received, and in the hello loop for the
// VMs that an answer lists.
func (n *Node) addPeer(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr == n.settings.PeerAddr || slices.Contains(n.peerAddrs, addr) || len(n.peerAddrs) >= maxKnownPeers || structs.ValidateAddr(addr) != nil {
		return false
	}
	n.peerAddrs = append(n.peerAddrs, addr)
	n.peersChangedAt = bootTime()
	return true
}

// peerListShareTTL is how long the list of VMs is included in answers after it
// has changed.
const peerListShareTTL = 2 * time.Second

// hasNewPeers reports whether the list of VMs changed within peerListShareTTL.
// The Hello RPC calls it to decide whether its answer includes the list.
func (n *Node) hasNewPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return bootTime()-n.peersChangedAt < peerListShareTTL
}

// knownPeers returns the addresses of the known VMs, without this one. The
// hello loop, the Hello RPC and the store router call it.
func (n *Node) knownPeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.peerAddrs)
}

// sendHellos sends hello messages until ctx ends: to the owner, or to other
// VMs if the owner does not answer. It is the hello loop, which Run starts on
// its own goroutine; it sends nothing while activeLoop returns a control loop.
func (n *Node) sendHellos(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		interval := helloInterval
		switch {
		case n.activeLoop() != nil:
		case n.helloOwner(ctx):
			interval = n.currentHelloInterval()
		default:
			n.helloNextPeer(ctx, round)
		}
		sleep(ctx, interval)
	}
}

// helloOwner sends a hello message to the owner and reports whether the owner
// answered it. The hello loop calls it every currentHelloInterval, and every helloInterval
// while the owner does not answer. If the owner's
// process has evidently ended, it reports that to the election.
func (n *Node) helloOwner(ctx context.Context) bool {
	// The record is loaded once: the answer of a successor proves nothing of the process
	// that it names.
	record := n.ownerRecord.Load()
	if !n.isOtherOwner(record) {
		return false
	}
	resp, err := n.sendHello(ctx, n.peer(record.Addr))
	if err != nil {
		n.ownerReply.CompareAndSwap(n.ownerReply.Load(), n.unansweredReply())
		if isConnRefused(err) {
			n.election.Suspect(record.Instance)
		}
		return false
	}
	if resp.Instance != record.Instance {
		// Another process answers at the owner's address.
		n.election.ReportEnded(record.Addr, record.Instance)
		return false
	}
	if resp.Owner == nil || resp.Owner.Instance != resp.Instance {
		return false
	}
	n.ownerReply.Store(&ownerReply{receivedAt: bootTime(), instance: resp.Instance, term: resp.Owner.Term, isHealthy: resp.Well, heartbeatOffset: resp.Offset})
	return true
}

// sendHello sends a hello message to a VM and stores the peers, the owner, the
// store proxies and the pending counts from the answer. A newer configuration
// version in the answer triggers a read of the configuration. It runs in the
// hello loop, for the owner and for other VMs.
func (n *Node) sendHello(ctx context.Context, peer cellpb.Cell) (*cellpb.HelloResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	wantPending := !n.knowsAllJobs() && bootTime()-time.Duration(n.pendingCountsAt.Load()) > pendingCountsInterval
	resp, err := peer.Hello(ctx, &cellpb.HelloRequest{
		Name:        n.settings.Name,
		Addr:        n.settings.PeerAddr,
		WantPending: wantPending,
		Follows:     isFollower(n.settings) && n.knowsAllJobs() && !n.isDraining.Load(),
		AgeMs:       (bootTime() - n.startedAt).Milliseconds(),

		StoreAnswers: n.storeRouter.hasRecentAnswer(),
	})
	if err != nil {
		return nil, err
	}
	if wantPending && (resp.HasPending || len(resp.Pending) > 0) {
		n.pendingCounts.Store(&resp.Pending)
		n.pendingCountsAt.Store(int64(bootTime()))
	}
	for _, addr := range resp.Peers {
		n.addPeer(addr)
	}
	proxies := slices.DeleteFunc(resp.Relays, func(addr string) bool { return structs.ValidateAddr(addr) != nil })
	if len(proxies) > 0 {
		n.advertisedProxies.Store(&proxies)
	}
	if o := resp.Owner; o != nil && structs.ValidateAddr(o.Addr) == nil {
		n.setOwnerFromPeer(election.OwnerRecord{Term: o.Term, Node: o.Node, Addr: o.Addr, Instance: o.Instance, Resigned: o.Resigned})
	}
	n.hearConfigVersion(resp.ConfigVersion)
	return resp, nil
}

// helloNextPeer sends a hello message to one of the known VMs, a different one
// each round, to learn who owns the cell. The hello loop calls it when the
// owner is unknown or did not answer.
func (n *Node) helloNextPeer(ctx context.Context, round int) {
	peers := n.knownPeers()
	if len(peers) == 0 {
		return
	}
	addr := peers[round%len(peers)]
	if _, err := n.sendHello(ctx, n.peer(addr)); err != nil {
		n.log.Debug("VM did not answer hello message", "peer", addr, "error", err.Error())
	}
}

// isConnRefused reports whether the peer's machine refused the connection,
// which means that no process listens there. helloOwner calls it with the
// error of an unanswered hello message.
func isConnRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// setOwnerFromPeer stores an owner record that another VM reported, if it is
// newer. The hello loop calls it for each answer that contains one.
func (n *Node) setOwnerFromPeer(r election.OwnerRecord) {
	for {
		old := n.ownerRecord.Load()
		if old != nil && (old.Term > r.Term || *old == r || old.Term == r.Term && !r.Resigned) {
			return
		}
		if n.ownerRecord.CompareAndSwap(old, &r) {
			n.log.Info("owner of the cell", "owner", r.Node, "term", r.Term, "resigned", r.Resigned, "source", "peer")
			return
		}
	}
}

// ownerToProto returns the owner record that this VM knows, or nil, for the
// answer to a hello message. The Hello RPC calls it.
func (n *Node) ownerToProto() *cellpb.Owner {
	r := n.ownerRecord.Load()
	if r == nil {
		return nil
	}
	return &cellpb.Owner{Term: r.Term, Node: r.Node, Addr: r.Addr, Instance: r.Instance, Resigned: r.Resigned}
}

// hasRecentHeartbeat reports whether the store accepted a heartbeat of this VM
// recently enough that no other VM claims the cell. The Hello RPC calls it on
// the VM that holds the term; other VMs receive the result as the owner's
// health.
func (n *Node) hasRecentHeartbeat() bool {
	age := bootTime() - time.Duration(n.heartbeatAt.Load())
	return age < election.HeartbeatTimeout+heartbeatLatencyFactor*n.storeRouter.lastLatency()
}

// heartbeatLatencyFactor is the multiple of the store's latency that is allowed
// between two heartbeats on top of election.HeartbeatTimeout.
const heartbeatLatencyFactor = 3
