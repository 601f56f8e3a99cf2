package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/httpjson"
)

// Headers of POST /run and its answer. A server returns HeaderRequestID and
// HeaderAttempt unchanged. HeaderDigest is the Digest of the answer's body. The
// server sets HeaderNotStarted to "true" on a refusal, and HeaderLeaving while it
// is leaving.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttempt    = "X-Attempt"
	HeaderClass      = "X-Class"
	HeaderDigest     = "X-Digest"
	HeaderNotStarted = "X-Not-Started"
	HeaderLeaving    = "X-Leaving"
)

// Defaults of Options.
const (
	DefaultDialTimeout   = time.Second
	DefaultRunTimeout    = 10 * time.Minute
	DefaultStatusTimeout = 2 * time.Second
	DefaultAnswerLimit   = 16 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// Options configure a Client. Zero fields, except Name, take the defaults.
type Options struct {
	// Name identifies the calling VM to the servers. It is sent in the header
	// httpjson.HeaderClient.
	Name string
	// DialTimeout bounds the opening of a connection for requests.
	DialTimeout time.Duration
	// RunTimeout bounds one attempt, including reading its answer.
	RunTimeout time.Duration
	// StatusTimeout bounds a call of Status.
	StatusTimeout time.Duration
	// AnswerLimit is the largest accepted answer of Run in bytes.
	AnswerLimit int64
}

// Client calls backend servers by address (host:port). It is safe for concurrent
// use.
type Client struct {
	opts         Options
	statusClient *httpjson.Client

	mu sync.Mutex
	// pools holds the connections for requests by address. mu guards it.
	pools map[string]*pool
}

// New returns a client. It opens no connection for requests to a server before
// SetLimit is called for the server's address.
func New(opts Options) *Client {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.RunTimeout <= 0 {
		opts.RunTimeout = DefaultRunTimeout
	}
	if opts.StatusTimeout <= 0 {
		opts.StatusTimeout = DefaultStatusTimeout
	}
	if opts.AnswerLimit <= 0 {
		opts.AnswerLimit = DefaultAnswerLimit
	}
	return &Client{
		opts: opts,
		statusClient: httpjson.New(httpjson.Options{
			Name: opts.Name, Timeout: opts.StatusTimeout, ConnsPerHost: 1, AnswerLimit: 1 << 20,
		}),
		pools: make(map[string]*pool),
	}
}

// SetLimit sets the maximum number of connections for requests to the server at
// addr, which is the number of slots held there. Idle connections above the limit
// are closed immediately, connections in use when their requests end. The daemon
// calls SetLimit after each response to its slot requests.
func (c *Client) SetLimit(addr string, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{dialTimeout: c.opts.DialTimeout}
		c.pools[addr] = p
	}
	p.setLimit(limit)
	if p.isRemovable() {
		delete(c.pools, addr)
	}
}

// acquire reserves a connection to a server for one call of Run. The connection is
// nil if the limit is reached.
func (c *Client) acquire(addr string) (*pool, *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		return nil, nil
	}
	return p, p.acquire()
}

// release returns a connection to its pool at the end of Run and deletes a pool
// that has no limit and no connection in use.
func (c *Client) release(addr string, p *pool, conn *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.release(conn)
	if p.isRemovable() && c.pools[addr] == p {
		delete(c.pools, addr)
	}
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Body []byte
	// Leaving is true if the server reported that it is leaving. It is also set
	// with an error.
	Leaving bool
}

