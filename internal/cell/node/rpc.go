package node

import (
	"context"
	"errors"
	"net"
	"syscall"
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
	// greetEvery is how often a VM makes itself known to the owner.
	greetEvery = 300 * time.Millisecond
	// greetTimeout bounds a greeting.
	greetTimeout = 500 * time.Millisecond
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
	if s.node.owning() == nil {
		return &cellpb.StateResponse{}, nil
	}
	state, known := s.node.mirror.state(cell.JobID(req.Job))
	if !known {
		return &cellpb.StateResponse{}, nil
	}
	return &cellpb.StateResponse{State: string(state)}, nil
}

// Ask implements cellpb.Cell.
func (s *rpcServer) Ask(ctx context.Context, req *cellpb.AskRequest) (*cellpb.AskResponse, error) {
	return serveAsk(ctx, s.node.advisor, req)
}

// Append implements cellpb.Cell.
func (s *rpcServer) Append(ctx context.Context, req *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	kv := cell.KeyValue{Key: req.Key, Value: req.Value}
	err := s.node.committer.append(ctx, kv)
	var notRun *cell.NotRunError
	switch {
	case err == nil:
		s.node.takeJobs([]cell.KeyValue{kv})
		return &cellpb.AppendResponse{Outcome: cellpb.AppendResponse_DONE}, nil
	case errors.As(err, &notRun):
		return &cellpb.AppendResponse{Outcome: cellpb.AppendResponse_NOT_DONE}, nil
	default:
		return &cellpb.AppendResponse{}, nil
	}
}

// Hello implements cellpb.Cell.
func (s *rpcServer) Hello(ctx context.Context, req *cellpb.HelloRequest) (*cellpb.HelloResponse, error) {
	c := s.node.owning()
	if c == nil {
		return &cellpb.HelloResponse{}, nil
	}
	select {
	case c.hellos <- greeting{addr: req.Addr, client: s.node.peer(req.Addr)}:
	case <-c.ended:
	case <-ctx.Done():
	}
	return &cellpb.HelloResponse{Owner: true}, nil
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

// ownerPeer returns the client of the owner, or nil if there is none or it is
// this VM.
func (n *Node) ownerPeer() cellpb.Cell {
	r := n.owner.Load()
	if r == nil || r.Resigned || r.Node == n.settings.Name {
		return nil
	}
	return n.peer(r.Addr)
}

// greetOwner makes this VM known to the owner, as a lane for advice.
func (n *Node) greetOwner(ctx context.Context) {
	for ctx.Err() == nil {
		if p := n.ownerPeer(); p != nil {
			n.greet(ctx, p)
		}
		pause(ctx, greetEvery)
	}
}

func (n *Node) greet(ctx context.Context, p cellpb.Cell) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	if _, err := p.Hello(ctx, &cellpb.HelloRequest{Name: n.settings.Name, Addr: n.settings.Peers}); err != nil {
		if refused(err) {
			// The owner's process has ended: no beat will come.
			n.election.Suspect()
		}
		return
	}
	n.greetedAt.Store(int64(boot()))
}

// refused reports whether a peer's machine answered that no process listens.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
