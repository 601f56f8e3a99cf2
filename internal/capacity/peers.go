package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"gypsumwinch/internal/peer"
	"gypsumwinch/internal/peer/peerpb"
	"gypsumwinch/internal/slots"
)

// fakePeer answers as an entry VM does, with a broker of slots.
type fakePeer struct {
	broker *slots.Broker
	yaml   string
	start  time.Time
}

const (
	fakeInstance = "region1-dc1-e1-01JZZZZZZZZZZZZZZZZZZZZZZZ"
	fakeAddr     = "10.20.1.17:7100"
)

// Heartbeat returns a response with all fields set.
func (p *fakePeer) Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{
		Vm: "region1-dc1-e1", Instance: fakeInstance, DataCentre: "region1-dc1", ConfigVersion: 100_000,
		OwnerTerm: fakeTerm, OwnerInstance: fakeInstance, OwnerAddr: fakeAddr,
	}, nil
}

// toServerSlots converts the slots of a request for the broker.
func toServerSlots(in []*peerpb.ServerSlots) []slots.ServerSlots {
	out := make([]slots.ServerSlots, len(in))
	for i, h := range in {
		out[i] = slots.ServerSlots{Server: h.Server, Slots: int(h.Slots)}
	}
	return out
}

// SyncSlots passes the request to the broker and returns an error if the broker
// refuses it.
func (p *fakePeer) SyncSlots(_ context.Context, in *peerpb.SyncSlotsRequest) (*peerpb.SyncSlotsResponse, error) {
	out := p.broker.Sync(time.Since(p.start), slots.SyncRequest{
		VM: in.Vm, Instance: in.Instance, DataCentre: in.DataCentre, Seq: uint64(in.Sequence),
		Held: toServerSlots(in.Held), Demand: int(in.Wanted), Term: in.Term, MinSlack: time.Second,
	})
	if !out.OK {
		return nil, fmt.Errorf("the broker refused sequence %d", in.Sequence)
	}
	answer := &peerpb.SyncSlotsResponse{Term: out.Term, TtlMs: out.TTL.Milliseconds()}
	for _, g := range out.Granted {
		answer.Granted = append(answer.Granted, &peerpb.ServerSlots{Server: g.Server, Slots: int32(g.Slots)})
	}
	return answer, nil
}

func (p *fakePeer) FetchConfig(context.Context, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return &peerpb.FetchConfigResponse{Version: 100_001, Yaml: p.yaml, Id: "01JZZZZZZZZZZZZZZZZZZZZZZZ", Who: "dyspozytor"}, nil
}

func (p *fakePeer) JobStatus(context.Context, *peerpb.JobStatusRequest) (*peerpb.JobStatusResponse, error) {
	return &peerpb.JobStatusResponse{}, nil
}

// Peers measures one heartbeat, one exchange of slots and one fetch of the
// configuration between two entry VMs.
func Peers(out io.Writer, target Target) error {
	fake := &fakePeer{start: time.Now(), yaml: configYAML(target, 1)}
	served, err := serve(peerpb.NewPeerServer(fake))
	if err != nil {
		return err
	}
	defer served.close()
	client, ctx := peer.NewClient(nil), context.Background()
	heartbeat, err := measure(1000, served, func(int) error {
		_, err := client.Heartbeat(ctx, served.addr, &peerpb.HeartbeatRequest{
			Vm: "region1-dc1-e1", Instance: fakeInstance, DataCentre: "region1-dc1", Addr: fakeAddr,
			ConfigVersion: 100_000, OwnerTerm: fakeTerm, OwnerInstance: fakeInstance, OwnerAddr: fakeAddr,
		})
		return err
	})
	if err != nil {
		return err
	}
	fetch, err := measure(200, served, func(int) error {
		_, err := client.FetchConfig(ctx, served.addr, 100_000)
		return err
	})
	if err != nil {
		return err
	}
	t := newTable(out, "Calls between entry VMs (both ends of the call)", "call", "CPU", "bytes")
	t.row("heartbeat", heartbeat.CPU, heartbeat.Bytes)
	t.row("fetch of the configuration", fetch.CPU, fetch.Bytes)
	for _, servers := range []int{4, 25, 50} {
		c, err := syncSlots(fake, served, client, servers)
		if err != nil {
			return err
		}
		t.row(fmt.Sprintf("slots of %d servers", servers), c.CPU, c.Bytes)
	}
	t = newTable(out, "Heartbeats of one VM, sent and received", "entry VMs", "data centres", "sent/s", "KB/s", "CPU, one end of each")
	for _, n := range vmCounts {
		sized := target
		sized.VMs, sized.DataCentres = n, n/4
		rate := sized.HeartbeatsPerSecond()
		// One VM is one end of the calls that it sends and of as many that it gets.
		t.row(n, n/4, rate, 2*rate*heartbeat.Bytes/1000, percent(rate*heartbeat.CPU.Seconds()))
	}
	return nil
}

// syncSlots measures the exchange of slots as one of 4 VMs that hold all
// slots of the given number of servers. Peers calls it for each number.
func syncSlots(fake *fakePeer, served *countingServer, client *peer.Client, servers int) (cost, error) {
	fake.broker = slots.New(slots.Options{DataCentre: "region1-dc1"})
	fake.broker.Start(0, fakeTerm, 0, false)
	var list []slots.Server
	for i := range servers {
		list = append(list, slots.Server{ID: fmt.Sprintf("region1-dc1-s%d", i), Slots: 8})
	}
	fake.broker.SetServers(0, list)
	var held []*peerpb.ServerSlots
	return measure(500, served, func(i int) error {
		now := time.Since(fake.start)
		for _, s := range list {
			fake.broker.RecordStatus(now, slots.ServerStatus{Server: s.ID, SentAt: now})
		}
		fake.broker.Tick(now)
		answer, err := client.SyncSlots(context.Background(), served.addr, &peerpb.SyncSlotsRequest{
			Vm: "region1-dc1-e1", Instance: fakeInstance, DataCentre: "region1-dc1",
			Held: held, Wanted: int32(8 * servers), Term: fakeTerm, Sequence: int64(i + 1),
		})
		if err != nil {
			return err
		}
		held = answer.Granted
		return nil
	})
}
