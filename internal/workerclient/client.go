package workerclient

import (
	"context"
	"net/http"
	"time"

	"gypsumwinch/internal/httpjson"
	"gypsumwinch/internal/netcount"
)

// Options configure a Client. The zero value is valid.
type Options struct {
	// Name identifies the calling VM to the workers. It is sent in the header
	// httpjson.HeaderClient.
	Name string
	// Timeout bounds a call, including reading its answer. Zero means
	// httpjson.DefaultTimeout. It must be well below the lease duration.
	Timeout time.Duration
	// Count counts the bytes of the connections. It may be nil.
	Count *netcount.Counter
}

// maxAnswerBytes is enough for the inventory of a worker with tens of thousands
// of tasks.
const maxAnswerBytes = 16 << 20

// Client calls workers by address (host:port). It is safe for concurrent use.
// Errors are *structs.Error, and an operation that failed with an error may have
// taken effect. A refusal by the worker is not an error: the method returns an
// answer whose Refusal is set.
type Client struct {
	http *httpjson.Client
}

// New returns a client without open connections. The daemon creates one at its
// start and uses it for all workers.
func New(opts Options) *Client {
	return &Client{http: httpjson.New(httpjson.Options{
		Name: opts.Name, Timeout: opts.Timeout, AnswerLimit: maxAnswerBytes, Count: opts.Count,
	})}
}

// Lease acquires or renews the lease on a worker for ttl and acknowledges
// finished attempts. Running tasks continue for taskTTL after the last renewal,
// then the worker stops them. term is the fencing token of the holder. The owner
// calls Lease periodically for each worker.
func (c *Client) Lease(ctx context.Context, addr, holder string, term int64, ttl, taskTTL time.Duration, ack Ack) (LeaseAnswer, error) {
	in := LeaseRequest{
		Holder: holder, Term: term, TTLMS: ttl.Milliseconds(), TaskTTLMS: taskTTL.Milliseconds(), Ack: ack,
	}
	var out LeaseAnswer
	err := c.call(ctx, "lease worker", http.MethodPut, addr, "/lease", in, &out)
	return out, err
}

// Release ends the lease of holder, so that a successor can acquire it
// immediately. Running tasks continue for the taskTTL of the last renewal. The
// owner calls Release when it shuts down.
func (c *Client) Release(ctx context.Context, addr, holder string, term int64) error {
	in := Authority{Holder: holder, Term: term}
	return c.call(ctx, "release worker", http.MethodPost, addr, "/lease/release", in, nil)
}

// Tasks returns the lease, the running attempts and the report of a worker. It
// needs no lease. An owner calls it to learn what a worker runs and
// who holds its lease.
func (c *Client) Tasks(ctx context.Context, addr string) (Inventory, error) {
	var out Inventory
	err := c.call(ctx, "list tasks", http.MethodGet, addr, "/tasks", nil, &out)
	return out, err
}

// Start starts a batch of attempts. It is idempotent: a repeated start of an
// attempt has no further effect. The answer has a result for each attempt.
func (c *Client) Start(ctx context.Context, addr string, in StartRequest) (StartAnswer, error) {
	var out StartAnswer
	err := c.call(ctx, "start tasks", http.MethodPost, addr, "/tasks", in, &out)
	return out, err
}

// Stop stops a batch of attempts. It also prevents the start of an attempt whose
// start request has not arrived yet.
func (c *Client) Stop(ctx context.Context, addr string, in StopRequest) (StopAnswer, error) {
	var out StopAnswer
	err := c.call(ctx, "stop tasks", http.MethodPost, addr, "/tasks/stop", in, &out)
	return out, err
}

// Checkpoint returns the saved state of running attempts, which a later start can
// resume from. The daemon calls it before it stops attempts.
func (c *Client) Checkpoint(ctx context.Context, addr string, in StopRequest) (CheckpointAnswer, error) {
	var out CheckpointAnswer
	err := c.call(ctx, "checkpoint tasks", http.MethodPost, addr, "/tasks/checkpoint", in, &out)
	return out, err
}

// Throttle limits the CPU of running attempts. The limit stays in force until the
// next call for the same attempt.
func (c *Client) Throttle(ctx context.Context, addr string, in ThrottleRequest) (ThrottleAnswer, error) {
	var out ThrottleAnswer
	err := c.call(ctx, "throttle tasks", http.MethodPost, addr, "/tasks/throttle", in, &out)
	return out, err
}

// call sends one request to a worker for the methods above and decodes the answer
// into out, which may be nil. step is the name of the call in errors.
func (c *Client) call(ctx context.Context, step, method, addr, path string, in, out any) error {
	_, err := c.http.Do(ctx, httpjson.Call{Step: step, Method: method, Addr: addr, Path: path, In: in, Out: out})
	return err
}
