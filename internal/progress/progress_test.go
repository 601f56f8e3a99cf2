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
		_, moved := clock.First()
		is.True(!moved)
		for range 20 {
			time.Sleep(400 * time.Millisecond)
			Report(ctx)
		}
		is.NoErr(ctx.Err())
		first, _ := clock.First()
		last, _ := clock.Last()
		is.Equal(last-first, 19*400*time.Millisecond)
		time.Sleep(501 * time.Millisecond)
		is.Equal(context.Cause(ctx), ErrStalled)
		is.True(errors.Is(Cause(ctx, ctx.Err()), ErrStalled))
		is.True(!errors.Is(Cause(ctx, ctx.Err()), context.Canceled))
		is.NoErr(outer.Err()) // has a longer limit
		is.NoErr(Cause(ctx, nil))
	})
}
