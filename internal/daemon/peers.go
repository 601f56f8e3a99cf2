package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/peer/peerpb"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// localHeartbeatInterval is the period of heartbeats to each VM of this
	// data centre.
	localHeartbeatInterval = 2 * time.Second
	// remoteHeartbeatInterval is the period of heartbeats to VMs of other data
	// centres, one VM after the other. The VMs of a data centre together
	// receive heartbeats from another one several times a second and pass a
	// configuration on within it, while each VM sends the same number of
	// messages whatever the size of the cluster.
	remoteHeartbeatInterval = time.Second
)

// peerServer serves the requests of other entry VMs.
type peerServer struct {
	d   *Daemon
	ctx context.Context
}

func (d *Daemon) peerHandler(ctx context.Context) http.Handler {
	return peerpb.NewPeerServer(&peerServer{d: d, ctx: ctx})
}

var errStopped = errors.New("the daemon is stopping")

// Heartbeat records the sender's configuration version and owner, and returns
// those that this VM knows. It runs on an HTTP goroutine for each heartbeat of
// another entry VM.
func (s *peerServer) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	s.d.post(ctx, heartbeatReceived{
		dataCentre: in.DataCentre, addr: in.Addr, configVersion: in.ConfigVersion,
		ownerTerm: in.OwnerTerm, ownerInstance: in.OwnerInstance, ownerAddr: in.OwnerAddr,
	})
	v := s.d.view.Load()
	return &peerpb.HeartbeatResponse{
		Vm: v.VM, Instance: v.Instance, DataCentre: v.DataCentre, ConfigVersion: v.ConfigVersion,
		OwnerTerm: v.OwnerTerm, OwnerInstance: v.OwnerInstance, OwnerAddr: v.OwnerAddr,
		Leaving: s.d.draining.Load(),
	}, nil
}

// SyncSlots passes a slot request to this VM's broker and returns its response.
// It runs on an HTTP goroutine for each slot request of another entry VM or of
// this one.
func (s *peerServer) SyncSlots(ctx context.Context, in *peerpb.SyncSlotsRequest) (*peerpb.SyncSlotsResponse, error) {
	reply := make(chan *peerpb.SyncSlotsResponse, 1)
	s.d.post(ctx, slotsRequested{request: in, reply: reply})
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, errStopped
	}
}

// FetchConfig returns the configuration in force on this VM if it is newer than
// the version that the sender has. It runs on an HTTP goroutine when another
// entry VM has received the newer version number in a heartbeat or its
// response.
func (s *peerServer) FetchConfig(_ context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	v := s.d.view.Load()
	out := &peerpb.FetchConfigResponse{Version: v.ConfigVersion}
	if v.ConfigVersion > in.HaveVersion {
		p := v.ConfigPublish
		out.Yaml, out.Id, out.Who, out.Why = p.YAML, p.ID, p.Who, p.Why
		out.WhenUnixMs = p.When.UnixMilli()
	}
	return out, nil
}

// JobStatus returns the status of a job of this data centre. It runs on an HTTP
// goroutine when another entry VM looks up a job for a caller or operator.
func (s *peerServer) JobStatus(ctx context.Context, in *peerpb.JobStatusRequest) (*peerpb.JobStatusResponse, error) {
	status, err := s.d.localJobStatus(ctx, in.Job)
	if err != nil || status == nil {
		return &peerpb.JobStatusResponse{}, err
	}
	data, err := json.Marshal(status)
	if err != nil {
		return nil, err
	}
	return &peerpb.JobStatusResponse{Found: true, StatusJson: data}, nil
}

// heartbeatReceived is the event of a received heartbeat or of the response to
// a sent one.
type heartbeatReceived struct {
	dataCentre    string
	addr          string
	configVersion int64
	ownerTerm     int64
	ownerInstance string
	ownerAddr     string
}

