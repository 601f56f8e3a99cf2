// Package progress lets code that receives data report its arrival to the callers that wait for it,
// through the context of the call. A time limit can then apply to the time without progress
// instead of the whole transfer, whose duration depends on its size and on the bandwidth.
package progress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of a context that ended because no progress was reported.
var ErrStalled = eris.New("nothing arrived within the time limit")

// contextKey is the key of the innermost observer in a context.
type contextKey struct{}

// observer is called for each report, like those of the enclosing contexts.
type observer struct {
	observe func()
	outer   *observer
}

// Observe returns a context whose reports call f, besides the observers of ctx. f must not block.
func Observe(ctx context.Context, f func()) context.Context {
	outer, _ := ctx.Value(contextKey{}).(*observer)
	return context.WithValue(ctx, contextKey{}, &observer{observe: f, outer: outer})
}

// Report reports that data has arrived for the call with this context.
func Report(ctx context.Context) {
	o, _ := ctx.Value(contextKey{}).(*observer)
	for ; o != nil; o = o.outer {
		o.observe()
	}
}

// WithStallTimeout returns a context that ends if nothing is reported for the duration first, and
// after a report for the duration next. The cause is then ErrStalled. The caller calls cancel when
// the call has ended.
func WithStallTimeout(ctx context.Context, first, next time.Duration) (_ context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancelCause(ErrStalled) })
	ctx = Observe(ctx, func() { timer.Reset(next) })
	return ctx, func() {
		timer.Stop()
		cancelCause(nil)
	}
}

// Cause returns the error of a call with this context. It wraps ErrStalled if the call ended for
// want of progress, instead of context.Canceled.
func Cause(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) == ErrStalled {
		return eris.Wrapf(ErrStalled, "call has ended (%v)", err)
	}
	return err
}

// Clock records the times of reports. The zero value has none. It is safe for concurrent use.
type Clock struct{ first, last atomic.Int64 }

// Observe returns a context whose reports are recorded. now returns the time since any fixed
// moment before.
func (c *Clock) Observe(ctx context.Context, now func() time.Duration) context.Context {
	return Observe(ctx, func() {
		at := int64(now())
		c.first.CompareAndSwap(0, at)
		c.last.Store(at)
	})
}

// First returns the time of the first report, and false if there is none.
func (c *Clock) First() (time.Duration, bool) {
	at := c.first.Load()
	return time.Duration(at), at != 0
}

// Last returns the time of the last report, and false if there is none.
func (c *Clock) Last() (time.Duration, bool) {
	at := c.last.Load()
	return time.Duration(at), at != 0
}

// Body is the body of a response that reports the arrival of its bytes.
type Body struct {
	ctx      context.Context
	body     io.ReadCloser
	reports  bool
	received int64
}

// NewBody returns the body of a response that has begun to arrive for the call with this context.
// Its bytes are reported. Those of a response whose status is not 200 are only counted: a peer that
// refuses a call makes no progress with it.
func NewBody(ctx context.Context, resp *http.Response) *Body {
	b := &Body{ctx: ctx, body: resp.Body, reports: resp.StatusCode == http.StatusOK}
	b.report()
	return b
}

// Received returns the number of bytes that have been read.
func (b *Body) Received() int64 { return b.received }

func (b *Body) report() {
	if b.reports {
		Report(b.ctx)
	}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.received += int64(n)
	if n > 0 {
		b.report()
	}
	return n, err
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.body.Close() }
