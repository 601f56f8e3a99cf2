package node

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/standin/cellstore"
)

// TestSilentVMIsNoStoreProxy guards against VMs that lost their power a second ago and are still named as store proxies, so that an owner which has lost the store calls them first.
func TestSilentVMIsNoStoreProxy(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: &cellstore.Store{}}, io.Discard)
	n.proxyCandidates["a:1"] = proxyCandidate{lastSeen: bootTime() - time.Second, isLarge: true}
	n.updateProxyCandidate("b:1", true, true)
	is.Equal(n.storeProxyAddrs(""), []string{"b:1"})
}
