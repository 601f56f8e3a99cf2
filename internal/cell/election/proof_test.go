package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// TestOwnerWhoseRecordCannotBeReadKeepsItsAuthority guards against a task that starts while its lease at a former owner's worker lasts, since the record of that owner cannot be decoded.
func TestOwnerWhoseRecordCannotBeReadKeepsItsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &cellstore.Store{}
		_, err := store.Append(context.Background(), cell.Append{
			Topic: cell.TopicOwner, Records: []cell.KeyValue{{Key: recordKey, Value: []byte(`{"t":"a later format"}`)}}, ExpectedEnd: 0,
		})
		is.NoErr(err)
		b := loadedElection(t, store, "b")
		sharedClock(time.Now(), b)
		is.Equal(claimAndFence(t, b), testAuthority)
	})
}

// TestUnreadableRecordAfterAResignationIsNoProof guards against a former owner that counts as resigned although a later record cannot be decoded.
func TestUnreadableRecordAfterAResignationIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		b := loadedElection(t, store, "b")
		sharedClock(time.Now(), a, b)
		claimAndFence(t, a)
		is.NoErr(a.writeHeartbeat(ctx))
		is.NoErr(a.Resign(ctx))
		_, err := store.Append(ctx, cell.Append{
			Topic: cell.TopicOwner, Records: []cell.KeyValue{{Key: recordKey, Value: []byte(`{"t":"a later format"}`)}}, ExpectedEnd: -1,
		})
		is.NoErr(err)
		_, err = b.confirmLastOwner(ctx, "a-1")
		is.NoErr(err)
		is.Equal(claimAndFence(t, b), testAuthority)
	})
}

// TestOwnerThatSendsAHeartbeatDuringTheClaimDelayIsKept guards against a VM that replaces an owner whose heartbeats have come back while it waited for other claims.
func TestOwnerThatSendsAHeartbeatDuringTheClaimDelayIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		_, _, err := a.claim(ctx)
		is.NoErr(err)
		b := newElection(store, "b")
		b.opts.ClaimDelay = 1200 * time.Millisecond // a small VM
		sharedClock(time.Now(), a, b)
		go func() { _, _ = b.Campaign(ctx) }()
		time.Sleep(HeartbeatTimeout + 300*time.Millisecond) // a pause of the owner
		go func() { _ = a.SendHeartbeats(ctx) }()
		time.Sleep(10 * time.Second)
		is.Equal(loadedElection(t, store, "c").LastRecord().Node, "a")
		cancel()
	})
}

// TestLateHeartbeatOfAnEndedOwnerDelaysNoClaim guards against a cell without an owner for longer, since a heartbeat of a process that has certainly ended was executed late.
func TestLateHeartbeatOfAnEndedOwnerDelaysNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		_, _, err := a.claim(ctx)
		is.NoErr(err)
		b := loadedElection(t, store, "b")
		b.opts.ClaimDelay = 100 * time.Millisecond
		sharedClock(time.Now(), a, b)
		b.ReportEnded("a:1", "a-1")
		time.AfterFunc(50*time.Millisecond, func() { _ = a.writeHeartbeat(ctx) })
		begin := time.Now()
		_, err = b.Campaign(ctx)
		is.NoErr(err)
		is.True(time.Since(begin) <= 2*b.opts.ClaimDelay)
	})
}

// TestBoundsOfAnEarlierOwnershipAreNotRepeated guards against a bound that an owner repeats from before another VM owned the cell and extended the lease.
func TestBoundsOfAnEarlierOwnershipAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		begin := time.Now()
		store := &cellstore.Store{}
		version := int64(1)
		a := namingOwner(t, store, begin, &version)
		is.NoErr(a.writeHeartbeat(ctx))
		b := loadedElection(t, store, "b")
		c := loadedElection(t, store, "c")
		sharedClock(begin, b, c)
		claimAndFence(t, b)
		is.Equal(len(b.FormerLeases()), 1)
		_, err := c.confirmLastOwner(ctx, "b-1")
		is.NoErr(err)
		_, _, err = c.claim(ctx) // c owns the cell, and extends leases
		is.NoErr(err)
		_, err = b.confirmLastOwner(ctx, "c-1")
		is.NoErr(err)
		_, _, err = b.claim(ctx)
		is.NoErr(err)
		stated, _ := b.leases()
		is.True(stated == nil)
	})
}
