package node

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
)

// Greetings between entry VMs. Each VM greets the owner, which so learns whom it
// may have ask for advice; the answer tells whether the owner is well, which
// saves reads of the store. If the owner does not answer, other VMs are asked
// who it is.

const (
	// greetEvery is how often a VM greets the owner.
	greetEvery = 250 * time.Millisecond
	// greetTimeout bounds a greeting.
	greetTimeout = 200 * time.Millisecond
	// heardFresh is how long an answer of the owner counts: one greeting may be
	// lost.
	heardFresh = 2*greetEvery + 50*time.Millisecond
	// pendingEvery is how often a VM that does not follow the jobs asks for the
	// counts of waiting ones, which may be 2 s old.
	pendingEvery = 800 * time.Millisecond
	// knownMost bounds the VMs that are remembered and passed on.
	knownMost = 256
)

// heardOwner is the owner's last answer.
type heardOwner struct {
	at time.Duration
	// instance is the process that answered.
	instance string
	well     bool
	offset   int64
	// silent is set when a later greeting was not answered.
	silent bool
}

// ownerPeer returns the client of the owner, or nil if there is none or it is
// this VM.
func (n *Node) ownerPeer() cellpb.Cell {
	r := n.owner.Load()
	if r == nil || r.Resigned || r.Addr == n.settings.PeerAddr {
		return nil
	}
	return n.peer(r.Addr)
}

// ownerAnswers returns the client of an owner that answered lately.
func (n *Node) ownerAnswers() cellpb.Cell {
	h := n.heard.Load()
	r := n.owner.Load()
	if h == nil || r == nil || r.Instance != h.instance || h.silent || boot()-h.at > heardFresh {
		return nil
	}
	return n.ownerPeer()
}

// unheard returns the last answer as one that counts no more.
func (n *Node) unheard() *heardOwner {
	h := n.heard.Load()
	if h == nil {
		return nil
	}
	return &heardOwner{at: h.at, instance: h.instance, offset: h.offset, silent: true}
}

// alive tells the election what the owner said of itself.
func (n *Node) alive() election.Heard {
	h := n.heard.Load()
	r := n.owner.Load()
	if h == nil || r == nil || r.Resigned || r.Instance != h.instance {
		return election.Heard{}
	}
	age := boot() - h.at
	fresh := age <= heardFresh && !h.silent
	if fresh && !h.well {
		// It lives and repeats its beats: its age says nothing about them.
		return election.Heard{}
	}
	return election.Heard{Well: h.well && fresh, Offset: h.offset, Age: age}
}

// meet remembers a VM and reports whether it is new.
func (n *Node) meet(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr == n.settings.PeerAddr || slices.Contains(n.met, addr) || len(n.met) >= knownMost {
		return false
	}
	n.met = append(n.met, addr)
	n.metAt = boot()
	return true
}

// newsFor is how long the list of VMs is passed on after it has changed, and
// again every so often.
const newsFor = 2 * time.Second

// metRecently reports whether the list of VMs is to be passed on.
func (n *Node) metRecently() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return boot()-n.metAt < newsFor
}

// known returns the VMs that were met.
func (n *Node) known() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.met)
}

// greetOwner greets the owner, or others if it does not answer.
func (n *Node) greetOwner(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		if n.owning() == nil && !n.greet(ctx) {
			n.askAround(ctx, turn)
		}
		pause(ctx, greetEvery)
	}
}

// greet greets the owner and reports whether it answered as such.
func (n *Node) greet(ctx context.Context) bool {
	r := n.owner.Load()
	p := n.ownerPeer()
	if p == nil {
		return false
	}
	resp, err := n.hello(ctx, p)
	if err != nil {
		n.heard.CompareAndSwap(n.heard.Load(), n.unheard())
		if refused(err) {
			n.election.Suspect(r.Instance)
		}
		return false
	}
	if resp.Instance != r.Instance {
		// Another process answers at the owner's address.
		n.election.Suspect(r.Instance)
		return false
	}
	if resp.Owner == nil || resp.Owner.Instance != resp.Instance {
		return false
	}
	n.heard.Store(&heardOwner{at: boot(), instance: resp.Instance, well: resp.Well, offset: resp.Offset})
	return true
}

// hello greets a VM and takes over what it knows.
func (n *Node) hello(ctx context.Context, p cellpb.Cell) (*cellpb.HelloResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	wanted := !n.follows() && boot()-time.Duration(n.pendingAt.Load()) > pendingEvery
	resp, err := p.Hello(ctx, &cellpb.HelloRequest{
		Name:        n.settings.Name,
		Addr:        n.settings.PeerAddr,
		WantPending: wanted,
		Follows:     standby(n.settings) && n.follows() && !n.draining.Load(),
		AgeMs:       (boot() - n.began).Milliseconds(),

		StoreAnswers: n.path.answers(),
	})
	if err != nil {
		return nil, err
	}
	if wanted && resp.Pending != nil {
		n.pendings.Store(&resp.Pending)
		n.pendingAt.Store(int64(boot()))
	}
	for _, addr := range resp.Peers {
		n.meet(addr)
	}
	if len(resp.Relays) > 0 {
		n.relays.Store(&resp.Relays)
	}
	if o := resp.Owner; o != nil {
		n.ownerHeard(election.Record{Term: o.Term, Node: o.Node, Addr: o.Addr, Instance: o.Instance, Resigned: o.Resigned})
	}
	if config := n.config.Load(); config != nil && resp.ConfigVersion > config.Version {
		n.configs.wake()
	}
	return resp, nil
}

// askAround asks another VM who owns the cell.
func (n *Node) askAround(ctx context.Context, turn int) {
	met := n.known()
	if len(met) == 0 {
		return
	}
	addr := met[turn%len(met)]
	if _, err := n.hello(ctx, n.peer(addr)); err != nil {
		n.log.Debug("VM does not answer", "peer", addr, "error", err.Error())
	}
}

// refused reports whether a peer's machine answered that no process listens.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ownerHeard takes over what another VM knows about the owner.
func (n *Node) ownerHeard(r election.Record) {
	for {
		old := n.owner.Load()
		if old != nil && (old.Term > r.Term || *old == r || old.Term == r.Term && !r.Resigned) {
			return
		}
		if n.owner.CompareAndSwap(old, &r) {
			n.log.Info("owner of the cell", "owner", r.Node, "term", r.Term, "resigned", r.Resigned, "source", "peer")
			return
		}
	}
}

func (n *Node) ownerToWire() *cellpb.Owner {
	r := n.owner.Load()
	if r == nil {
		return nil
	}
	return &cellpb.Owner{Term: r.Term, Node: r.Node, Addr: r.Addr, Instance: r.Instance, Resigned: r.Resigned}
}

// beatsAccepted reports whether the store accepted a beat of this owner lately.
func (n *Node) beatsAccepted() bool {
	age := boot() - time.Duration(n.beatAt.Load())
	return age < election.ClaimAfter+latencyAllowance*n.path.lastLatency()
}

// latencyAllowance times the store's latency may pass between two beats more.
const latencyAllowance = 3
