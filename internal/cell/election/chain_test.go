package election

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// deadSuccessor is a cell whose owner a was replaced by b, which made no heartbeat.
type deadSuccessor struct {
	store *cellstore.Store
	begin time.Time
	a, b  *Election
}

// newDeadSuccessor lets a own the cell alone for ownedFor, and b claim it.
func newDeadSuccessor(t *testing.T, ownedFor time.Duration) *deadSuccessor {
	t.Helper()
	is := is.New(t)
	s := &deadSuccessor{store: &cellstore.Store{}, begin: time.Now()}
	s.a = s.load(t, "a")
	claimAndFence(t, s.a)
	time.Sleep(ownedFor)
	is.NoErr(s.a.writeHeartbeat(context.Background()))
	s.b = s.load(t, "b")
	_, won, err := s.b.claim(context.Background())
	is.NoErr(err)
	is.True(won)
	return s
}

// load returns an election that has read the newest record.
func (s *deadSuccessor) load(t *testing.T, name string) *Election {
	t.Helper()
	e := loadedElection(t, s.store, name)
	sharedClock(s.begin, e)
	return e
}

// TestSuccessorThatRecordedNothingIsLookedPast guards against runs of lost workers that wait for the authority of owners that have all ended, since the last one ended before its first heartbeat.
func TestSuccessorThatRecordedNothingIsLookedPast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newDeadSuccessor(t, time.Second)
		c := s.load(t, "c")
		c.ReportEnded("a:1", "a-1")
		time.Sleep(time.Second)
		c.ReportEnded("b:1", "b-1")
		end := claimAndFence(t, c)
		is.True(end >= 2*time.Second && end <= 2*time.Second+10*time.Millisecond)
		is.Equal(len(c.FormerOwners()), 0)
	})
}

// TestOwnerBeforeADeadSuccessorMayEndLater guards against runs that wait for the authority of an owner whose process restarts after its successor's end.
func TestOwnerBeforeADeadSuccessorMayEndLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newDeadSuccessor(t, time.Second)
		c := s.load(t, "c")
		is.Equal(claimAndFence(t, c), time.Second+testAuthority)
		former := c.FormerOwners()
		is.Equal(len(former), 2)
		time.Sleep(time.Second)
		is.Equal(c.FormerOwnerEnded(t.Context(), former[1]), time.Second+testAuthority) // a is only silent
		is.Equal(c.FormerOwners(), former[:1])
		time.Sleep(time.Second)
		is.Equal(c.FormerOwnerEnded(t.Context(), former[0]), 3*time.Second)
		is.Equal(len(c.FormerOwners()), 0)
	})
}

// TestSilentOwnerBeforeADeadSuccessorKeepsItsAuthority guards against a task that starts while its lease at a silent owner's worker lasts, since proofs about others are taken for one about that owner.
func TestSilentOwnerBeforeADeadSuccessorKeepsItsAuthority(t *testing.T) {
	for name, prove := range map[string]func(c *Election){
		"nothing known":                        func(*Election) {},
		"same instance at another address":     func(c *Election) { c.ReportEnded("d:1", "a-1") },
		"another instance at the same address": func(c *Election) { c.ReportEnded("a:1", "a-0") },
		"an earlier term of the process": func(c *Election) {
			c.FormerOwnerEnded(context.Background(), OwnerRecord{Term: 0, Addr: "a:1", Instance: "a-1"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newDeadSuccessor(t, 0)
				c := s.load(t, "c")
				c.ReportEnded("b:1", "b-1")
				prove(c)
				is.Equal(claimAndFence(t, c), testAuthority)
			})
		})
	}
}

// TestOwnersBeforeAnEndedOneCount guards against a task that starts while its lease lasts, since the owner that had recorded until when an earlier one may renew it has ended.
func TestOwnersBeforeAnEndedOneCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		s := &deadSuccessor{store: &cellstore.Store{}, begin: time.Now()}
		claimAndFence(t, s.load(t, "z")) // stays silent, and keeps its authority
		a := s.load(t, "a")
		is.Equal(claimAndFence(t, a), testAuthority)
		is.NoErr(a.writeHeartbeat(ctx))
		b := s.load(t, "b")
		_, _, err := b.claim(ctx)
		is.NoErr(err)
		c := s.load(t, "c")
		c.ReportEnded("a:1", "a-1")
		c.ReportEnded("b:1", "b-1")
		is.Equal(claimAndFence(t, c), testAuthority)
	})
}

