package node

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

// A malformed message or an unexpected state must not end the process, since every
// other VM may receive the same message. A panic is therefore contained in the call,
// the request or the loop in which it occurs, logged with its stack and counted.

// loopRestartDelay is the pause before a loop that panicked starts again.
const loopRestartDelay = 100 * time.Millisecond

// panicReporter logs and counts contained panics.
type panicReporter struct {
	log     hclog.Logger
	metrics *metrics
}

// report logs and counts a recovered panic and returns it as an error. part names the
// part of the program in which it occurred.
func (p panicReporter) report(part string, recovered any) error {
	p.metrics.panics.WithLabelValues(part).Inc()
	p.log.Error("panic was contained", "part", part, "panic", fmt.Sprint(recovered), "stack", string(debug.Stack()))
	return eris.Errorf("panic in %s: %v", part, recovered)
}

// contain calls f and returns a panic in f as an error.
func (p panicReporter) contain(part string, f func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = p.report(part, r)
		}
	}()
	f()
	return nil
}

// runLoop runs a loop until ctx ends, and again after a panic. Run starts each loop of
// the node with it.
func (n *Node) runLoop(ctx context.Context, part string, loop func(context.Context)) {
	for n.panics.contain(part, func() { loop(ctx) }) != nil && ctx.Err() == nil {
		sleep(ctx, loopRestartDelay)
	}
}

// ContainPanics returns a handler that contains panics of h. The outcome of the request
// is then unknown, as after a timeout, so it responds with status 504. The daemon wraps
// the callers' handler with it, Run that of the RPCs.
func (n *Node) ContainPanics(part string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.panics.contain(part, func() { h.ServeHTTP(w, r) }) != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

// containedStore contains panics of a store client, for example in the decoding of an
// answer.
type containedStore struct {
	cell.Store
	panics panicReporter
}

func (s containedStore) Append(ctx context.Context, a cell.Append) (end int64, err error) {
	if p := s.panics.contain("store", func() { end, err = s.Store.Append(ctx, a) }); p != nil {
		return 0, p
	}
	return end, err
}

func (s containedStore) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (b cell.Batch, err error) {
	if p := s.panics.contain("store", func() { b, err = s.Store.Read(ctx, topic, from, wait) }); p != nil {
		return cell.Batch{}, p
	}
	return b, err
}

func (s containedStore) Newest(ctx context.Context, topic cell.Topic) (b cell.Batch, err error) {
	if p := s.panics.contain("store", func() { b, err = s.Store.Newest(ctx, topic) }); p != nil {
		return cell.Batch{}, p
	}
	return b, err
}

// containedWorkers contains panics of a client of the workers.
type containedWorkers struct {
	cell.WorkerClient
	panics panicReporter
}

func (w containedWorkers) Start(ctx context.Context, s cell.Start) (clock time.Duration, refused cell.Refusal, err error) {
	if p := w.panics.contain("workers", func() { clock, refused, err = w.WorkerClient.Start(ctx, s) }); p != nil {
		return 0, cell.RefusedNone, p
	}
	return clock, refused, err
}

func (w containedWorkers) Stop(ctx context.Context, s cell.Stop) (refused cell.Refusal, err error) {
	if p := w.panics.contain("workers", func() { refused, err = w.WorkerClient.Stop(ctx, s) }); p != nil {
		return cell.RefusedNone, p
	}
	return refused, err
}

func (w containedWorkers) Renew(ctx context.Context, r cell.Renewal) (inv cell.Inventory, refused cell.Refusal, err error) {
	if p := w.panics.contain("workers", func() { inv, refused, err = w.WorkerClient.Renew(ctx, r) }); p != nil {
		return cell.Inventory{}, cell.RefusedNone, p
	}
	return inv, refused, err
}

func (w containedWorkers) Pace(ctx context.Context, r cell.Pace) (refused cell.Refusal, err error) {
	if p := w.panics.contain("workers", func() { refused, err = w.WorkerClient.Pace(ctx, r) }); p != nil {
		return cell.RefusedNone, p
	}
	return refused, err
}

// containedAdvisor contains panics of a client of the advice service.
type containedAdvisor struct {
	cell.Advisor
	panics panicReporter
}

func (a containedAdvisor) Ask(ctx context.Context, step string, workers []string) (answer cell.AdviceAnswer, err error) {
	if p := a.panics.contain("advice", func() { answer, err = a.Advisor.Ask(ctx, step, workers) }); p != nil {
		return cell.AdviceAnswer{}, p
	}
	return answer, err
}

// containedDecoder contains panics of the decoder of records of other programs.
type containedDecoder struct {
	Decoder
	panics panicReporter
}

func (d containedDecoder) Config(key string, value []byte) (c *cell.Config, ok bool, err error) {
	if p := d.panics.contain("decoder", func() { c, ok, err = d.Decoder.Config(key, value) }); p != nil {
		return nil, false, p
	}
	return c, ok, err
}

func (d containedDecoder) Worker(key string, value []byte) (w cell.Worker, err error) {
	if p := d.panics.contain("decoder", func() { w, err = d.Decoder.Worker(key, value) }); p != nil {
		return cell.Worker{}, p
	}
	return w, err
}
