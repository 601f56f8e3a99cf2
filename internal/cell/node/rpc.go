package node

import (
	"context"
	"net"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/progress"
	"gypsumwinch/internal/structs"
)

const (
	// peerDialTimeout bounds opening a connection to another VM. It also bounds
	// reading the headers of a request.
	peerDialTimeout = 400 * time.Millisecond
	// maxPeerConns bounds the connections to one other VM.
	maxPeerConns = 16
	// peerIdleTimeout is how long an idle connection to another VM stays open.
	peerIdleTimeout = 15 * time.Second
)

// dialPeer opens a connection to another VM. The HTTP client calls it when a
// call finds no idle connection.
func dialPeer(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDialTimeout, KeepAlive: time.Second}
	return progress.Dial(ctx, &d, network, addr)
}

// rpcServer serves the RPCs between entry VMs.
type rpcServer struct{ node *Node }

var _ cellpb.Cell = (*rpcServer)(nil)

// State implements cellpb.Cell. It returns a state only if this VM knows all
// jobs, and reports an unknown job as absent only if that is proven. Another VM
// calls it when a caller asks that VM for a job's state or cancels the job. A
// cancellation may be denied only on proof that covers every submission accepted before
// the request, so that the unread part of topic jobs is read for it. A state may be
// denied for as long as maxAbsenceAge after the acceptance.
func (s *rpcServer) State(ctx context.Context, req *cellpb.StateRequest) (*cellpb.StateResponse, error) {
	resp := &cellpb.StateResponse{Follows: s.node.knowsAllJobs()}
	if !resp.Follows {
		return resp, nil
	}
	if state, known := s.node.replica.state(cell.JobID(req.Job)); known {
		resp.State = string(state)
		return resp, nil
	}
	if req.ReadUnread {
		answer, err := s.node.findUnread(ctx, cell.JobID(req.Job))
		if err != nil {
			resp.Follows = false
			return resp, nil
		}
		if answer.isKnown {
			resp.State = string(answer.state)
			return resp, nil
		}
	}
	resp.Follows = s.node.provesAbsence()
	return resp, nil
}

// Ask implements cellpb.Cell. This VM acts as an advice proxy. The owner calls
// it for each query that it sends through this VM.
func (s *rpcServer) Ask(ctx context.Context, req *cellpb.AskRequest) (*cellpb.AskResponse, error) {
	return serveAdvice(ctx, s.node.advisor, req)
}

// Append implements cellpb.Cell. This VM acts as a store proxy. Another VM calls it
// when it hedges a call of the store or its direct route has failed.
func (s *rpcServer) Append(ctx context.Context, req *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	return s.node.storeRouter.serveAppend(ctx, req), nil
}

// Read implements cellpb.Cell. This VM acts as a store proxy. Another VM calls it
// when it hedges a call of the store or its direct route has failed.
func (s *rpcServer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.BatchResponse, error) {
	return readForPeer(ctx, s.node.sharedConfig, s.node.storeRouter, req), nil
}

// readForPeer reads a topic for another VM, the configuration from what this VM has read itself if
// that is newer than what the other one has.
func readForPeer(ctx context.Context, shared *sharedConfig, router *storeRouter, req *cellpb.ReadRequest) *cellpb.BatchResponse {
	if cell.Topic(req.Topic) == cell.TopicConfig {
		if resp := shared.readAfter(ctx, req.From); resp != nil {
			return resp
		}
	}
	return router.serveRead(ctx, req)
}

// Newest implements cellpb.Cell. This VM acts as a store proxy. Another VM calls it
// when it hedges a call of the store or its direct route has failed.
func (s *rpcServer) Newest(ctx context.Context, req *cellpb.NewestRequest) (*cellpb.BatchResponse, error) {
	return s.node.storeRouter.serveNewest(ctx, req), nil
}

