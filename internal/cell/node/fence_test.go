package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// lateStore executes an append after a delay.
type lateStore struct {
	cell.Store
	executedAt time.Duration
}

func (s *lateStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	sleep(ctx, 30*time.Millisecond)
	s.executedAt = bootTime()
	return s.Store.Append(ctx, a)
}

// TestFormerOwnersAreFencedFromTheAnswerOn guards against a task that runs twice, since the authority of a former owner counts from before its last batch was accepted.
func TestFormerOwnersAreFencedFromTheAnswerOn(t *testing.T) {
	is := is.New(t)
	store := &lateStore{Store: &cellstore.Store{}}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: store}, io.Discard)
	fencedAt, err := newControlLoop(n, 1).fenceProgress(t.Context())
	is.NoErr(err)
	is.True(fencedAt >= store.executedAt)
}