// TestGapBeforeADeadSuccessorIsNoProof guards against a task that starts while its lease lasts at the worker of an owner whose records cannot be read.
func TestGapBeforeADeadSuccessorIsNoProof(t *testing.T) {
	unreadable := cell.Append{Topic: cell.TopicOwner, Records: []cell.KeyValue{{Key: recordKey, Value: []byte(`{"t":"a later format"}`)}}, ExpectedEnd: -1}
	for name, makeGap := range map[string]func(s *cellstore.Store){
		"record cannot be decoded": func(s *cellstore.Store) { _, _ = s.Append(context.Background(), unreadable) },
		"records are dropped":      func(s *cellstore.Store) { s.Forget(cell.TopicOwner) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newDeadSuccessor(t, 0)
				makeGap(s.store)
				d := s.load(t, "d")
				_, _, err := d.claim(t.Context())
				is.NoErr(err)
				c := s.load(t, "c")
				for _, name := range []string{"a", "b", "d"} {
					c.ReportEnded(name+":1", name+"-1")
				}
				is.Equal(claimAndFence(t, c), testAuthority)
			})
		})
	}
}

// skippingStore skips one record in its reads, as the adapter does with a record that it
// cannot decode.
type skippingStore struct {
	cell.Store
	skipped int64
}

func (s skippingStore) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	batch, err := s.Store.Read(ctx, topic, from, wait)
	if i := s.skipped - from; err == nil && i >= 0 && i < int64(len(batch.Records)) {
		batch.Records = slices.Delete(slices.Clone(batch.Records), int(i), int(i)+1)
		batch.Unreadable = 1
	}
	return batch, err
}

// TestSkippedRecordIsNoProof guards against a task that starts while its lease lasts at the worker of an owner whose claim the adapter could not decode.
func TestSkippedRecordIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newDeadSuccessor(t, 0)
		skipped := s.store.Len(cell.TopicOwner) - 1 // the claim of b
		d := s.load(t, "d")
		_, _, err := d.claim(t.Context())
		is.NoErr(err)
		c := s.load(t, "c")
		c.store = skippingStore{s.store, skipped}
		c.ReportEnded("a:1", "a-1")
		c.ReportEnded("d:1", "d-1")
		is.Equal(claimAndFence(t, c), testAuthority) // b is silent
	})
}

// TestManyRecordsWithoutABoundAreNoProof guards against owners before the first record that was read.
func TestManyRecordsWithoutABoundAreNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newDeadSuccessor(t, 0)
		for range maxFormerRecords {
			is.NoErr(s.b.writeHeartbeat(t.Context())) // as a previous build, which records no bound
		}
		c := s.load(t, "c")
		c.ReportEnded("a:1", "a-1")
		c.ReportEnded("b:1", "b-1")
		is.Equal(claimAndFence(t, c), testAuthority)
	})
}

// TestRestartedSuccessorProvesTheEnd guards against runs that wait for an owner whose VM has claimed the cell again with another process.
func TestRestartedSuccessorProvesTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newDeadSuccessor(t, 0)
		a := s.load(t, "a")
		a.opts.Instance = "a-2"
		_, _, err := a.claim(t.Context())
		is.NoErr(err)
		c := s.load(t, "c")
		c.ReportEnded("b:1", "b-1")
		c.ReportEnded("a:1", "a-2")
		is.True(claimAndFence(t, c) <= 10*time.Millisecond)
	})
}

// TestProofsAreBounded guards against proofs of all owners of a VM's life in its memory, and against a process without an instance that counts as ended.
func TestProofsAreBounded(t *testing.T) {
	is := is.New(t)
	var p endProofs
	for i := range 2 * maxEndProofs {
		p.add(endProof{addr: "a:1", instance: "a", term: int64(i), at: time.Duration(i)})
	}
	is.Equal(len(p.proofs), maxEndProofs)
	at, ok := p.find(OwnerRecord{Addr: "a:1", Instance: "a", Term: 2*maxEndProofs - 1})
	is.True(ok)
	is.Equal(at, time.Duration(2*maxEndProofs-1))
	p.add(endProof{addr: "a:1", term: allTerms})
	_, ok = p.find(OwnerRecord{Addr: "a:1", Term: 1})
	is.True(!ok)
}
