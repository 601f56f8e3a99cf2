package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/cellpb"
)

// TestFastProxiesComeFirst guards against an owner that the store turns away and that goes on to
// call it through proxies with slow links while faster ones are known: each of its appends took
// 0.1 to 0.5 s then, and most urgent jobs were late.
func TestFastProxiesComeFirst(t *testing.T) {
	is := is.New(t)
	var l proxyLatencies
	now := time.Minute
	l.observe("slow", 200*time.Millisecond, now)
	l.observe("fast", 8*time.Millisecond, now)
	l.observe("turned-away", failedProxyLatency, now)
	addrs := []string{"turned-away", "slow", "unmeasured", "fast"}
	l.sort(addrs, now+time.Second)
	is.Equal(addrs, []string{"fast", "unmeasured", "slow", "turned-away"})
	addrs = []string{"slow", "unmeasured"}
	l.sort(addrs, now+proxyLatencyTTL+time.Second)
	is.Equal(addrs, []string{"slow", "unmeasured"}) // tried again once the measurement has expired
}

// TestLatencyFollowsALinkThatGetsBusy guards against a proxy that stays first although its calls
// have become slow.
func TestLatencyFollowsALinkThatGetsBusy(t *testing.T) {
	is := is.New(t)
	var l proxyLatencies
	l.observe("a", 8*time.Millisecond, 0)
	l.observe("b", 20*time.Millisecond, 0)
	l.observe("a", 300*time.Millisecond, time.Millisecond)
	addrs := []string{"a", "b"}
	l.sort(addrs, 2*time.Millisecond)
	is.Equal(addrs, []string{"b", "a"})
}

// refusingProxy is a store proxy that the store turns away too.
type refusingProxy struct{ cellpb.Cell }

func (refusingProxy) Append(context.Context, *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	return &cellpb.AppendResponse{Outcome: cellpb.Outcome_NOT_DONE}, nil
}

// TestProxyWithoutRouteCountsAsSlow guards against a proxy that refuses each call at once and
// counts as the fastest for it.
func TestProxyWithoutRouteCountsAsSlow(t *testing.T) {
	is := is.New(t)
	var l proxyLatencies
	_, err := measuredProxy{Cell: refusingProxy{}, addr: "a", latencies: &l}.Append(context.Background(), &cellpb.AppendRequest{})
	is.NoErr(err)
	addrs := []string{"a", "b"}
	l.sort(addrs, bootTime())
	is.Equal(addrs, []string{"b", "a"})
}

// hangingProxy is a store proxy that does not answer.
type hangingProxy struct{ cellpb.Cell }

func (hangingProxy) Append(ctx context.Context, _ *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestCancelledCallDoesNotMakeAProxyFast guards against a proxy that does not answer and counts as
// the fastest, since another route answered soon after it was called.
func TestCancelledCallDoesNotMakeAProxyFast(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var l proxyLatencies
	l.observe("slow", 200*time.Millisecond, bootTime())
	for _, addr := range []string{"hanging", "slow"} {
		_, err := measuredProxy{Cell: hangingProxy{}, addr: addr, latencies: &l}.Append(ctx, &cellpb.AppendRequest{})
		is.True(err != nil)
	}
	addrs := []string{"slow", "unmeasured", "hanging"}
	l.sort(addrs, bootTime())
	is.Equal(addrs, []string{"unmeasured", "hanging", "slow"})
	l.observeAtLeast("hanging", 100*time.Millisecond, bootTime())
	l.sort(addrs, bootTime())
	is.Equal(addrs, []string{"unmeasured", "hanging", "slow"})
	l.observe("fast", 50*time.Millisecond, bootTime())
	addrs = []string{"hanging", "fast"}
	l.sort(addrs, bootTime())
	is.Equal(addrs, []string{"fast", "hanging"})
}
