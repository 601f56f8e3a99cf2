package node

import (
	"maps"
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
	// proxyCandidateTTL is how long a hello message counts; one may be lost.
	proxyCandidateTTL = ownerReplyTTL
)

// proxyCandidate is a VM that reported that the store answers it.
type proxyCandidate struct {
	lastSeen time.Duration
	// isLarge is true for a follower. Followers have the network and CPU capacity
	// for calls of others.
	isLarge bool
}

// updateProxyCandidate records whether the store answers a VM. The Hello RPC
// calls it for each hello message that this VM receives.
func (n *Node) updateProxyCandidate(addr string, storeAnswers, isLarge bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !storeAnswers {
		delete(n.proxyCandidates, addr)
		return
	}
	n.proxyCandidates[addr] = proxyCandidate{lastSeen: bootTime(), isLarge: isLarge}
}

// storeProxyAddrs returns the addresses of some VMs that the store answers,
// without exclude: large VMs first, otherwise in random order. The VM that
// holds the term calls it when it answers a hello message and when it needs
// store proxies itself.
func (n *Node) storeProxyAddrs(exclude string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := bootTime()
	maps.DeleteFunc(n.proxyCandidates, func(_ string, p proxyCandidate) bool { return now-p.lastSeen > proxyCandidateTTL })
	out := slices.Collect(maps.Keys(n.proxyCandidates))
	out = slices.DeleteFunc(out, func(addr string) bool { return addr == exclude })
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	slices.SortStableFunc(out, func(a, b string) int {
		switch {
		case n.proxyCandidates[a].isLarge == n.proxyCandidates[b].isLarge:
			return 0
		case n.proxyCandidates[a].isLarge:
			return -1
		default:
			return 1
		}
	})
	return out[:min(maxAdvertisedProxies, len(out))]
}

// storeProxyClients returns clients of the VMs through which the store may be
// called: store proxies first, then the owner, then the other known VMs. It
// runs for each call of the store through proxies, and when queryFollowers
// selects the VMs to ask.
func (n *Node) storeProxyClients() []cellpb.Cell {
	var addrs []string
	if n.holdsTerm.Load() {
		addrs = n.storeProxyAddrs(n.settings.PeerAddr)
	} else if advertised := n.advertisedProxies.Load(); advertised != nil {
		addrs = slices.Clone(*advertised)
	}
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
			out = append(out, n.peer(addr))
		}
	}
	return out
}
