package cellstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

func recordsOf(keys ...string) []cell.KeyValue {
	var out []cell.KeyValue
	for _, key := range keys {
		out = append(out, cell.KeyValue{Key: key, Value: []byte("1")})
	}
	return out
}

// TestOnlyTheLastFiveAppendsAreRepeated guards against a store that is kinder than the
// protocol: it answers a repeat of one of the last five appends, and refuses earlier ones.
func TestOnlyTheLastFiveAppendsAreRepeated(t *testing.T) {
	is := is.New(t)
	s := &Store{}
	ctx := context.Background()
	appendSequence := func(sequence int64) (int64, error) {
		return s.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: 1, Sequence: sequence, Records: recordsOf("k")})
	}
	for sequence := range int64(8) {
		_, err := appendSequence(sequence)
		is.NoErr(err)
	}
	end, err := appendSequence(3)
	is.NoErr(err)
	is.Equal(end, int64(4))
	_, err = appendSequence(2)
	var refused *cell.SequenceError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Expected, int64(8))
	is.Equal(s.Len(cell.TopicProgress), int64(8))
}

// TestLateAppendIsExecutedIfItsConditionHolds guards the fault Late: the append shows
// seconds after its call, unless the topic ends elsewhere by then.
func TestLateAppendIsExecutedIfItsConditionHolds(t *testing.T) {
	for _, conflict := range []bool{false, true} {
		t.Run(fmt.Sprint("conflict ", conflict), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &Store{}
				s.SetLateness(func() time.Duration { return 3 * time.Second })
				s.SetFault(func(string, cell.Topic) Fault { return Late })
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := s.Append(ctx, cell.Append{Topic: cell.TopicOwner, Records: recordsOf("late")})
				is.True(errors.Is(err, context.DeadlineExceeded))
				is.Equal(s.Len(cell.TopicOwner), int64(0))
				s.SetFault(nil)
				if conflict {
					_, err := s.Append(context.Background(), cell.Append{Topic: cell.TopicOwner, Records: recordsOf("other")})
					is.NoErr(err)
				}
				time.Sleep(3 * time.Second)
				is.Equal(s.Len(cell.TopicOwner), int64(1))
			})
		})
	}
}

// TestReadsBeforeTheRetentionAreRefused guards against a history without an end: a reader
// that falls behind the retention has to load the newest records.
func TestReadsBeforeTheRetentionAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := &Store{}
		s.SetRetention(20 * time.Second)
		for _, key := range []string{"a", "b"} {
			_, err := s.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: recordsOf(key)})
			is.NoErr(err)
			time.Sleep(15 * time.Second)
		}
		_, err := s.Read(ctx, cell.TopicJobs, 0, 0)
		is.True(errors.Is(err, cell.ErrExpired))
		batch, err := s.Read(ctx, cell.TopicJobs, 1, 0)
		is.NoErr(err)
		is.Equal(len(batch.Records), 1)
		batch, err = s.Newest(ctx, cell.TopicJobs)
		is.NoErr(err)
		is.Equal(len(batch.Records), 2)
	})
}

// TestPagesOfNewestRecordsAreNoSnapshot guards against readers that rely on a snapshot: a
// later page shows appends since the first, and the position is that of the first page.
func TestPagesOfNewestRecordsAreNoSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &Store{}
	for i := range pageItems {
		_, err := s.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: recordsOf(fmt.Sprintf("k%04d", i))})
		is.NoErr(err)
	}
	s.pageRead = func() {
		_, err := s.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: recordsOf("a", "z")})
		is.NoErr(err)
	}
	batch, err := s.Newest(ctx, cell.TopicJobs)
	is.NoErr(err)
	is.Equal(len(batch.Records), pageItems+1) // with z, without a
	is.Equal(batch.Next, int64(pageItems))
}
