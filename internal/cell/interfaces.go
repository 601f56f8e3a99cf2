package cell

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic is the name of a log in the store.
type Topic string

// Topics of the store. The adapter maps them to the platform's names for them.
const (
	TopicOwner    Topic = "owner"
	TopicJobs     Topic = "jobs"
	TopicProgress Topic = "progress"
	TopicConfig   Topic = "config"
	TopicWorkers  Topic = "workers"
)

// KeyValue is one record of a topic. An empty value deletes the key.
type KeyValue struct {
	Key   string
	Value []byte
}

// Append is a request to append records to a topic, all or none of them.
type Append struct {
	Topic   Topic
	Records []KeyValue
	// ExpectedEnd, if not negative, makes the append conditional: it is refused with
	// a ConflictError unless the topic ends at this offset.
	ExpectedEnd int64
	// Epoch, if positive, is a fencing token: the store refuses the append with
	// ErrFenced once it has seen a higher epoch, and answers a repeated Sequence as
	// it did the first time.
	Epoch    int64
	Sequence int64
}

// Batch is the result of a read.
type Batch struct {
	Records []KeyValue
	// Unreadable is the number of records of other writers that were skipped because
	// they could not be decoded.
	Unreadable int
	// Next is the offset from which to read on.
	Next int64
	// End is the offset at which the topic ended at the time of the read.
	End int64
}

// Errors of the store. After any other error than these, ConflictError and
// SequenceError a call may or may not have been executed.
var (
	// ErrTooLarge means that a job cannot be accepted, since its record would be longer than
	// MaxRecordBytes.
	ErrTooLarge = errors.New("the job is too large for a record of the store")
	// ErrNotExecuted means that the call was certainly not executed.
	ErrNotExecuted = errors.New("the store refused the call")
	// ErrFenced means that the store has seen a higher epoch than that of the call.
	ErrFenced = errors.New("a higher epoch is in force")
	// ErrExpired means that the records at the offset of a read cannot be had: the store
	// has dropped them, or they cannot be decoded. The reader then loads the newest records.
	// It has nothing to do with the expiry of leases and tickets.
	ErrExpired = errors.New("the records are no longer kept")
)

// ConflictError is the refusal of an append because the topic ends at End instead of
// Append.ExpectedEnd.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the topic ends at offset %d", e.End)
}

// SequenceError is the refusal of an append whose Sequence is not the expected one.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence %d", e.Expected)
}

// Store is the platform's store of topics. A call returns when its context ends.
type Store interface {
	// Append appends records and returns the offset after them.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Read returns the records from an offset on. If there is none yet, it waits for
	// one, up to the given time.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key; Batch.Next is the offset from
	// which to read on.
	Newest(ctx context.Context, topic Topic) (Batch, error)
}

// Start is a request to a worker to start a run.
type Start struct {
	Task   TaskID
	Run    int
	Worker string
	Addr   string
	Spec   string
	// LeaseEnd is when the run's lease ends, on the worker's clock.
	LeaseEnd time.Duration
	// Token is the owner's fencing token, as in the other requests.
	Token      int64
	Checkpoint string
	Ticket     string
}

// Stop is a request to a worker to stop a run.
type Stop struct {
	Task   string
	Run    int
	Worker string
	Addr   string
	Token  int64
}

// Pace is a request to a worker to throttle a run to a percentage of its speed.
type Pace struct {
	Task   string
	Run    int
	Worker string
	Addr   string
	Token  int64
	// Percent is 0 to 100; 100 is full speed.
	Percent int
}

// Renewal is a request to a worker to renew the lease of all its runs and to list
// them.
type Renewal struct {
	Worker string
	Addr   string
	Token  int64
	// LeaseEnd is the new end of the lease, on the worker's clock; 0 leaves it as it is.
	LeaseEnd time.Duration
	// Cursor is the number of the last finished run that the worker need no longer
	// list.
	Cursor int64
	// Wait is how long the worker may wait for a run to finish before it answers.
	Wait time.Duration
}

// ErrPermitExpired means that a request was not sent because the permission to send
// it ran out before it could be written to the connection.
var ErrPermitExpired = errors.New("the permission to send the request has expired")

// Permit reports whether a request may still be sent: nil, or ErrPermitExpired. A
// client calls it right before it writes the request to the connection, so that a
// process that was paused or waited for a connection does not act on a permission
// that has run out meanwhile.
type Permit func() error

// permitKey is the key of the Permit in a context.
type permitKey struct{}

// WithPermit returns a context for a request that needs a permit.
func WithPermit(ctx context.Context, p Permit) context.Context {
	return context.WithValue(ctx, permitKey{}, p)
}

// CheckPermit calls the permit of a request's context. It returns nil if the request
// needs none.
func CheckPermit(ctx context.Context) error {
	if p, ok := ctx.Value(permitKey{}).(Permit); ok {
		return p()
	}
	return nil
}

// WorkerClient sends requests to workers. A request whose context has a Permit is
// only sent while that permits it; the error then wraps ErrPermitExpired. After an error, other than a refusal, the
// request may have been carried out or may still be.
type WorkerClient interface {
	Start(ctx context.Context, s Start) (clock time.Duration, refused Refusal, err error)
	Stop(ctx context.Context, s Stop) (refused Refusal, err error)
	Renew(ctx context.Context, r Renewal) (inv Inventory, refused Refusal, err error)
	Pace(ctx context.Context, p Pace) (refused Refusal, err error)
}

// ErrAdviceBusy means that the advice service refused a query because too many are
// waiting there.
var ErrAdviceBusy = errors.New("the advice service has too many waiting questions")

// Advisor calls the advice service, which decides which of the given workers may run
// a step.
type Advisor interface {
	Ask(ctx context.Context, step string, workers []string) (AdviceAnswer, error)
}

// AdviceAnswer is an answer of the advice service about one step.
type AdviceAnswer struct {
	// Eligible has a ticket for each queried worker that may run the step.
	Eligible []Ticket
	// Validity is how long the tickets may be used after the answer; 0 if the answer
	// does not contain it.
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

// Unwrap returns Cause, for errors.Is and errors.As.
func (e *NotExecutedError) Unwrap() error { return e.Cause }
