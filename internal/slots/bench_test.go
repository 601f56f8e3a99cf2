package slots

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumwinch/internal/peer/peerpb"
)

// BenchmarkSync measures one SyncSlots of a holder whose demand varies, with the
// bytes of request and answer on the wire.
func BenchmarkSync(b *testing.B) {
	for _, size := range []struct{ vms, servers int }{{8, 50}, {28, 200}, {56, 400}} {
		b.Run(fmt.Sprintf("vms=%d/servers=%d", size.vms, size.servers), func(b *testing.B) {
			dcs := make([]string, size.vms)
			for i := range dcs {
				dcs[i] = "krk-a"
			}
			r := newRing(size.servers, dcs...)
			for i := range r.demand {
				r.demand[i].Slots = 30
			}
			r.round()
			r.round()
			bytes, n := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				i := n % size.vms
				n++
				if i == 0 {
					r.now += 200 * time.Millisecond
					for _, s := range r.broker.list {
						r.broker.RecordStatus(r.now, ServerStatus{Server: s.ID, SentAt: r.now})
					}
				}
				r.demand[i].Slots = 20 + n%41
				req := r.holders[i].NextRequest(r.now, r.demand[i])
				resp := r.broker.Sync(r.now, req)
				r.holders[i].HandleResponse(r.now, resp)
				if n <= size.vms {
					bytes += wireSize(req, resp)
				}
			}
			b.ReportMetric(float64(bytes)/float64(min(n, size.vms)), "bytes/sync")
		})
	}
}

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