// apply records when the peer was last seen and which owner it reported, and
// fetches the peer's configuration if that is newer. It runs on the control
// loop for each received heartbeat and each response to a sent one.
func (ev heartbeatReceived) apply(c *control) {
	c.peerLastSeen[ev.addr] = c.now()
	c.recordOwner(ev.dataCentre, ownerInfo{term: ev.ownerTerm, instance: ev.ownerInstance, addr: ev.ownerAddr})
	if ev.dataCentre == c.d.settings.DataCentre && ev.ownerTerm != records.NoTerm {
		c.applyOwnershipEvent(ownership.PeerOwner{Term: ev.ownerTerm, Instance: ev.ownerInstance, Addr: ev.ownerAddr})
	}
	if ev.configVersion > c.config.Current().Version {
		c.fetchConfig(ev.addr)
	}
}

// sendHeartbeats sends the heartbeats that are due. It runs on the control loop
// at each slow tick.
func (c *control) sendHeartbeats() {
	now := c.now()
	var remote *structs.VM
	for i := range c.entryVMs {
		p := &c.entryVMs[i]
		sent, ok := c.heartbeatSentAt[p.Addr]
		switch {
		case p.DataCentre != c.d.settings.DataCentre:
			if remote == nil || sent < c.heartbeatSentAt[remote.Addr] {
				remote = p
			}
		case !ok || now-sent >= localHeartbeatInterval:
			c.sendHeartbeat(*p)
		}
	}
	if remote != nil && now-c.remoteHeartbeatSentAt >= remoteHeartbeatInterval {
		c.remoteHeartbeatSentAt = now
		c.sendHeartbeat(*remote)
	}
}

// sendHeartbeat sends a heartbeat to one entry VM. sendHeartbeats calls it; the
// call runs on its own goroutine, which posts heartbeatReceived with the
// response.
func (c *control) sendHeartbeat(p structs.VM) {
	c.heartbeatSentAt[p.Addr] = c.now()
	c.d.metrics.countMessage("heartbeat")
	v := c.d.view.Load()
	in := &peerpb.HeartbeatRequest{
		Vm: v.VM, Instance: v.Instance, DataCentre: v.DataCentre, Addr: c.d.settings.PeerListen,
		ConfigVersion: v.ConfigVersion, OwnerTerm: v.OwnerTerm, OwnerInstance: v.OwnerInstance,
		OwnerAddr: v.OwnerAddr, Leaving: c.d.draining.Load(),
	}
	go func() {
		out, err := c.d.peers.Heartbeat(c.ctx, p.Addr, in)
		if err != nil {
			c.logger.Trace("heartbeat to a peer failed", "peer", p.ID, "error", err)
			return
		}
		c.d.post(c.ctx, heartbeatReceived{
			dataCentre: out.DataCentre, addr: p.Addr, configVersion: out.ConfigVersion,
			ownerTerm: out.OwnerTerm, ownerInstance: out.OwnerInstance, ownerAddr: out.OwnerAddr,
		})
	}()
}

// fetchConfig fetches a newer configuration from a peer. Only one fetch is in
// flight at a time. heartbeatReceived.apply calls it; the call runs on its own
// goroutine, which posts configFetched.
func (c *control) fetchConfig(addr string) {
	if c.isFetchingConfig {
		return
	}
	c.isFetchingConfig = true
	currentVersion := c.config.Current().Version
	go func() {
		out, err := c.d.peers.FetchConfig(c.ctx, addr, currentVersion)
		c.d.post(c.ctx, configFetched{peerAddr: addr, response: out, err: err})
	}()
}

// configFetched is the event of a peer's response to a configuration fetch.
type configFetched struct {
	peerAddr string
	response *peerpb.FetchConfigResponse
	err      error
}

// apply adopts the configuration of the peer if it is valid and newer than the
// one in force. It runs on the control loop after each configuration fetch,
// successful or not.
func (ev configFetched) apply(c *control) {
	c.isFetchingConfig = false
	if ev.err != nil {
		c.logger.Debug("failed to fetch the configuration from a peer", "error", ev.err)
		return
	}
	publish := records.ConfigPublish{
		ID: ev.response.Id, YAML: ev.response.Yaml, Who: ev.response.Who, Why: ev.response.Why,
		When: time.UnixMilli(ev.response.WhenUnixMs).UTC(),
	}
	effect, err := c.config.Adopt(ev.response.Version, publish)
	if err != nil {
		c.logger.Warn("rejected the configuration of a peer", "peer", ev.peerAddr, "version", ev.response.Version, "error", err)
		return
	}
	c.handleConfigEffect(effect)
}
