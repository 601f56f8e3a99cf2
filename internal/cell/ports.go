package cell

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic names a log of the store.
type Topic string

// Topics of the store. The adapter maps them to the platform's names.
const (
	TopicOwner    Topic = "owner"
	TopicJobs     Topic = "jobs"
	TopicProgress Topic = "progress"
	TopicConfig   Topic = "config"
	TopicWorkers  Topic = "workers"
)

// KeyValue is one record of a topic. An empty value drops the key.
type KeyValue struct {
	Key   string
	Value []byte
}

// Append is one all-or-nothing append.
type Append struct {
	Topic   Topic
	Records []KeyValue
	// ExpectedEnd, if not negative, makes the append conditional: it is refused with
	// a ConflictError unless the topic ends at this offset.
	ExpectedEnd int64
	// Epoch, if positive, fences the append: the store refuses it once it has
	// seen a higher epoch, and answers a repeated Sequence as it did before.
	Epoch    int64
	Sequence int64
}

// Batch is what a read returned.
type Batch struct {
	Records []KeyValue
	// Unreadable counts records of other writers that were passed over.
	Unreadable int
	// Next is the offset to read from next.
	Next int64
	// End is the offset at which the topic ended.
	End int64
}

// Errors of the store. Any other error leaves open whether a call was executed.
var (
	// ErrNotExecuted means that the call was certainly not executed.
	ErrNotExecuted = errors.New("the store refused the call")
	// ErrFenced means that a higher epoch is in force.
	ErrFenced = errors.New("a higher epoch is in force")
	// ErrExpired means that the records from the offset on are no longer kept.
	ErrExpired = errors.New("the records are no longer kept")
)

// ConflictError is the refusal of an append whose condition does not hold.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the topic ends at offset %d", e.End)
}

// SequenceError is the refusal of an append out of sequence.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence %d", e.Expected)
}

// Store is the platform's store. Calls end with their context.
type Store interface {
	// Append returns the offset after the appended records.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Read waits up to wait for records from an offset on.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key and the offset from which
	// to read on.
	Newest(ctx context.Context, topic Topic) (Batch, error)
}

// Start is an order to start a run.
type Start struct {
	Task   TaskID
	Run    int
	Worker string
	Addr   string
	Spec   string
	// LeaseEnd is on the worker's clock.
	LeaseEnd   time.Duration
	Token      int64
	Checkpoint string
	Ticket     string
}

// Stop is an order to stop a run.
type Stop struct {
	Task   string
	Run    int
	Worker string
	Addr   string
	Token  int64
}

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	Task   string
	Run    int
	Worker string
	Addr   string
	Token  int64
	// Percent is 0 to 100.
	Percent int
}

// Renewal renews the lease on all that runs on a worker and asks what runs there.
type Renewal struct {
	Worker string
	Addr   string
	Token  int64
	// LeaseEnd is on the worker's clock; 0 renews nothing.
	LeaseEnd time.Duration
	// Cursor is the number up to which ends may be forgotten.
	Cursor int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// WorkerClient sends requests to workers. After an error, other than a refusal, the
// request may have been carried out or may still be.
type WorkerClient interface {
	Start(ctx context.Context, s Start) (clock time.Duration, refused Refusal, err error)
	Stop(ctx context.Context, s Stop) (refused Refusal, err error)
	Renew(ctx context.Context, r Renewal) (inv Inventory, refused Refusal, err error)
	Pace(ctx context.Context, p Pace) (refused Refusal, err error)
}

// ErrAdviceBusy means that too many questions are waiting at the advice service.
var ErrAdviceBusy = errors.New("the advice service has too many waiting questions")

// Advisor asks which workers may run a step.
type Advisor interface {
	Ask(ctx context.Context, step string, workers []string) (AdviceAnswer, error)
}

// AdviceAnswer is an answer of the advice service about one step.
type AdviceAnswer struct {
	// Eligible are the asked workers that may run the step.
	Eligible []Ticket
	// Validity is how long the tickets may be used from the answer on; 0 if the
	// answer does not tell.
	Validity time.Duration
}

// ShortRetryAfter is the retry delay for a caller if the cause usually passes
// within a second: no configuration yet, or a store that refuses a call.
const ShortRetryAfter = time.Second

// NotExecutedError means that a caller's request was certainly not executed.
type NotExecutedError struct {
	// RetryAfter is the delay after which the caller may repeat the request.
	RetryAfter time.Duration
	Cause      error
}

func (e *NotExecutedError) Error() string { return fmt.Sprintf("not run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotExecutedError) Unwrap() error { return e.Cause }
