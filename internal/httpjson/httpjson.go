// Package httpjson is a client for services that exchange JSON over HTTP, with a
// timeout and size limit for each call. It adds no retries of its own and has no server
// side. Read Client first, then Call.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/netcount"
	"gypsumwinch/internal/structs"
)

// HeaderClient is the header with the name of the calling VM, by which a service
// distinguishes its clients.
const HeaderClient = "X-Client"

const (
	// DefaultTimeout is the default of Options.Timeout.
	DefaultTimeout = 2 * time.Second
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = time.Second
	// DefaultAnswerLimit is the default of Options.AnswerLimit, in bytes.
	DefaultAnswerLimit = 64 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// Options configure a Client.
type Options struct {
	// Name is the value of HeaderClient. The header is left out if it is empty.
	Name string
	// Timeout bounds a call, including reading its answer. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// AnswerLimit is the largest accepted answer in bytes. Zero means
	// DefaultAnswerLimit.
	AnswerLimit int64
	// ConnsPerHost bounds the connections to one address. Zero means 2.
	ConnsPerHost int
	// Count counts the bytes of the connections. It may be nil.
	Count *netcount.Counter
}

// Client calls services by address and reuses connections. It is safe for
// concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client that takes the defaults for zero fields of opts. Its
// transport neither uses proxies nor requests compression.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.AnswerLimit <= 0 {
		opts.AnswerLimit = DefaultAnswerLimit
	}
	if opts.ConnsPerHost <= 0 {
		opts.ConnsPerHost = 2
	}
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	transport := &http.Transport{
		DialContext:         opts.Count.Dialer(dialer.DialContext),
		MaxConnsPerHost:     opts.ConnsPerHost,
		MaxIdleConnsPerHost: opts.ConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{opts: opts, http: &http.Client{Transport: transport}}
}

// CloseIdle closes the connections that are not in use. The client can be used
// afterwards.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
}

// Call describes one call. In is encoded as the body of the request, and the
// answer is decoded into Out; both may be nil.
type Call struct {
	// Step is the name of the call in errors.
	Step   string
	Method string
	// Addr is the host:port of the service.
	Addr string
	// Path includes the query.
	Path string
	In   any
	Out  any
	// Extra is added to the client's Timeout for this call.
	Extra time.Duration
	// ETag, if set, makes the call conditional: it holds the entity tag of the
	// answer that the caller has, or "", and receives that of a new answer. For
	// an unchanged answer, Do returns status 304 and leaves Out as it is.
	ETag *string
}

// StatusError is the error for an answer with an unexpected status code.
type StatusError struct {
	Code int
	// Text is the start of the answer, at most 200 bytes if it comes from Do.
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, e.Text)
}

// Do makes a call and returns the status code, 0 if there was no answer. An answer
// with status 2xx or 409 is decoded into Out; an empty one leaves Out as it is.
// Errors are *structs.Error, whose cause is a *StatusError for other status codes.
// A call that fails may have taken effect.
func (c *Client) Do(ctx context.Context, call Call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout+call.Extra)
	defer cancel()
	code, err := c.do(ctx, call)
	if err != nil {
		return code, &structs.Error{Step: call.Step, Peer: call.Addr, Cause: err}
	}
	return code, nil
}

// do makes the call for Do, with the deadline in ctx, and returns the bare error.
func (c *Client) do(ctx context.Context, call Call) (int, error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.AnswerLimit+1))
	if err != nil {
		return resp.StatusCode, eris.Wrap(err, "read answer")
	}
	if int64(len(body)) > c.opts.AnswerLimit {
		return resp.StatusCode, eris.Errorf("answer exceeds %d bytes", c.opts.AnswerLimit)
	}
	if call.ETag != nil {
		if resp.StatusCode == http.StatusNotModified {
			return resp.StatusCode, nil
		}
		*call.ETag = resp.Header.Get("ETag")
	}
	if resp.StatusCode/100 != 2 && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, &StatusError{Code: resp.StatusCode, Text: string(body[:min(len(body), 200)])}
	}
	if call.Out == nil || len(body) == 0 {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(body, call.Out); err != nil {
		return resp.StatusCode, eris.Wrap(err, "decode answer")
	}
	return resp.StatusCode, nil
}

// newRequest builds the HTTP request of a call with its body and headers.
func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if call.In != nil {
		data, err := json.Marshal(call.In)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, body)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if call.ETag != nil && *call.ETag != "" {
		req.Header.Set("If-None-Match", *call.ETag)
	}
	if c.opts.Name != "" {
		req.Header.Set(HeaderClient, c.opts.Name)
	}
	return req, nil
}
