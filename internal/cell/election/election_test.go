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

func newElection(store cell.Store, name string) *Election {
	begin := time.Now()
	return New(store, Options{
		Node: name, Addr: name + ":1", Instance: name + "-1",
		StoreLatency: func() time.Duration { return 0 },
		Now:          func() time.Duration { return time.Since(begin) },
		OwnerStatus:  func() OwnerStatus { return OwnerStatus{} },
		OnRecord:     func(OwnerRecord) {},
		OnHeartbeat:  func() {},
		Log:          func(string, ...any) {},
	})
}

// loaded returns an election that has read the record.
func loaded(t *testing.T, store cell.Store, name string) *Election {
	t.Helper()
	e := newElection(store, name)
	if err := e.loadNewest(context.Background()); err != nil {
		t.Fatal(err)
	}
	return e
}

// TestOneOfTwoClaimsWins guards against two owners of one term.
func TestOneOfTwoClaimsWins(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	a, b := loaded(t, store, "a"), loaded(t, store, "b")
	term, won, err := a.claim(context.Background())
	is.NoErr(err)
	is.True(won)
	is.Equal(term, int64(1))
	_, won, err = b.claim(context.Background())
	is.NoErr(err)
	is.True(!won) // b's condition does not hold any more
	is.Equal(b.LastRecord().Node, "a")
}

// TestClaimWithLostAnswerIsRecognised guards against an owner that does not know
// of its ownership, so that nobody owns the cell until its beats are missed.
func TestClaimWithLostAnswerIsRecognised(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	e := loaded(t, store, "a")
	store.SetFault(func(call string, _ cell.Topic) cellstore.Fault {
		if call == "append" {
			return cellstore.LoseAnswer
		}
		return cellstore.None
	})
	_, won, err := e.claim(context.Background())
	is.NoErr(err)
	is.True(won)
}

// TestRecordOfFormerProcessIsNotOwn guards against a restarted process that
// takes the record of its former life for its own.
func TestRecordOfFormerProcessIsNotOwn(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	_, won, err := loaded(t, store, "a").claim(context.Background())
	is.NoErr(err)
	is.True(won)
	again := newElection(store, "a")
	again.opts.Instance = "a-2"
	is.NoErr(again.loadNewest(context.Background()))
	is.True(!again.ownsLastRecord())
}

// TestBeatOfDeposedOwnerFails guards against an owner that goes on after a
// successor has claimed.
func TestBeatOfDeposedOwnerFails(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	a := loaded(t, store, "a")
	_, _, err := a.claim(context.Background())
	is.NoErr(err)
	b := loaded(t, store, "b")
	_, won, err := b.claim(context.Background())
	is.NoErr(err)
	is.True(won)
	is.True(errors.Is(a.writeHeartbeat(context.Background()), ErrDeposed))
}

// TestBeatWithLostAnswerGoesOn guards against an owner that takes its own beat
// for another VM's claim.
func TestBeatWithLostAnswerGoesOn(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	a := loaded(t, store, "a")
	_, _, err := a.claim(context.Background())
	is.NoErr(err)
	store.SetFault(func(call string, _ cell.Topic) cellstore.Fault {
		if call == "append" {
			return cellstore.LoseAnswer
		}
		return cellstore.None
	})
	is.True(a.writeHeartbeat(context.Background()) != nil) // the answer is lost
	store.SetFault(nil)
	is.NoErr(a.writeHeartbeat(context.Background())) // a conflict with the own beat
	is.NoErr(a.writeHeartbeat(context.Background()))
}

// TestNoClaimWhileStoreIsDown guards against a claim on the ground of an outage
// of the store: beats are missing then although the owner is well.
func TestNoClaimWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	_, _, err := loaded(t, store, "a").claim(context.Background())
	is.NoErr(err)
	b := loaded(t, store, "b")
	store.SetFault(func(string, cell.Topic) cellstore.Fault { return cellstore.Refuse })
	silent, err := b.checkOwner(context.Background())
	is.True(err != nil)
	is.True(!silent)
}

// TestClosedPortAllowsClaimAtOnce guards the short takeover after the end of the
// owner's process; without the suspicion the wait is ClaimAfter.
func TestClosedPortAllowsClaimAtOnce(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	_, _, err := loaded(t, store, "a").claim(context.Background())
	is.NoErr(err)
	b := loaded(t, store, "b")
	b.opts.ClaimDelay = time.Hour // the test would not end if the wait were kept
	b.Suspect("a-1")
	silent, err := b.checkOwner(context.Background())
	is.NoErr(err)
	is.True(silent)
}

