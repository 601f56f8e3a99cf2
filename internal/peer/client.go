package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gypsumwinch/internal/netcount"
	"gypsumwinch/internal/peer/peerpb"
	"gypsumwinch/internal/structs"
)

const (
	// callTimeout bounds a call to a peer, including reading its response. The
	// latency is a few milliseconds between data centres and up to some hundred
	// milliseconds between regions.
	callTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout     = 60 * time.Second
	maxConnsPerPeer = 2
	// maxClients bounds the number of retained clients, some of which may be for
	// peers that no longer exist.
	maxClients = 512
)

// Client calls other entry VMs by address (host:port). It is safe for concurrent
// use. Errors are *structs.Error, and a call that failed may have taken effect.
type Client struct {
	httpClient *http.Client

	mu sync.Mutex
	// clients holds the generated clients by address. mu guards it.
	clients map[string]peerpb.Peer
}

// NewClient returns a client without open connections. count counts the bytes of its
// connections and may be nil.
func NewClient(count *netcount.Counter) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		httpClient: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:         count.Dialer(dialer.DialContext),
				MaxConnsPerHost:     maxConnsPerPeer,
				MaxIdleConnsPerHost: maxConnsPerPeer,
				IdleConnTimeout:     idleTimeout,
			},
		},
		clients: map[string]peerpb.Peer{},
	}
}

// peerClient returns the generated client for a peer, which each call uses. When
// maxClients is reached, it removes all clients; they hold no state and share the
// connections of httpClient.
func (c *Client) peerClient(addr string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[addr]; ok {
		return client
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client := peerpb.NewPeerProtobufClient("http://"+addr, c.httpClient)
	c.clients[addr] = client
	return client
}

// Heartbeat sends the state of the calling VM to a peer and returns the peer's: its
// instance, configuration version and known owner. Each VM calls it periodically.
func (c *Client) Heartbeat(ctx context.Context, addr string, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	out, err := c.peerClient(addr).Heartbeat(ctx, in)
	return out, wrapError("heartbeat", addr, err)
}

// SyncSlots acquires, renews and returns slots of backend servers at the owner of a
// data centre. After an error the request may have taken effect.
func (c *Client) SyncSlots(ctx context.Context, addr string, in *peerpb.SyncSlotsRequest) (*peerpb.SyncSlotsResponse, error) {
	out, err := c.peerClient(addr).SyncSlots(ctx, in)
	return out, wrapError("sync slots", addr, err)
}

// FetchConfig returns the configuration version in force at a peer, and the
// configuration if its version is above have. have is -1 if the caller has none.
// The daemon calls it to get a configuration newer than its own.
func (c *Client) FetchConfig(ctx context.Context, addr string, have int64) (*peerpb.FetchConfigResponse, error) {
	out, err := c.peerClient(addr).FetchConfig(ctx, &peerpb.FetchConfigRequest{HaveVersion: have})
	return out, wrapError("fetch configuration", addr, err)
}

// JobStatus returns the status of a job that is assigned to the peer's data centre.
// The daemon calls it for a job that may be assigned to another data centre.
func (c *Client) JobStatus(ctx context.Context, addr, job string) (*peerpb.JobStatusResponse, error) {
	out, err := c.peerClient(addr).JobStatus(ctx, &peerpb.JobStatusRequest{Job: job})
	return out, wrapError("job status", addr, err)
}

// wrapError adds the name of a call and the peer's address to the error of the call.
// It returns nil if err is nil.
func wrapError(step, addr string, err error) error {
	if err == nil {
		return nil
	}
	return &structs.Error{Step: step, Peer: addr, Cause: err}
}
