package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"gypsumwinch/internal/cell/cellpb"
)

// Store proxies are VMs through which other VMs call the store. The owner
// learns from the hello messages which VMs the store answers, and reports some
// of them in its answers.

const (
	// maxAdvertisedProxies bounds the store proxies in one answer to a hello
	// message.
	maxAdvertisedProxies = 4
)

// proxyCandidate is a VM that reported that the store answers it.
type proxyCandidate struct {
	lastSeen time.Duration
	// isLarge is true for a follower. Followers have the network and CPU capacity
	// for calls of others.
	isLarge bool
}

// proxyList is the list of the usable proxy candidates. The answer to each hello message
// names some of them: if each answer selected them anew, the owner's work would grow with
// the square of the number of VMs.
type proxyList struct {
	large   []string
	small   []string
	builtAt time.Duration
}

// proxyListTTL is how long a proxyList is used if no VM reports a change.
const proxyListTTL = 100 * time.Millisecond

// updateProxyCandidate records whether the store answers a VM. The Hello RPC
// calls it for each hello message that this VM receives.
func (n *Node) updateProxyCandidate(addr string, storeAnswers, isLarge bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, isCandidate := n.proxyCandidates[addr]
	if isCandidate != storeAnswers || old.isLarge != isLarge {
		n.proxyList = nil
	}
	if !storeAnswers {
		delete(n.proxyCandidates, addr)
		return
	}
	n.proxyCandidates[addr] = proxyCandidate{lastSeen: bootTime(), isLarge: isLarge}
}

// proxyCandidateTTL returns how long a hello message of a VM counts in a cell of that many
// other VMs; one may be lost.
func proxyCandidateTTL(isLarge bool, peers int) time.Duration {
	return 2*helloIntervalOf(isLarge, peers) + helloReplySlack
}

// currentProxyList returns the list of the usable proxy candidates. storeProxyAddrs calls
// it with mu held.
func (n *Node) currentProxyList() *proxyList {
	now := bootTime()
	if n.proxyList != nil && now-n.proxyList.builtAt <= proxyListTTL {
		return n.proxyList
	}
	n.proxyList = &proxyList{builtAt: now}
	for addr, p := range n.proxyCandidates {
		switch {
		case now-p.lastSeen > proxyCandidateTTL(p.isLarge, len(n.peerAddrs)):
			delete(n.proxyCandidates, addr)
		case p.isLarge:
			n.proxyList.large = append(n.proxyList.large, addr)
		default:
			n.proxyList.small = append(n.proxyList.small, addr)
		}
	}
	return n.proxyList
}

// storeProxyAddrs returns the addresses of some VMs that the store answers,
// without exclude: large VMs first, otherwise from a random one on. The VM that
// holds the term calls it when it answers a hello message and when it needs
// store proxies itself.
func (n *Node) storeProxyAddrs(exclude string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.currentProxyList()
	out := make([]string, 0, maxAdvertisedProxies)
	for _, addrs := range [][]string{list.large, list.small} {
		if len(addrs) == 0 {
			continue
		}
		start := rand.IntN(len(addrs))
		for i := 0; i < len(addrs) && len(out) < maxAdvertisedProxies; i++ {
			if addr := addrs[(start+i)%len(addrs)]; addr != exclude {
				out = append(out, addr)
			}
		}
	}
	return out
}

// storeProxyClients returns clients of the VMs through which the store may be
// called: store proxies first, those with the lowest measured latency before the others, then
// the owner, then the other known VMs. It
// runs for each call of the store through proxies, and when queryFollowers
// selects the VMs to ask.
func (n *Node) storeProxyClients() []cellpb.Cell {
	var addrs []string
	if n.holdsTerm.Load() {
		addrs = n.storeProxyAddrs(n.settings.PeerAddr)
	} else if advertised := n.advertisedProxies.Load(); advertised != nil {
		addrs = slices.Clone(*advertised)
	}
	n.proxyLatencies.sort(addrs, bootTime())
	if r := n.ownerRecord.Load(); r != nil && n.responsiveOwner() != nil {
		addrs = append(addrs, r.Addr)
	}
	rest := n.knownPeers()
	rand.Shuffle(len(rest), func(i, k int) { rest[i], rest[k] = rest[k], rest[i] })
	var out []cellpb.Cell
	seen := map[string]bool{n.settings.PeerAddr: true}
	for _, addr := range append(addrs, rest...) {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, measuredProxy{Cell: n.peer(addr), addr: addr, latencies: &n.proxyLatencies})
		}
	}
	return out
}