// Run sends one attempt of a request and returns the complete answer. Errors are
// *structs.Error with a *Failure as the cause, see KindOf. The daemon calls Run for
// each attempt that it dispatches.
func (c *Client) Run(ctx context.Context, addr, id string, attempt int, class string, payload []byte) (Answer, error) {
	p, conn := c.acquire(addr)
	if conn == nil {
		return Answer{}, newRunError(addr, KindNotSent, eris.New("connection limit reached"))
	}
	defer c.release(addr, p, conn)
	ctx, cancel := context.WithTimeout(ctx, c.opts.RunTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/run", bytes.NewReader(payload))
	if err != nil {
		return Answer{}, newRunError(addr, KindNotSent, eris.Wrap(err, "build request"))
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(httpjson.HeaderClient, c.opts.Name)
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderAttempt, strconv.Itoa(attempt))
	req.Header.Set(HeaderClass, class)
	resp, isUnsent, err := conn.roundTrip(req)
	if err != nil && isUnsent {
		return Answer{}, newRunError(addr, KindNotSent, err)
	}
	if err != nil {
		return Answer{}, newRunError(addr, KindLost, err)
	}
	defer resp.Body.Close()
	return c.readAnswer(addr, id, attempt, resp)
}

// readAnswer checks and reads the answer to Run and classifies its failures. Status
// 500 and 4xx mean that the request ran and failed; after other unexpected status
// codes it may have run.
func (c *Client) readAnswer(addr, id string, attempt int, resp *http.Response) (Answer, error) {
	if got := resp.Header.Get(HeaderRequestID); got != id {
		return Answer{}, newRunError(addr, KindLost, eris.Errorf("answer echoes request id %q instead of %q", got, id))
	}
	if got := resp.Header.Get(HeaderAttempt); got != strconv.Itoa(attempt) {
		return Answer{}, newRunError(addr, KindLost, eris.Errorf("answer echoes attempt %q instead of %d", got, attempt))
	}
	leaving := resp.Header.Get(HeaderLeaving) == "true"
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == "true" {
		return Answer{Leaving: leaving}, newRunError(addr, refusalKind(leaving), eris.New("server refused the request"))
	}
	if resp.StatusCode != http.StatusOK {
		kind := KindLost
		if resp.StatusCode == http.StatusInternalServerError || resp.StatusCode/100 == 4 {
			kind = KindFailed
		}
		return Answer{Leaving: leaving}, newRunError(addr, kind, &httpjson.StatusError{Code: resp.StatusCode})
	}
	body, failure := readBody(resp, c.opts.AnswerLimit)
	if failure != nil {
		return Answer{Leaving: leaving}, newRunError(addr, failure.Kind, failure.Cause)
	}
	return Answer{Body: body, Leaving: leaving}, nil
}

// refusalKind returns the kind of failure of a request that the server refused.
func refusalKind(leaving bool) Kind {
	if leaving {
		return KindLeaving
	}
	return KindRefused
}

// readBody reads the complete body of an answer for readAnswer and checks its length
// and digest.
func readBody(resp *http.Response, limit int64) ([]byte, *Failure) {
	if resp.ContentLength < 0 {
		return nil, &Failure{Kind: KindLost, Cause: eris.New("answer has no Content-Length")}
	}
	if resp.ContentLength > limit {
		return nil, &Failure{Kind: KindFailed, Cause: eris.Errorf("answer of %d bytes exceeds the limit of %d", resp.ContentLength, limit)}
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, &Failure{Kind: KindLost, Cause: eris.Wrap(err, "read answer")}
	}
	// net/http reuses a connection only after the end of the body has been read.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, &Failure{Kind: KindLost, Cause: eris.Wrap(err, "read end of answer")}
	}
	if got, want := resp.Header.Get(HeaderDigest), Digest(body); got != want {
		return nil, &Failure{Kind: KindLost, Cause: eris.Errorf("answer has digest %q instead of %q", got, want)}
	}
	return body, nil
}

// Status is the answer to GET /status, in which a server reports its slots and
// connections.
type Status struct {
	Slots       int  `json:"slots"`
	InUse       int  `json:"in_use"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}

// Status requests the state of a server, on a connection that does not count against
// the limit of SetLimit. The daemon uses it to probe servers.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var out Status
	_, err := c.statusClient.Do(ctx, httpjson.Call{
		Step: "get status", Method: http.MethodGet, Addr: addr, Path: "/status", Out: &out,
	})
	return out, err
}
