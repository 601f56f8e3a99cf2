package node

import (
	"context"
	"net"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
)

const (
	// peerDialTimeout bounds the opening of a connection to another VM.
	peerDialTimeout = 400 * time.Millisecond
	// peerConns bounds the connections to another VM.
	peerConns = 16
	// peerIdle closes idle connections between VMs.
	peerIdle = 15 * time.Second
)

func dialPeer(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDialTimeout, KeepAlive: time.Second}
	return d.DialContext(ctx, network, addr)
}

// rpcServer answers other entry VMs.
type rpcServer struct{ node *Node }

var _ cellpb.Cell = (*rpcServer)(nil)

// State implements cellpb.Cell.
func (s *rpcServer) State(_ context.Context, req *cellpb.StateRequest) (*cellpb.StateResponse, error) {
	resp := &cellpb.StateResponse{Follows: s.node.follows()}
	if state, known := s.node.mirror.state(cell.JobID(req.Job)); known && resp.Follows {
		resp.State = string(state)
	}
	return resp, nil
}

// Ask implements cellpb.Cell.
func (s *rpcServer) Ask(ctx context.Context, req *cellpb.AskRequest) (*cellpb.AskResponse, error) {
	return serveAsk(ctx, s.node.advisor, req)
}

// Append implements cellpb.Cell.
func (s *rpcServer) Append(ctx context.Context, req *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	return s.node.path.serveAppend(ctx, req), nil
}

// Read implements cellpb.Cell.
func (s *rpcServer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.BatchResponse, error) {
	return s.node.path.serveRead(ctx, req), nil
}

// Newest implements cellpb.Cell.
func (s *rpcServer) Newest(ctx context.Context, req *cellpb.NewestRequest) (*cellpb.BatchResponse, error) {
	return s.node.path.serveNewest(ctx, req), nil
}

// Notify implements cellpb.Cell.
func (s *rpcServer) Notify(_ context.Context, req *cellpb.NotifyRequest) (*cellpb.NotifyResponse, error) {
	s.node.takeJobs(fromWire(req.Records))
	return &cellpb.NotifyResponse{}, nil
}

func toWire(records []cell.KeyValue) []*cellpb.Record {
	out := make([]*cellpb.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &cellpb.Record{Key: r.Key, Value: r.Value})
	}
	return out
}

func fromWire(records []*cellpb.Record) []cell.KeyValue {
	out := make([]cell.KeyValue, 0, len(records))
	for _, r := range records {
		out = append(out, cell.KeyValue{Key: r.Key, Value: r.Value})
	}
	return out
}

// Hello implements cellpb.Cell.
func (s *rpcServer) Hello(ctx context.Context, req *cellpb.HelloRequest) (*cellpb.HelloResponse, error) {
	n := s.node
	resp := &cellpb.HelloResponse{Instance: n.instance, Owner: n.ownerToWire()}
	if config := n.config.Load(); config != nil {
		resp.ConfigVersion = config.Version
	}
	if n.meet(req.Addr) || n.metRecently() {
		resp.Peers = n.known()
	}
	if req.WantPending && n.follows() {
		resp.Pending = n.mirror.pendingByQueue()
	}
	c := n.owning()
	if c == nil {
		return resp, nil
	}
	resp.Well = n.beatsAccepted()
	resp.Offset = n.election.Next()
	select {
	case c.hellos <- greeting{addr: req.Addr, client: n.peer(req.Addr)}:
	case <-c.ended:
	case <-ctx.Done():
	}
	return resp, nil
}

// peer returns the client of another VM.
func (n *Node) peer(addr string) cellpb.Cell {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[addr]
	if !ok {
		p = cellpb.NewCellProtobufClient("http://"+addr, n.http)
		n.peers[addr] = p
	}
	return p
}
