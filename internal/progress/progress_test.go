package progress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestTransferThatMovesOutlivesItsStallTimeout guards against transfers that are cut off for their size, and against ones that stand still for ever.
func TestTransferThatMovesOutlivesItsStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outer, cancelOuter := WithStallTimeout(t.Context(), 2*time.Second, time.Second)
		defer cancelOuter()
		inner, cancelInner := WithStallTimeout(outer, time.Second, 500*time.Millisecond)
		defer cancelInner()
		var clock Clock
		begin := time.Now()
		ctx := clock.Observe(inner, func() time.Duration { return 1 + time.Since(begin) })
		_, moved := clock.FirstReceived()
		is.True(!moved)
		for i := range 20 {
			time.Sleep(400 * time.Millisecond)
			Report(ctx, Direction(i%2))
		}
		is.NoErr(ctx.Err())
		first, _ := clock.FirstReceived()
		last, _ := clock.Last()
		is.Equal(last-first, 18*400*time.Millisecond) // the first report is of sent data
		latency, _ := clock.Latency(1)
		is.Equal(latency, time.Duration(0)) // data was sent after the first was received
		time.Sleep(501 * time.Millisecond)
		is.Equal(context.Cause(ctx), ErrStalled)
		is.True(errors.Is(Cause(ctx, ctx.Err()), ErrStalled))
		is.True(!errors.Is(Cause(ctx, ctx.Err()), context.Canceled))
		is.NoErr(outer.Err()) // has a longer limit
		is.NoErr(Cause(ctx, nil))
	})
}

// TestLatencyBeginsAfterTheRequest guards against a store that counts as slow since a large request took long to send.
func TestLatencyBeginsAfterTheRequest(t *testing.T) {
	is := is.New(t)
	var clock Clock
	var now time.Duration
	ctx := clock.Observe(t.Context(), func() time.Duration { return now })
	for _, step := range []struct {
		at time.Duration
		d  Direction
	}{{100, Sent}, {900, Sent}, {905, Received}, {2000, Received}} {
		now = step.at
		Report(ctx, step.d)
	}
	latency, received := clock.Latency(50)
	is.True(received)
	is.Equal(latency, time.Duration(5))
}
