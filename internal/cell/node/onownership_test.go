package node

import (
	"context"
	"io"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/standin/cellstore"
)

// TestOwnershipIsReported guards against a VM that keeps the memory settings of an owner
// after its ownership has ended.
func TestOwnershipIsReported(t *testing.T) {
	is := is.New(t)
	var calls []bool
	settings := Settings{Name: "vm", PeerAddr: "vm:1", OnOwnership: func(owns bool) { calls = append(calls, owns) }}
	c := newControlLoop(New(settings, Ports{Store: &cellstore.Store{}}, io.Discard), 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = c.run(ctx)
	is.True(slices.Equal(calls, []bool{true, false}))
}
