package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/standin/cellstore"
)

// TestHellosOfALargeCellAreSpread guards against an owner whose processor is taken by the
// hello messages of hundreds of VMs. Those that replace the owner keep the short interval,
// as do all in a small cell, and an answer counts until the next but one is overdue.
func TestHellosOfALargeCellAreSpread(t *testing.T) {
	for _, c := range []struct {
		vms   int
		cores float64
		want  time.Duration
	}{
		{8, 0.1, helloInterval}, {100, 0.1, helloInterval}, {300, 0.1, 750 * time.Millisecond}, {1297, 0.1, maxHelloInterval},
		{300, 0.8, helloInterval}, {1297, 0.8, helloInterval},
	} {
		t.Run(fmt.Sprintf("%d VMs, %v cores", c.vms, c.cores), func(t *testing.T) {
			is := is.New(t)
			n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: c.cores}, Ports{Store: &cellstore.Store{}}, io.Discard)
			for i := range c.vms {
				n.addPeer(fmt.Sprintf("10.0.%d.%d:2", i/256, i%256))
			}
			is.Equal(n.currentHelloInterval(), c.want)
			is.True(n.ownerReplyTTL() > 2*c.want)
			is.True(n.ownerReplyTTL() < 3*c.want)
		})
	}
}

// TestInstanceNamesItsVM guards against two VMs whose processes have one instance, however the rest of it
// is drawn: the election would take them for one process.
func TestInstanceNamesItsVM(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm-7", PeerAddr: "10.0.0.1:7720"}, Ports{Store: &cellstore.Store{}}, io.Discard)
	is.True(strings.HasPrefix(n.instance, "vm-7-"))
}
