package node

import (
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
)

// newHelloNode returns a node that holds the term and has received a hello message of
// each of many VMs, the first few of them large.
func newHelloNode(vms, large int) *Node {
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: &cellstore.Store{}}, io.Discard)
	n.holdsTerm.Store(true)
	for i := range vms {
		n.updateProxyCandidate(fmt.Sprintf("vm%03d:1", i), true, i < large)
	}
	return n
}

// TestStoreProxiesFollowReports guards against proxies that are named although the store
// does not answer them any more, and against small ones that are named before large ones.
func TestStoreProxiesFollowReports(t *testing.T) {
	is := is.New(t)
	n := newHelloNode(300, 5)
	for range 50 {
		got := n.storeProxyAddrs("vm000:1")
		slices.Sort(got)
		is.Equal(got, []string{"vm001:1", "vm002:1", "vm003:1", "vm004:1"})
	}
	n.updateProxyCandidate("vm003:1", false, true)
	n.updateProxyCandidate("vm004:1", true, false)
	for range 50 {
		got := n.storeProxyAddrs("vm000:1")
		is.Equal(len(got), maxAdvertisedProxies)
		slices.Sort(got)
		is.Equal(got[:2], []string{"vm001:1", "vm002:1"})
		is.True(!slices.Contains(got, "vm003:1"))
	}
}

// TestWorkPerHelloDoesNotGrowWithTheVMs guards against an owner whose processor is taken by
// the hello messages of a large cell, since each answer goes through all VMs.
func TestWorkPerHelloDoesNotGrowWithTheVMs(t *testing.T) {
	is := is.New(t)
	n := newHelloNode(1000, 150)
	allocated := testing.AllocsPerRun(1000, func() { n.storeProxyAddrs("vm000:1") })
	is.True(allocated < 5)
}

// BenchmarkHello measures an answer of the owner to a hello message, by the number of VMs.
func BenchmarkHello(b *testing.B) {
	for _, vms := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			server := &rpcServer{node: newHelloNode(vms, vms/7)}
			var requests []*cellpb.HelloRequest
			for i := range vms {
				requests = append(requests, &cellpb.HelloRequest{Addr: fmt.Sprintf("vm%03d:1", i), StoreAnswers: true, Follows: i < vms/7})
			}
			for i := 0; b.Loop(); i++ {
				_, _ = server.Hello(b.Context(), requests[i%vms])
			}
		})
	}
}