// Submit implements cellpb.Cell. Only the owner appends the records. Another
// VM calls it to commit a batch of its callers' records. Submissions that are recorded already
// are left out; see withoutRepetitions.
func (s *rpcServer) Submit(ctx context.Context, req *cellpb.SubmitRequest) (*cellpb.SubmitResponse, error) {
	if s.node.activeLoop() == nil {
		return &cellpb.SubmitResponse{Outcome: cellpb.Outcome_NOT_DONE}, nil
	}
	records := s.node.replica.withoutRepetitions(recordsFromProto(req.Records))
	if len(records) == 0 {
		return &cellpb.SubmitResponse{Outcome: cellpb.Outcome_DONE}, nil
	}
	if err := s.node.committer.append(ctx, records); err != nil {
		return &cellpb.SubmitResponse{Outcome: commitOutcome(err)}, nil
	}
	s.node.applyJobRecords(records)
	return &cellpb.SubmitResponse{Outcome: cellpb.Outcome_DONE}, nil
}

// Succeed implements cellpb.Cell. The owner calls it after it has resigned in
// favour of this VM, once, when its process is about to stop.
func (s *rpcServer) Succeed(_ context.Context, req *cellpb.SucceedRequest) (*cellpb.SucceedResponse, error) {
	s.node.log.Info("the owner resigns in favour of this VM", "instance", req.Instance)
	s.node.election.TakeOver(req.Instance)
	return &cellpb.SucceedResponse{}, nil
}

// Notify implements cellpb.Cell. It applies records that are already in topic
// jobs. Another VM calls it on the owner after appending records itself,
// without the owner.
func (s *rpcServer) Notify(_ context.Context, req *cellpb.NotifyRequest) (*cellpb.NotifyResponse, error) {
	s.node.applyJobRecords(recordsFromProto(req.Records))
	return &cellpb.NotifyResponse{}, nil
}

// recordsToProto encodes records for an RPC. Calls to other VMs and answers of
// a store proxy use it.
func recordsToProto(records []cell.KeyValue) []*cellpb.Record {
	out := make([]*cellpb.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &cellpb.Record{Key: r.Key, Value: r.Value})
	}
	return out
}

// recordsFromProto decodes records of an RPC. The served RPCs and callers of a
// store proxy use it.
func recordsFromProto(records []*cellpb.Record) []cell.KeyValue {
	out := make([]cell.KeyValue, 0, len(records))
	for _, r := range records {
		out = append(out, cell.KeyValue{Key: r.Key, Value: r.Value})
	}
	return out
}

// Hello implements cellpb.Cell. The owner also passes the message on to its
// control loop. Each other VM calls it on the owner every helloInterval, and
// on a VM that is not the owner while it knows no owner that answers.
func (s *rpcServer) Hello(ctx context.Context, req *cellpb.HelloRequest) (*cellpb.HelloResponse, error) {
	n := s.node
	resp := &cellpb.HelloResponse{Instance: n.instance}
	if config := n.config.Load(); config != nil {
		resp.ConfigVersion = config.Version
	}
	if n.addPeer(req.Addr) || n.hasNewPeers() {
		resp.Peers = n.knownPeers()
	}
	if req.WantPending && n.knowsAllJobs() {
		resp.Pending, resp.HasPending = n.replica.pendingCounts(), true
	}
	isPeer := structs.ValidateAddr(req.Addr) == nil
	if isPeer {
		n.updateProxyCandidate(req.Addr, req.StoreAnswers, req.Follows)
	}
	if n.holdsTerm.Load() {
		resp.Relays = n.storeProxyAddrs(req.Addr)
		// Reported also while the state is loaded: another claim would only restart
		// the loading.
		resp.Well = n.hasRecentHeartbeat()
		resp.Offset = n.election.HeartbeatOffset()
	} else {
		resp.Offset = noTermOffset
	}
	// Read after the offset: a later offset with an earlier term would skip records.
	resp.Owner = n.ownerToProto()
	c := n.activeLoop()
	if c == nil || !isPeer {
		return resp, nil
	}
	hello := helloMessage{
		addr:        req.Addr,
		client:      n.peer(req.Addr),
		receivedAt:  bootTime(),
		canTakeOver: req.Follows,
		processAge:  time.Duration(req.AgeMs) * time.Millisecond,
	}
	select {
	case c.hellos <- hello:
	case <-c.done:
	case <-ctx.Done():
	}
	return resp, nil
}

// peer returns the client of another VM. Clients are created once for each
// address. Any goroutine may call it.
func (n *Node) peer(addr string) cellpb.Cell {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peerClients[addr]
	if !ok {
		p = cellpb.NewCellProtobufClient("http://"+addr, n.httpClient)
		n.peerClients[addr] = p
	}
	return p
}
