package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gypsumwinch/internal/cell/cellpb"
)

const (
	// unmeasuredProxyLatency is assumed for a store proxy without a recent measurement: above
	// that of a proxy with a fast link, 7 to 15 ms, and below that of a proxy whose link or
	// processor is busy, 50 to 400 ms.
	unmeasuredProxyLatency = 30 * time.Millisecond
	// failedProxyLatency counts for a proxy that has no route to the store either.
	failedProxyLatency = time.Second
	// proxyLatencyTTL is how long a measurement counts, so that a proxy that was slow is tried
	// again.
	proxyLatencyTTL = 3 * time.Second
	// newLatencyWeight is the weight of a new measurement in the mean.
	newLatencyWeight = 0.3
)

// proxyLatencies holds the latency of calls of the store through each store proxy. VMs of the
// same size may have links of 10 or 200 Mbit/s, which they do not know of each other. It is safe
// for concurrent use; the zero value has no measurements.
type proxyLatencies struct {
	mu     sync.Mutex
	byAddr map[string]measuredLatency
}

// measuredLatency is the moving average of the latency of a proxy.
type measuredLatency struct {
	mean       time.Duration
	measuredAt time.Duration
}

// observe adds a measurement.
func (l *proxyLatencies) observe(addr string, took, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(addr, took, now)
}

// observeAtLeast adds the measurement of a call that would have taken longer. It counts only if the
// proxy is assumed to be faster.
func (l *proxyLatencies) observeAtLeast(addr string, took, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if took > l.latency(addr, now) {
		l.add(addr, took, now)
	}
}

// add adds a measurement. l.mu is locked.
func (l *proxyLatencies) add(addr string, took, now time.Duration) {
	if l.byAddr == nil {
		l.byAddr = map[string]measuredLatency{}
	}
	m, known := l.byAddr[addr]
	if !known || now-m.measuredAt > proxyLatencyTTL {
		l.dropExpired(now)
		m.mean = took
	}
	m.mean += time.Duration(newLatencyWeight * float64(took-m.mean))
	m.measuredAt = now
	l.byAddr[addr] = m
}

// dropExpired bounds the memory by the proxies that were called lately.
func (l *proxyLatencies) dropExpired(now time.Duration) {
	for addr, m := range l.byAddr {
		if now-m.measuredAt > proxyLatencyTTL {
			delete(l.byAddr, addr)
		}
	}
}

// sort orders proxies by latency. Those without a measurement keep their order.
func (l *proxyLatencies) sort(addrs []string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(l.latency(a, now), l.latency(b, now)) })
}

// latency returns the measured or assumed latency of a proxy. l.mu is locked.
func (l *proxyLatencies) latency(addr string, now time.Duration) time.Duration {
	if m, known := l.byAddr[addr]; known && now-m.measuredAt <= proxyLatencyTTL {
		return m.mean
	}
	return unmeasuredProxyLatency
}

// measuredProxy is the client of a store proxy that measures its latency. Reads that may wait
// at the store are not measured.
type measuredProxy struct {
	cellpb.Cell
	addr      string
	latencies *proxyLatencies
}

// Append implements cellpb.Cell.
func (p measuredProxy) Append(ctx context.Context, req *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	startedAt := bootTime()
	resp, err := p.Cell.Append(ctx, req)
	p.observe(ctx, startedAt, resp.GetOutcome(), err)
	return resp, err
}

// Read implements cellpb.Cell.
func (p measuredProxy) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.BatchResponse, error) {
	startedAt := bootTime()
	resp, err := p.Cell.Read(ctx, req)
	if req.WaitMs == 0 {
		p.observe(ctx, startedAt, resp.GetOutcome(), err)
	}
	return resp, err
}

// observe adds the measurement of a call. A call whose result nobody needs any more, since
// another route was faster, would have taken longer than until then.
func (p measuredProxy) observe(ctx context.Context, startedAt time.Duration, outcome cellpb.Outcome, err error) {
	now := bootTime()
	isFailed := err != nil || outcome == cellpb.Outcome_NOT_DONE
	switch {
	case isFailed && ctx.Err() != nil:
		p.latencies.observeAtLeast(p.addr, now-startedAt, now)
	case isFailed:
		p.latencies.observe(p.addr, failedProxyLatency, now)
	default:
		p.latencies.observe(p.addr, now-startedAt, now)
	}
}
