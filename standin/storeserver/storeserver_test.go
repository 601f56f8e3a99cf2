package storeserver_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/platform"
	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/storeserver"
)

// newClient returns the adapter's client of a server.
func newClient(t *testing.T, s *storeserver.Server) *platform.Store {
	t.Helper()
	server := httptest.NewServer(s.Handler("vm"))
	t.Cleanup(server.Close)
	return platform.NewStore(func() string { return server.Listener.Addr().String() })
}

// TestAdapterSpeaksToTheServer guards against a stand-in that answers otherwise than the platform.
func TestAdapterSpeaksToTheServer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client := newClient(t, storeserver.New(&cellstore.Store{}, nil))
	record := []cell.KeyValue{{Key: "s/a", Value: []byte("1")}}
	end, err := client.Append(ctx, cell.Append{Topic: cell.TopicProgress, Records: record, ExpectedEnd: -1, Epoch: 3})
	is.NoErr(err)
	is.Equal(end, int64(1))
	end, err = client.Append(ctx, cell.Append{Topic: cell.TopicProgress, Records: record, ExpectedEnd: -1, Epoch: 3})
	is.NoErr(err)
	is.Equal(end, int64(1)) // a repetition of the same sequence
	var sequence *cell.SequenceError
	_, err = client.Append(ctx, cell.Append{Topic: cell.TopicProgress, Records: record, ExpectedEnd: -1, Epoch: 3, Sequence: 5})
	is.True(errors.As(err, &sequence))
	is.Equal(sequence.Expected, int64(1))
	_, err = client.Append(ctx, cell.Append{Topic: cell.TopicProgress, Records: record, ExpectedEnd: -1, Epoch: 2})
	is.True(errors.Is(err, cell.ErrFenced))
	var conflict *cell.ConflictError
	_, err = client.Append(ctx, cell.Append{Topic: cell.TopicOwner, Records: record, ExpectedEnd: 4})
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.End, int64(0))
	batch, err := client.Read(ctx, cell.TopicProgress, 0, 0)
	is.NoErr(err)
	is.Equal(batch.Records, record)
	is.Equal(batch.Next, int64(1))
	batch, err = client.Newest(ctx, cell.TopicProgress)
	is.NoErr(err)
	is.Equal(batch.Records, record)
}

// TestHistoryIsForgotten guards against a stand-in that still returns records that were dropped.
func TestHistoryIsForgotten(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := storeserver.New(&cellstore.Store{}, nil)
	client := newClient(t, s)
	_, err := client.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: []cell.KeyValue{{Key: "j/a", Value: []byte("1")}}, ExpectedEnd: -1})
	is.NoErr(err)
	s.Forget()
	_, err = client.Read(ctx, cell.TopicJobs, 0, 0)
	is.True(errors.Is(err, cell.ErrExpired))
	batch, err := client.Newest(ctx, cell.TopicJobs)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
}

// TestFaultsOfTheStore guards against a fault that does not do what its name says.
func TestFaultsOfTheStore(t *testing.T) {
	is := is.New(t)
	s := storeserver.New(&cellstore.Store{}, nil)
	client := newClient(t, s)
	appendOnce := func(f storeserver.Fault) error {
		s.SetFault(func(string, storeserver.Call, string) storeserver.Fault { return f })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := client.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: []cell.KeyValue{{Key: "j/a", Value: []byte("1")}}, ExpectedEnd: -1})
		return err
	}
	end := func() int64 { return s.Store.Len("keyed.gypsumwinch.jobs") }
	is.True(errors.Is(appendOnce(storeserver.Fault{Refuse: true}), cell.ErrNotExecuted))
	is.Equal(end(), int64(0))
	is.True(errors.Is(appendOnce(storeserver.Fault{Silent: true}), context.DeadlineExceeded))
	is.Equal(end(), int64(0))
	is.True(errors.Is(appendOnce(storeserver.Fault{LoseAnswer: true}), context.DeadlineExceeded))
	is.Equal(end(), int64(1))
	is.True(errors.Is(appendOnce(storeserver.Fault{ExecuteAfter: 200 * time.Millisecond}), context.DeadlineExceeded))
	for end() < 2 {
		time.Sleep(10 * time.Millisecond)
	}
}
