package node

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumwinch/internal/cell/cellpb"
)

// Relays are VMs through which another one may call the store. The owner knows
// from the greetings which VMs the store answers, and tells all.

const (
	// relaysTold bounds the relays that one answer to a greeting names.
	relaysTold = 4
	// relayFresh is how long a greeting counts: one may be lost.
	relayFresh = heardFresh
)

// relay is a VM that the store answers.
type relay struct {
	at time.Duration
	// large is true for a VM that follows the jobs: such VMs have the links and
	// the processor time for others' calls.
	large bool
}

// noteRelay remembers whether the store answers a VM.
func (n *Node) noteRelay(addr string, answers, large bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !answers {
		delete(n.answered, addr)
		return
	}
	n.answered[addr] = relay{at: boot(), large: large}
}

// freshRelays returns some VMs that the store answers, large ones first and else
// in random order, without the one that asks.
func (n *Node) freshRelays(asking string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := boot()
	maps.DeleteFunc(n.answered, func(_ string, r relay) bool { return now-r.at > relayFresh })
	out := slices.Collect(maps.Keys(n.answered))
	out = slices.DeleteFunc(out, func(addr string) bool { return addr == asking })
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	slices.SortStableFunc(out, func(a, b string) int {
		switch {
		case n.answered[a].large == n.answered[b].large:
			return 0
		case n.answered[a].large:
			return -1
		default:
			return 1
		}
	})
	return out[:min(relaysTold, len(out))]
}

// peersForStore returns clients of the VMs through which the store may be
// called: relays first, then the owner, then the others.
func (n *Node) peersForStore() []cellpb.Cell {
	var addrs []string
	if n.holding.Load() {
		addrs = n.freshRelays(n.settings.PeerAddr)
	} else if told := n.relays.Load(); told != nil {
		addrs = slices.Clone(*told)
	}
	if r := n.owner.Load(); r != nil && n.ownerAnswers() != nil {
		addrs = append(addrs, r.Addr)
	}
	rest := n.known()
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
