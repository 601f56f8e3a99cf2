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

// namingOwner returns an owner that names worker w1, whose lease ends 4 s after begin.
func namingOwner(t *testing.T, store cell.Store, begin time.Time, version *int64) *Election {
	t.Helper()
	a := loadedElection(t, store, "a")
	sharedClock(begin, a)
	claimAndFence(t, a)
	a.opts.Leases = func() ([]LeaseBound, int64) {
		return []LeaseBound{{Worker: "w1", Born: 7, End: 4 * time.Second}}, *version
	}
	return a
}

// TestBoundsOutliveTheirOwners guards against runs of lost workers that wait for the longest lease after each change of the owner.
func TestBoundsOutliveTheirOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		begin := time.Now()
		store := &cellstore.Store{}
		version := int64(1)
		a := namingOwner(t, store, begin, &version)
		is.NoErr(a.writeHeartbeat(ctx))
		time.Sleep(time.Second)
		b := loadedElection(t, store, "b")
		sharedClock(begin, b)
		claimAndFence(t, b)
		is.Equal(b.FormerLeases(), []LeaseBound{{Worker: "w1", Born: 7, End: 5*time.Second + time.Millisecond}}) // the record's age is not known
		is.NoErr(b.writeHeartbeat(ctx))                                                                          // b knows no leases of its own yet
		c := loadedElection(t, store, "c")
		sharedClock(begin, c)
		claimAndFence(t, c)
		is.Equal(len(c.FormerLeases()), 1)
		is.True(c.FormerLeases()[0].End <= 5*time.Second+3*time.Millisecond)
	})
}

// TestAgeOfTheLastRecordShortensTheBounds guards against a wait that grows by the time for which an owner was silent.
func TestAgeOfTheLastRecordShortensTheBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		store := &cellstore.Store{}
		version := int64(1)
		a := namingOwner(t, store, begin, &version)
		is.NoErr(a.writeHeartbeat(context.Background()))
		b := loadedElection(t, store, "b")
		sharedClock(begin, b)
		status := OwnerStatus{Term: b.lastRecord.Term, Instance: "a-1", HeartbeatOffset: b.nextOffset, Age: 800 * time.Millisecond}
		b.opts.OwnerStatus = func() OwnerStatus { return status }
		time.Sleep(time.Second)
		claimAndFence(t, b)
		is.Equal(b.FormerLeases()[0].End, 4*time.Second+200*time.Millisecond+time.Millisecond)
	})
}

// TestClaimNamesNoWorker guards against a bound of an owner after whom an owner of another build extended the lease.
func TestClaimNamesNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		begin := time.Now()
		store := &cellstore.Store{}
		version := int64(1)
		a := namingOwner(t, store, begin, &version)
		is.NoErr(a.writeHeartbeat(ctx))
		b := loadedElection(t, store, "b")
		sharedClock(begin, b)
		_, _, err := b.claim(ctx)
		is.NoErr(err)
		is.NoErr(b.writeHeartbeat(ctx)) // b has not read the former record, as a previous build
		c := loadedElection(t, store, "c")
		sharedClock(begin, c)
		claimAndFence(t, c)
		is.Equal(len(c.FormerLeases()), 0)
	})
}

// TestStatementWithLostAnswerIsNotStored guards against a lease that is extended although the newest record names its worker.
func TestStatementWithLostAnswerIsNotStored(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	version := int64(1)
	a := namingOwner(t, store, time.Now(), &version)
	var stored []int64
	a.opts.OnLeases = func(v int64) { stored = append(stored, v) }
	is.NoErr(a.writeHeartbeat(ctx))
	is.Equal(stored, []int64{1})
	fault := cellstore.LoseAnswer
	store.SetFault(func(call string, _ cell.Topic) cellstore.Fault {
		if call == "append" {
			return fault
		}
		return cellstore.None
	})
	version = 2
	is.True(a.writeHeartbeat(ctx) != nil)
	version, fault = 3, cellstore.None
	is.NoErr(a.writeHeartbeat(ctx)) // the store holds statement 2
	is.Equal(stored, []int64{1})
	is.NoErr(a.writeHeartbeat(ctx))
	is.Equal(stored, []int64{1, 3})
}
