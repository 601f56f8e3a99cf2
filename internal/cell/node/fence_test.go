package node

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/cell/owner"
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

// TestStatementOfAnEarlierTermIsNotRecorded guards against a bound of a lease that other owners have extended since this VM stated it.
func TestStatementOfAnEarlierTermIsNotRecorded(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: fencedStore{store}}, io.Discard)
	n.leaseStatement.Store(&owner.LeaseStatement{Version: 5, Bounds: []owner.LeaseBound{{Worker: "w", Born: 1, End: bootTime() + time.Second}}})
	term, err := n.election.Campaign(t.Context())
	is.NoErr(err)
	n.runOwnership(t.Context(), term) // it cannot take over and resigns
	batch, err := store.Newest(t.Context(), cell.TopicOwner)
	is.NoErr(err)
	var newest election.OwnerRecord
	is.NoErr(json.Unmarshal(batch.Records[0].Value, &newest))
	is.True(newest.Resigned)
	is.True(newest.Leases == nil)
}
