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

const testAuthority = 5 * time.Second

// sharedClock makes the elections of a test use one clock, as durations since its start.
func sharedClock(begin time.Time, elections ...*Election) {
	for _, e := range elections {
		e.opts.Now = func() time.Duration { return time.Since(begin) }
	}
}

// claimAndFence claims the cell and finds the end of former renewals, as a takeover does.
func claimAndFence(t *testing.T, e *Election) time.Duration {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	_, won, err := e.claim(ctx)
	is.NoErr(err)
	is.True(won)
	return e.FindFormerRenewalsEnd(ctx, e.opts.Now(), testAuthority)
}

// TestSilentOwnerKeepsItsAuthority guards against a task that starts while its lease at a silent owner's worker lasts.
func TestSilentOwnerKeepsItsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		sharedClock(time.Now(), a)
		is.Equal(claimAndFence(t, a), time.Duration(0)) // there was no owner
		is.NoErr(a.writeHeartbeat(context.Background()))
		b := loadedElection(t, store, "b")
		sharedClock(time.Now(), b)
		b.Suspect("a-1") // a refused connection is no proof
		is.Equal(claimAndFence(t, b), testAuthority)
	})
}

// TestEndedOwnerRenewsNothing guards against runs of dead workers that wait for the authority of an owner whose process has ended.
func TestEndedOwnerRenewsNothing(t *testing.T) {
	for name, end := range map[string]func(a, b *Election){
		"replaced": func(_, b *Election) { b.ReportEnded("a:1", "a-1") },
		"resigned": func(a, b *Election) {
			_ = a.Resign(context.Background())
			_, _ = b.confirmLastOwner(context.Background(), "a-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &cellstore.Store{}
				a := loadedElection(t, store, "a")
				claimAndFence(t, a)
				is.NoErr(a.writeHeartbeat(context.Background()))
				b := loadedElection(t, store, "b")
				sharedClock(time.Now(), a, b)
				end(a, b)
				is.True(claimAndFence(t, b) < 10*time.Millisecond)
			})
		})
	}
}

// TestProofOfAnEndMayFollowTheClaim guards against runs that wait for the authority of an owner whose process restarts just after it was replaced.
func TestProofOfAnEndMayFollowTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		begin := time.Now()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		b := loadedElection(t, store, "b")
		sharedClock(begin, a, b)
		claimAndFence(t, a)
		is.NoErr(a.writeHeartbeat(ctx))
		_, err := b.confirmLastOwner(ctx, "a-1")
		is.NoErr(err)
		is.Equal(claimAndFence(t, b), testAuthority)
		is.Equal(len(b.FormerOwners()), 1)
		former := b.FormerOwners()[0]
		is.Equal(former.Instance, "a-1")
		time.Sleep(time.Second)
		is.True(b.FormerOwnerEnded(ctx, former) <= time.Second+10*time.Millisecond)
	})
}

// TestAuthorityOfAnOwnerBeforeTheLastCounts guards against a task that starts although the owner before the last one is only silent.
func TestAuthorityOfAnOwnerBeforeTheLastCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		begin := time.Now()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		sharedClock(begin, a)
		claimAndFence(t, a)
		b := loadedElection(t, store, "b")
		sharedClock(begin, b)
		is.Equal(claimAndFence(t, b), testAuthority) // a is silent
		time.Sleep(time.Second)
		is.NoErr(b.writeHeartbeat(ctx))
		time.Sleep(time.Second)
		c := loadedElection(t, store, "c")
		sharedClock(begin, c)
		c.ReportEnded("b:1", "b-1")
		end := claimAndFence(t, c)
		is.True(end >= testAuthority && end <= testAuthority+1100*time.Millisecond) // the age of b's last record is not known
	})
}

// TestUnfencedFormerOwnerCountsAsUnknown guards against a former owner of which the last one did not know yet whether it was fenced.
func TestUnfencedFormerOwnerCountsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		store := &cellstore.Store{}
		a := loadedElection(t, store, "a")
		_, _, err := a.claim(ctx)
		is.NoErr(err)
		is.NoErr(a.writeHeartbeat(ctx))
		b := loadedElection(t, store, "b")
		sharedClock(time.Now(), b)
		b.ReportEnded("a:1", "a-1")
		is.Equal(claimAndFence(t, b), testAuthority)
		store.Forget(cell.TopicOwner)
		is.Equal(b.FindFormerRenewalsEnd(ctx, b.opts.Now(), testAuthority), testAuthority) // its record cannot be read
	})
}
