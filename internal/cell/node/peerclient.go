package node

import (
	"context"
	"net"
	"net/http"

	"gypsumwinch/internal/progress"
)

// newPeerHTTPClient returns the HTTP client for calls between entry VMs. New
// calls it once; all clients of other VMs share the result.
func newPeerHTTPClient() *http.Client {
	return newPeerHTTPClientWithDialer(dialPeer)
}

// newPeerHTTPClientWithDialer is newPeerHTTPClient with another way to open connections.
func newPeerHTTPClientWithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: progressTransport{&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxPeerConns,
		MaxConnsPerHost:     maxPeerConns,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}}}
}

// progressTransport reports the progress of calls as their requests are sent and their responses
// arrive.
type progressTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t progressTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil && req.Body != http.NoBody {
		reported := *req // a RoundTripper must not change the request
		reported.Body = progress.NewRequestBody(req.Context(), req.Body)
		req = &reported
	}
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = progress.NewBody(req.Context(), resp)
	return resp, nil
}
