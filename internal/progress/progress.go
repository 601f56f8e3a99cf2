// Package progress lets code that moves the data of a call report that to the callers that wait for
// it, through the context of the call. A time limit can then apply to the time without progress
// instead of the whole transfer, whose duration depends on its size and on the bandwidth.
package progress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of a context that ended because no progress was reported.
var ErrStalled = eris.New("no data moved within the time limit")

// Direction says which way data moved.
type Direction int

// Directions of the data of a call.
const (
	// Sent is data of the request that the connection has taken.
	Sent Direction = iota
	// Received is data of the answer.
	Received
)

// contextKey is the key of the innermost observer in a context.
type contextKey struct{}

// observer is called for each report, like those of the enclosing contexts.
type observer struct {
	observe func(Direction)
	outer   *observer
}

// Observe returns a context whose reports call f, besides the observers of ctx. f must not block.
func Observe(ctx context.Context, f func(Direction)) context.Context {
	outer, _ := ctx.Value(contextKey{}).(*observer)
	return context.WithValue(ctx, contextKey{}, &observer{observe: f, outer: outer})
}

// Report reports that data has moved for the call with this context.
func Report(ctx context.Context, d Direction) {
	o, _ := ctx.Value(contextKey{}).(*observer)
	for ; o != nil; o = o.outer {
		o.observe(d)
	}
}

// WithStallTimeout returns a context that ends if nothing is reported for the duration first, and
// after a report for the duration next. The cause is then ErrStalled. The caller calls cancel when
// the call has ended.
func WithStallTimeout(ctx context.Context, first, next time.Duration) (_ context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancelCause(ErrStalled) })
	ctx = Observe(ctx, func(Direction) { timer.Reset(next) })
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
type Clock struct{ firstReceived, lastSent, last atomic.Int64 }

// Observe returns a context whose reports are recorded. now returns the time since any fixed
// moment before.
func (c *Clock) Observe(ctx context.Context, now func() time.Duration) context.Context {
	return Observe(ctx, func(d Direction) {
		at := int64(now())
		switch d {
		case Received:
			c.firstReceived.CompareAndSwap(0, at)
		case Sent:
			c.lastSent.Store(at)
		}
		c.last.Store(at)
	})
}

// FirstReceived returns when data was first received, and false if there is none.
func (c *Clock) FirstReceived() (time.Duration, bool) {
	at := c.firstReceived.Load()
	return time.Duration(at), at != 0
}

// Latency returns the time from the last data of the request, or from start for a call without any,
// to the first data of the answer, and false if none has arrived.
func (c *Clock) Latency(start time.Duration) (time.Duration, bool) {
	first, received := c.FirstReceived()
	return max(0, first-max(start, time.Duration(c.lastSent.Load()))), received
}

// Last returns when data last moved, and false if none has.
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
		Report(b.ctx, Received)
	}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p[:min(len(p), maxReportedPart)])
	b.received += int64(n)
	if n > 0 {
		b.report()
	}
	return n, err
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.body.Close() }

// RequestBody is the body of a request that reports that the connection takes its bytes.
type RequestBody struct {
	ctx context.Context
	// Only Read and Close are called, so that the body is read, and reported, in parts.
	body io.ReadCloser
}

// NewRequestBody returns a body that reports to the observers of ctx.
func NewRequestBody(ctx context.Context, body io.ReadCloser) *RequestBody {
	return &RequestBody{ctx: ctx, body: body}
}

// Read implements io.Reader.
func (b *RequestBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p[:min(len(p), maxReportedPart)])
	if n > 0 {
		Report(b.ctx, Sent)
	}
	return n, err
}

// Close implements io.Closer.
func (b *RequestBody) Close() error { return b.body.Close() }

// maxReportedPart bounds the bytes that are reported at once: 33 ms on a link of 2 Mbit/s, less than
// a call waits before it is hedged. A read of a chunked body returns only when it has filled its
// buffer.
const maxReportedPart = 8 << 10

// sendBufferBytes is the kernel's send buffer of a connection. What is in it counts as sent, though
// the link may still have to carry it: 0.26 s at 2 Mbit/s.
const sendBufferBytes = 64 << 10

// Dial opens a connection whose send buffer is so small that reports of sent data tell how the link
// takes them. Left to itself the kernel buffers several MB.
func Dial(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, addr)
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // the kernel's own size works as well, with coarser reports
	}
	return conn, err
}
