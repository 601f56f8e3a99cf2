package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gypsumwinch/internal/structs"
)

// maxResponseBytes bounds the size of the response body that the client reads.
const maxResponseBytes = 64 << 20

// Client sends operators' requests to entry VMs. If it cannot connect to one, it
// tries the next.
type Client struct {
	// Caller is the name of the person who calls. It is sent in the header X-Caller,
	// for the records of the system; an empty one is not sent.
	Caller string
	addrs  []string
	http   *http.Client
}

// ErrNotConnected means that no connection to an entry VM could be made, so that
// the request was not sent and had no effect.
var ErrNotConnected = errors.New("no entry VM could be reached")

// ErrAnswerLost means that the request may have been sent and no complete, valid
// response was received, so that the request may have taken effect.
var ErrAnswerLost = errors.New("no answer after the request was sent")

// NewClient returns a client for the given addresses (host:port), which it tries in
// this order. timeout limits one attempt at one address; 0 means no limit.
func NewClient(addrs []string, timeout time.Duration) *Client {
	// Connections are not reused. When a reused connection turns out to be broken, it
	// is not known whether the request was sent, so the next address could not be
	// tried.
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout(timeout)}).DialContext,
		DisableKeepAlives: true,
	}
	return &Client{addrs: addrs, http: &http.Client{Transport: transport, Timeout: timeout}}
}

// dialTimeout returns the time limit for one connection attempt: 2 s, or half of
// timeout if that is less, which leaves time to try another address.
func dialTimeout(timeout time.Duration) time.Duration {
	const maxDialTimeout = 2 * time.Second
	if timeout <= 0 || timeout/2 > maxDialTimeout {
		return maxDialTimeout
	}
	return timeout / 2
}

// Do sends a request to the first entry VM that accepts a connection and decodes
// the response into out. in is nil for a request without a body. If no VM accepts a
// connection, the error wraps ErrNotConnected; if the response is lost, it wraps
// ErrAnswerLost. A response with a status other than 200 is an *Error, unless
// okCodes lists the status and the body is not an ErrorBody.
func (c *Client) Do(ctx context.Context, method, path string, in, out any, okCodes ...int) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	var lastErr error = ErrNotConnected
	for _, addr := range c.addrs {
		err := c.send(ctx, addr, method, path, body, out, okCodes)
		if err == nil || !errors.Is(err, ErrNotConnected) {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// send sends a request of Do to one address.
func (c *Client) send(ctx context.Context, addr, method, path string, body []byte, out any, okCodes []int) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address %q: %w", addr, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Caller != "" {
		req.Header.Set("X-Caller", c.Caller)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &structs.Error{Step: method + " " + path, Peer: addr, Cause: classifySendError(err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		cause := fmt.Errorf("%w: %v", ErrAnswerLost, err)
		return &structs.Error{Step: method + " " + path, Peer: addr, Cause: cause}
	}
	return decodeResponse(resp.StatusCode, data, out, okCodes)
}

// classifySendError wraps an error of the HTTP client in ErrNotConnected if the
// connection could not be made, and in ErrAnswerLost otherwise, since the request
// can have reached the peer then.
func classifySendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotConnected, err)
	}
	return fmt.Errorf("%w: %v", ErrAnswerLost, err)
}

// decodeResponse decodes a response body into out, or returns an *Error with the
// message of the entry VM. A status in okCodes can come with either kind of body:
// status 409, for example, is sent for a publication that was refused on the log and
// for one that the VM did not append.
// A body that is not in the form that an entry VM sends is an *Error with
// IsUnrecognized set.
func decodeResponse(code int, data []byte, out any, okCodes []int) error {
	ok := code == http.StatusOK
	for _, c := range okCodes {
		ok = ok || code == c
	}
	failure := &Error{Code: code}
	if err := json.Unmarshal(data, &failure.ErrorBody); err != nil {
		failure.Message = ""
	}
	if ok && (code == http.StatusOK || failure.Message == "") {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("%w: the answer is not valid JSON: %v", ErrAnswerLost, err)
		}
		return nil
	}
	if failure.Message == "" {
		failure.IsUnrecognized = true
		failure.Message = fmt.Sprintf("HTTP status %d: %s", code, shorten(string(data)))
	}
	return failure
}

// get sends a GET request and returns the decoded response.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	err := c.Do(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	return get[Config](ctx, c, "/v1/config")
}

// ConfigHistory returns the publications that match query, newest first.
func (c *Client) ConfigHistory(ctx context.Context, query HistoryQuery) (History, error) {
	values := url.Values{}
	if query.ID != "" {
		values.Set("id", query.ID)
	}
	if query.Limit > 0 {
		values.Set("limit", strconv.Itoa(query.Limit))
	}
	return get[History](ctx, c, "/v1/config/history?"+values.Encode())
}

// PublishConfig publishes a configuration. A refused publication is reported in the
// status of the response, not as an error.
func (c *Client) PublishConfig(ctx context.Context, req PublishRequest) (PublishResponse, error) {
	var out PublishResponse
	err := c.Do(ctx, http.MethodPost, "/v1/config", req, &out, http.StatusAccepted, http.StatusConflict)
	return out, err
}

// Audit returns at most limit entries of the audit trail, newest first.
func (c *Client) Audit(ctx context.Context, limit int) (Audit, error) {
	return get[Audit](ctx, c, "/v1/audit?limit="+strconv.Itoa(limit))
}

// Classes returns the classes of the configuration in force and whether they meet
// their targets.
func (c *Client) Classes(ctx context.Context) (Classes, error) {
	return get[Classes](ctx, c, "/v1/classes")
}

// Workers returns the workers of the data centre of the VM that answers.
func (c *Client) Workers(ctx context.Context) (Workers, error) {
	return get[Workers](ctx, c, "/v1/workers")
}

// VMs returns the platform's list of VMs, as the VM that answers last read it.
func (c *Client) VMs(ctx context.Context) (VMs, error) {
	return get[VMs](ctx, c, "/v1/vms")
}

// Status returns the state of the VM that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// ExplainJob returns why the tasks of a job wait. If the job is unknown, the error is
// an *Error with status 404.
func (c *Client) ExplainJob(ctx context.Context, id string) (Explanation, error) {
	return get[Explanation](ctx, c, "/v1/jobs/"+url.PathEscape(id)+"/explain")
}

// Handover returns a summary for a person who takes over the cluster.
func (c *Client) Handover(ctx context.Context) (Handover, error) {
	return get[Handover](ctx, c, "/v1/handover")
}
