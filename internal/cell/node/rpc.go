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

// Submit implements cellpb.Cell.
func (s *rpcServer) Submit(ctx context.Context, req *cellpb.SubmitRequest) (*cellpb.SubmitResponse, error) {
	if s.node.owning() == nil {
		return &cellpb.SubmitResponse{Outcome: cellpb.Outcome_NOT_DONE}, nil
	}
	records := fromWire(req.Records)
	if err := s.node.committer.append(ctx, records); err != nil {
		return &cellpb.SubmitResponse{Outcome: outcomeOfSubmission(err)}, nil
	}
	s.node.takeJobs(records)
	return &cellpb.SubmitResponse{Outcome: cellpb.Outcome_DONE}, nil
}

// Succeed implements cellpb.Cell.
func (s *rpcServer) Succeed(_ context.Context, req *cellpb.SucceedRequest) (*cellpb.SucceedResponse, error) {
	s.node.log.Info("the owner resigns in favour of this VM", "instance", req.Instance)
	s.node.election.TakeOver(req.Instance)
	return &cellpb.SucceedResponse{}, nil
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
	n.noteRelay(req.Addr, req.StoreAnswers, req.Follows)
	if n.holding.Load() {
		resp.Relays = n.freshRelays(req.Addr)
		// Also while the state is read: a claim then would only begin that anew.
		resp.Well = n.beatsAccepted()
		resp.Offset = n.election.HeartbeatOffset()
	}
	c := n.owning()
	if c == nil {
		return resp, nil
	}
	g := greeting{
		addr:    req.Addr,
		client:  n.peer(req.Addr),
		at:      boot(),
		follows: req.Follows,
		age:     time.Duration(req.AgeMs) * time.Millisecond,
	}
	select {
	case c.hellos <- g:
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
