package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/owner"
)

// newTestDispatcher returns a dispatcher whose queries are never answered.
func newTestDispatcher(count int) *adviceDispatcher {
	query := func(ctx context.Context, _ string, _ []string) (cell.AdviceAnswer, error) {
		<-ctx.Done()
		return cell.AdviceAnswer{}, ctx.Err()
	}
	d := newAdviceDispatcher(query, func(adviceResult) {})
	for range count - 1 {
		d.proxies = append(d.proxies, &adviceProxy{query: query, isLocal: true})
	}
	return d
}

// TestLongQueriesLeaveProxiesFree guards against short queries that wait behind
// long ones: some proxies take no long queries, and some of those only short
// ones.
func TestLongQueriesLeaveProxiesFree(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newTestDispatcher(12)
	now := time.Second
	is.Equal(d.capacity(now), owner.AdviceCapacity{FreeProxies: 10, FreeForLongQueries: 8, LongQueryTime: longQueryTime})
	for range 8 {
		d.enqueue(owner.QueryAdvice{AnswerTime: time.Second}, now)
	}
	d.dispatch(ctx, now)
	is.Equal(d.capacity(now), owner.AdviceCapacity{FreeProxies: 2, FreeForLongQueries: 0, LongQueryTime: longQueryTime})
	for range 2 {
		d.enqueue(owner.QueryAdvice{AnswerTime: 2 * owner.ShortQueryTime}, now)
	}
	d.dispatch(ctx, now)
	is.Equal(d.capacity(now).FreeProxies, 0)
	d.enqueue(owner.QueryAdvice{AnswerTime: 10 * time.Millisecond, Urgent: true}, now)
	d.dispatch(ctx, now)
	is.Equal(len(d.urgent), 0) // a short query is sent at once
}

// TestQueryIsNotSentBehindLongOne guards against a short query being sent to a
// proxy whose long query should be answered by now but is late.
func TestQueryIsNotSentBehindLongOne(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newTestDispatcher(1)
	d.enqueue(owner.QueryAdvice{AnswerTime: longQueryTime}, 0)
	d.dispatch(ctx, 0)
	d.enqueue(owner.QueryAdvice{AnswerTime: 10 * time.Millisecond, Urgent: true}, longQueryTime)
	d.dispatch(ctx, longQueryTime)
	is.Equal(len(d.urgent), 1)
}
