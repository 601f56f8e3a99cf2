package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/standin/cellstore"
)

// lateWorkers answer renewals after a delay, as workers do whose answers wait for the
// owner's processor, and report the deadlines of start requests.
type lateWorkers struct {
	cell.WorkerClient
	delay     time.Duration
	deadlines chan time.Time
}

func (w lateWorkers) Renew(ctx context.Context, _ cell.Renewal) (cell.Inventory, cell.Refusal, error) {
	sleep(ctx, w.delay)
	return cell.Inventory{}, cell.RefusedNone, ctx.Err()
}

func (w lateWorkers) Start(ctx context.Context, _ cell.Start) (time.Duration, cell.Refusal, error) {
	deadline, _ := ctx.Deadline()
	w.deadlines <- deadline
	return 0, cell.RefusedNone, nil
}

// TestStartIsNotGivenUpWhileAnswersAreLate guards against starts that are given up and
// repeated without end, each on a new connection, while the owner reads all answers late.
func TestStartIsNotGivenUpWhileAnswersAreLate(t *testing.T) {
	is := is.New(t)
	workers := lateWorkers{delay: 180 * time.Millisecond, deadlines: make(chan time.Time, 1)}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: &cellstore.Store{}, Workers: workers}, io.Discard)
	n.heartbeatAt.Store(int64(bootTime()))
	c := newControlLoop(n, 1)
	for range 100 {
		go c.sendRenewal(t.Context(), cell.Renewal{}, time.Minute)
	}
	for range 100 {
		is.NoErr((<-c.events).(owner.RenewResult).Err)
	}
	sentAt := time.Now()
	c.perform(t.Context(), []owner.Action{owner.SendStart{}})
	is.True((<-workers.deadlines).Sub(sentAt) > 2*workers.delay)
}

// TestAllowanceIsThatOfTheDelayOnly guards against timeouts that grow with the time for
// which workers delay their answers, and without bound after a pause of the VM.
func TestAllowanceIsThatOfTheDelayOnly(t *testing.T) {
	is := is.New(t)
	var d answerDelay
	for range 1000 {
		d.observe(1500*time.Millisecond, 1535*time.Millisecond) // 2 % slow clock
		d.observe(1500*time.Millisecond, 20*time.Millisecond)
	}
	is.True(d.allowance() < 20*time.Millisecond)
	for range 1000 {
		d.observe(0, time.Minute)
	}
	is.Equal(d.allowance(), maxAnswerAllowance)
	for range 200 {
		d.observe(0, 4*time.Millisecond)
	}
	is.True(d.allowance() < 30*time.Millisecond)
	for range 200 {
		d.observe(0, 100*time.Millisecond)
	}
	for range 200 {
		d.observe(1500*time.Millisecond, 1504*time.Millisecond) // exact clock
	}
	is.True(d.allowance() < 10*time.Millisecond)
}
