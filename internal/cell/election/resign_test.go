package election

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// failAppends makes a store inject a fault into all appends.
func failAppends(store *cellstore.Store, fault cellstore.Fault) {
	store.SetFault(func(call string, _ cell.Topic) cellstore.Fault {
		if call == "append" {
			return fault
		}
		return cellstore.None
	})
}

// TestEndedTermIsNotOwnedAgain guards against two ownerships with one fencing token when a resignation is not recorded.
func TestEndedTermIsNotOwnedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		store := &cellstore.Store{}
		e := newElection(store, "a")
		first, err := e.Campaign(ctx)
		is.NoErr(err)
		failAppends(store, cellstore.Refuse)
		is.True(e.Resign(ctx) != nil)
		store.SetFault(nil)
		second, err := e.Campaign(ctx)
		is.NoErr(err)
		is.True(second > first)
	})
}

// TestResignationFollowsAnUnansweredHeartbeat guards against a resignation that is not recorded because a heartbeat was executed whose answer was lost.
func TestResignationFollowsAnUnansweredHeartbeat(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	e := loadedElection(t, store, "a")
	_, _, err := e.claim(ctx)
	is.NoErr(err)
	failAppends(store, cellstore.LoseAnswer)
	is.True(e.writeHeartbeat(ctx) != nil)
	store.SetFault(nil)
	is.NoErr(e.Resign(ctx))
	is.True(loadedElection(t, store, "b").LastRecord().Resigned)
}

// TestResignationDoesNotFollowTheClaimOfAnotherVM guards against a former owner that records its resignation over the claim of its successor.
func TestResignationDoesNotFollowTheClaimOfAnotherVM(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	a := loadedElection(t, store, "a")
	_, _, err := a.claim(ctx)
	is.NoErr(err)
	_, won, err := loadedElection(t, store, "b").claim(ctx)
	is.NoErr(err)
	is.True(won)
	is.True(a.Resign(ctx) != nil)
	newest := loadedElection(t, store, "c").LastRecord()
	is.Equal(newest.Node, "b")
	is.True(!newest.Resigned)
}

// conflictingStore answers appends with a conflict after it has executed them, as the slower one of two hedged calls is answered.
type conflictingStore struct{ *cellstore.Store }

func (s conflictingStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	end, err := s.Store.Append(ctx, a)
	if err != nil {
		return 0, err
	}
	return 0, &cell.ConflictError{End: end}
}

// TestHedgedResignationIsRecordedOnce guards against a resignation that counts as failed because its second copy was answered first.
func TestHedgedResignationIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	e := loadedElection(t, store, "a")
	_, _, err := e.claim(ctx)
	is.NoErr(err)
	e.store = conflictingStore{store}
	is.NoErr(e.Resign(ctx))
	is.True(loadedElection(t, store, "b").LastRecord().Resigned)
	is.Equal(store.Len(cell.TopicOwner), int64(2))
}

// TestDeposedOwnerDoesNotResignForItsSuccessor guards against a deposed owner whose resignation ends the ownership of the VM that replaced it.
func TestDeposedOwnerDoesNotResignForItsSuccessor(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	a := loadedElection(t, store, "a")
	_, _, err := a.claim(ctx)
	is.NoErr(err)
	b := loadedElection(t, store, "b")
	_, won, err := b.claim(ctx)
	is.NoErr(err)
	is.True(won)
	is.True(errors.Is(a.writeHeartbeat(ctx), ErrDeposed))
	is.True(errors.Is(a.Resign(ctx), ErrDeposed))
	is.NoErr(b.writeHeartbeat(ctx))
}

// TestResignationOfADeposedOwnerDelaysNoClaim guards against a cell without an owner for the cooldown of a VM that resigned after another VM had claimed the cell, if that one then ends.
func TestResignationOfADeposedOwnerDelaysNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		_, _, err := a.claim(ctx)
		is.NoErr(err)
		b := loadedElection(t, store, "b")
		_, won, err := b.claim(ctx)
		is.NoErr(err)
		is.True(won)
		is.True(errors.Is(a.Resign(ctx), ErrDeposed))
		begin := time.Now()
		_, err = a.Campaign(ctx)
		is.NoErr(err)
		is.True(time.Since(begin) < resignCooldown/2) // b sends no heartbeat
	})
}

// TestClaimOverAnUnreadOwnerHasAnotherTerm guards against two owners of one term when a claim follows records that its VM has not read.
func TestClaimOverAnUnreadOwnerHasAnotherTerm(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	a := loadedElection(t, store, "a")
	_, _, err := a.claim(ctx)
	is.NoErr(err)
	c := loadedElection(t, store, "c")
	term, won, err := loadedElection(t, store, "b").claim(ctx)
	is.NoErr(err)
	is.True(won)
	c.nextOffset = store.Len(cell.TopicOwner)
	again, won, err := c.claim(ctx)
	is.NoErr(err)
	is.True(won)
	is.True(again > term)
}

// TestClaimThatWasExecutedLateIsOwnedOnce guards against a claim without an answer that is made again although it was executed, and against its term being owned twice.
func TestClaimThatWasExecutedLateIsOwnedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		store := &cellstore.Store{}
		isClaimed := false
		store.SetFault(func(call string, _ cell.Topic) cellstore.Fault {
			switch {
			case call == "append":
				isClaimed = true
				return cellstore.LoseAnswer
			case call == "read" && isClaimed:
				isClaimed = false
				return cellstore.Refuse
			}
			return cellstore.None
		})
		e := newElection(store, "a")
		first, err := e.Campaign(ctx)
		is.NoErr(err)
		is.Equal(store.Len(cell.TopicOwner), int64(1))
		is.Equal(e.LastRecord().Term, first)
		failAppends(store, cellstore.Refuse)
		is.True(e.Resign(ctx) != nil)
		store.SetFault(nil)
		second, err := e.Campaign(ctx)
		is.NoErr(err)
		is.True(second > first)
	})
}
