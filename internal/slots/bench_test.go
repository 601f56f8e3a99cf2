package slots

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumwinch/internal/peer/peerpb"
)

// BenchmarkSync runs one SyncSlots exchange of a holder whose demand varies, and
// reports the size of the request and the response on the wire.
func BenchmarkSync(b *testing.B) {
	for _, size := range []struct{ vms, servers int }{{8, 50}, {28, 200}, {56, 400}} {
		b.Run(fmt.Sprintf("vms=%d/servers=%d", size.vms, size.servers), func(b *testing.B) {
			dataCentres := make([]string, size.vms)
			for i := range dataCentres {
				dataCentres[i] = "krk-a"
			}
			c := newTestCluster(size.servers, dataCentres...)
			for i := range c.demand {
				c.demand[i].Slots = 30
			}
			c.syncAll()
			c.syncAll()
			bytes, n := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				i := n % size.vms
				n++
				if i == 0 {
					c.now += 200 * time.Millisecond
					for _, s := range c.broker.serverList {
						c.broker.RecordStatus(c.now, ServerStatus{Server: s.ID, SentAt: c.now})
					}
				}
				c.demand[i].Slots = 20 + n%41
				req := c.holders[i].NextRequest(c.now, c.demand[i])
				resp := c.broker.Sync(c.now, req)
				c.holders[i].HandleResponse(c.now, resp)
				if n <= size.vms {
					bytes += wireSize(req, resp)
				}
			}
			b.ReportMetric(float64(bytes)/float64(min(n, size.vms)), "bytes/sync")
		})
	}
}

// wireSize returns the number of bytes of the two encoded messages.
func wireSize(req SyncRequest, resp SyncResponse) int {
	q := &peerpb.SyncSlotsRequest{Vm: req.VM, Instance: req.Instance, DataCentre: req.DataCentre,
		Wanted: int32(req.Demand), Term: req.Term, MinSlackMs: req.MinSlack.Milliseconds()}
	for _, h := range req.Held {
		q.Held = append(q.Held, &peerpb.ServerSlots{Server: h.Server, Slots: int32(h.Slots)})
	}
	a := &peerpb.SyncSlotsResponse{Term: resp.Term, TtlMs: resp.TTL.Milliseconds()}
	for _, h := range resp.Granted {
		a.Granted = append(a.Granted, &peerpb.ServerSlots{Server: h.Server, Slots: int32(h.Slots)})
	}
	return proto.Size(q) + proto.Size(a)
}
