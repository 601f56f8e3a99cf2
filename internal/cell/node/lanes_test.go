package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/owner"
)

// newTestLanes returns lanes whose questions are never answered.
func newTestLanes(count int) *lanes {
	ask := func(ctx context.Context, _ string, _ []string) (cell.AdviceAnswer, error) {
		<-ctx.Done()
		return cell.AdviceAnswer{}, ctx.Err()
	}
	l := newLanes(ask, func(answered) {})
	for range count - 1 {
		l.all = append(l.all, &lane{ask: ask, self: true})
	}
	return l
}

// TestLongQuestionsLeaveLanesFree guards short questions against waiting behind
// long ones: some lanes take no long question, some of them none but short ones.
func TestLongQuestionsLeaveLanesFree(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newTestLanes(12)
	now := time.Second
	is.Equal(l.room(now), owner.AdviceCapacity{FreeProxies: 10, FreeForLongQueries: 8, LongQueryTime: longQuestion})
	for range 8 {
		l.add(owner.QueryAdvice{AnswerTime: time.Second}, now)
	}
	l.send(ctx, now)
	is.Equal(l.room(now), owner.AdviceCapacity{FreeProxies: 2, FreeForLongQueries: 0, LongQueryTime: longQuestion})
	for range 2 {
		l.add(owner.QueryAdvice{AnswerTime: 2 * owner.ShortQueryTime}, now)
	}
	l.send(ctx, now)
	is.Equal(l.room(now).FreeProxies, 0)
	l.add(owner.QueryAdvice{AnswerTime: 10 * time.Millisecond, Urgent: true}, now)
	l.send(ctx, now)
	is.Equal(len(l.urgent), 0) // a short question finds a lane at once
}

// TestQuestionIsNotSentBehindALongOne guards short questions against a lane whose
// long answer is almost due but late.
func TestQuestionIsNotSentBehindALongOne(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newTestLanes(1)
	l.add(owner.QueryAdvice{AnswerTime: longQuestion}, 0)
	l.send(ctx, 0)
	l.add(owner.QueryAdvice{AnswerTime: 10 * time.Millisecond, Urgent: true}, longQuestion)
	l.send(ctx, longQuestion)
	is.Equal(len(l.urgent), 1)
}