// TestSuspicionOfFormerOwnerIsDropped guards against a claim on the ground of a
// suspicion that is about an owner before the present one.
func TestSuspicionOfFormerOwnerIsDropped(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	_, _, err := loaded(t, store, "a").claim(context.Background())
	is.NoErr(err)
	b, c := loaded(t, store, "b"), loaded(t, store, "c")
	_, won, err := c.claim(context.Background())
	is.NoErr(err)
	is.True(won)
	b.Suspect("a-1")
	gone, err := b.checkOwner(context.Background())
	is.NoErr(err)
	is.True(!gone)
}

// TestOwnersRestartAllowsClaimAtOnce guards the short takeover after a loss of
// all VMs: the owner's former process is known to have ended.
func TestOwnersRestartAllowsClaimAtOnce(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	_, _, err := loaded(t, store, "a").claim(context.Background())
	is.NoErr(err)
	again := newElection(store, "a")
	again.opts.Instance = "a-2"
	again.opts.ClaimDelay = time.Hour // the test would not end if the wait were kept
	is.NoErr(again.loadNewest(context.Background()))
	gone, err := again.checkOwner(context.Background())
	is.NoErr(err)
	is.True(gone)
}

// TestOwnerThatIsWellIsNotReadAbout guards the saving of reads: beats that the
// owner tells of are skipped.
func TestOwnerThatIsWellIsNotReadAbout(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	_, _, err := loaded(t, store, "a").claim(context.Background())
	is.NoErr(err)
	b := loaded(t, store, "b")
	b.opts.OwnerStatus = func() OwnerStatus { return OwnerStatus{Healthy: true, HeartbeatOffset: 9} }
	store.SetFault(func(string, cell.Topic) cellstore.Fault { return cellstore.Refuse })
	gone, err := b.checkOwner(context.Background())
	is.NoErr(err)
	is.True(!gone)
	is.Equal(b.nextOffset, int64(9))
}

// TestChosenSuccessorClaimsAtOnce guards the length of a hand-over: the VM that
// the owner chose leaves no time to others, also if it has resigned itself lately.
func TestChosenSuccessorClaimsAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := &cellstore.Store{}
	a := loaded(t, store, "a")
	_, _, err := a.claim(ctx)
	is.NoErr(err)
	is.NoErr(a.Resign(ctx))
	b := newElection(store, "b")
	b.opts.ClaimDelay = time.Hour
	b.cooldownUntil = time.Hour
	b.TakeOver("a-1")
	term, err := b.Campaign(ctx)
	is.NoErr(err)
	is.Equal(term, int64(2))
	is.NoErr(ctx.Err()) // a delayed claim would come after the end of the context
}

// TestOwnerKeepsTheCellAfterAnOutage guards against a needless takeover at the end
// of an outage of the store: the owner's beat must come before the others claim.
// It runs on the virtual clock of synctest.
func TestOwnerKeepsTheCellAfterAnOutage(t *testing.T) {
	for name, fault := range map[string]cellstore.Fault{"refused": cellstore.Refuse, "silent": cellstore.Silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				store := &cellstore.Store{}
				a := loaded(t, store, "a")
				_, _, err := a.claim(ctx)
				is.NoErr(err)
				beaten := make(chan struct{}, 1)
				a.opts.OnHeartbeat = func() {
					select {
					case beaten <- struct{}{}:
					default:
					}
				}
				held := make(chan error)
				go func() { held <- a.SendHeartbeats(ctx) }()
				// The outage ends at different moments of a call and its pause.
				for length := 2 * HeartbeatTimeout; length < 3*HeartbeatTimeout; length += HeartbeatTimeout / 16 {
					store.SetFault(func(string, cell.Topic) cellstore.Fault { return fault })
					time.Sleep(length)
					store.SetFault(nil)
					begin := time.Now()
					for len(beaten) > 0 {
						<-beaten
					}
					<-beaten
					is.True(time.Since(begin) < HeartbeatTimeout)
				}
				cancel()
				is.True(errors.Is(<-held, context.Canceled))
			})
		})
	}
}
