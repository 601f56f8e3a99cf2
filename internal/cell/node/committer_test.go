package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

func startCommitter(t *testing.T, store cell.Store) *committer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	commit := func(ctx context.Context, records []cell.KeyValue) error {
		_, err := store.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: records, ExpectedEnd: -1})
		return err
	}
	c := newCommitter(commit, func() time.Duration { return 0 }, hclog.NewNullLogger(), func() time.Duration { return 0 })
	go c.run(ctx)
	return c
}

func record(id string) []cell.KeyValue {
	return []cell.KeyValue{{Key: cell.JobKey(cell.JobID(id)), Value: []byte("{}")}}
}

// TestRefusedSubmissionIsNotRun guards the meaning of "not run": only a refusal
// of the first try is one.
func TestRefusedSubmissionIsNotRun(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	store.SetFault(func(string, cell.Topic) cellstore.Fault { return cellstore.Refuse })
	c := startCommitter(t, store)
	err := c.append(context.Background(), record("a"))
	var notRun *cell.NotExecutedError
	is.True(errors.As(err, &notRun))
	is.Equal(store.Len(cell.TopicJobs), int64(0))
}

// TestSubmissionWithLostAnswerIsNeverCalledNotRun guards against an accepted job
// whose caller is told that it never runs: the store has it, only the answer was
// lost, and the store refuses the repetition.
func TestSubmissionWithLostAnswerIsNeverCalledNotRun(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	var calls atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	store.SetFault(func(string, cell.Topic) cellstore.Fault {
		if calls.Add(1) == 1 {
			return cellstore.LoseAnswer
		}
		cancel()
		return cellstore.Refuse
	})
	c := startCommitter(t, store)
	err := c.append(ctx, record("a"))
	is.True(err != nil)
	var notRun *cell.NotExecutedError
	is.True(!errors.As(err, &notRun))
	is.Equal(store.Len(cell.TopicJobs), int64(1))
}

// TestLostAnswerIsRepeated guards the acceptance of a job whose first append was
// executed without an answer.
func TestLostAnswerIsRepeated(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	var calls atomic.Int64
	store.SetFault(func(string, cell.Topic) cellstore.Fault {
		if calls.Add(1) == 1 {
			return cellstore.LoseAnswer
		}
		return cellstore.None
	})
	is.NoErr(startCommitter(t, store).append(context.Background(), record("a")))
}

// TestWaitingSubmissionsAreRefusedWhileStoreIsSilent guards against submissions
// that end as unknown in an outage: those that were not sent are not run, and
// later ones are refused at once.
func TestWaitingSubmissionsAreRefusedWhileStoreIsSilent(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	sent := make(chan struct{}, 16)
	store.SetFault(func(string, cell.Topic) cellstore.Fault {
		sent <- struct{}{}
		return cellstore.Silent
	})
	c := startCommitter(t, store)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- c.append(ctx, record("a")) }()
	<-sent
	var notRun *cell.NotExecutedError
	is.True(errors.As(c.append(context.Background(), record("b")), &notRun)) // waited behind a
	is.True(c.down())
	is.True(errors.As(c.append(context.Background(), record("c")), &notRun)) // at once
	cancel()
	err := <-first
	is.True(err != nil)
	is.True(!errors.As(err, &notRun)) // a was sent
}
