// Package workerclient is the HTTP client of the workers and defines the JSON
// messages that they exchange with it. It acquires leases, starts, stops,
// checkpoints and throttles tasks, and receives reports. It does not decide when
// to do so, adds no retries and has no server side. Read Client first, then
// Report.
package workerclient

import "gypsumwinch/internal/structs"

// LeaseRequest is the body of PUT /lease.
type LeaseRequest struct {
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
	TTLMS  int64  `json:"ttl_ms"`
	// TaskTTLMS is how long running tasks continue after this renewal. It is at
	// least TTLMS, so that tasks survive a change of the holder.
	TaskTTLMS int64 `json:"task_ttl_ms"`
	// Ack acknowledges the finished attempts that the holder has processed.
	Ack Ack `json:"ack"`
}

// Ack acknowledges finished attempts of one incarnation of a worker up to and
// including Seq. The worker reports the others again. It ignores an Ack of another
// incarnation.
type Ack struct {
	Incarnation string `json:"incarnation"`
	Seq         int64  `json:"seq"`
}

// Refusal is the reason for which a worker refused a lease or an operation. It is
// empty if the worker refused nothing.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedHeld means that another holder has an unexpired lease.
	RefusedHeld Refusal = "held"
	// RefusedTerm means that the worker has seen a higher term than that of the
	// request.
	RefusedTerm Refusal = "lower term"
	// RefusedNoLease means that the caller does not hold the worker's lease for
	// the term in its request.
	RefusedNoLease Refusal = "no lease"
)

// LeaseAnswer is the answer to PUT /lease. Report is set if the lease was granted.
type LeaseAnswer struct {
	Granted bool    `json:"granted"`
	Refusal Refusal `json:"refusal,omitempty"`
	// Holder and Term describe the lease in force.
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
	// RemainingMS is the time until the lease in force expires.
	RemainingMS int64  `json:"remaining_ms"`
	Report      Report `json:"report"`
}

// Report is the state of a worker and its tasks. It comes with every granted lease
// and with the inventory.
type Report struct {
	Worker string `json:"worker"`
	// Incarnation is an id that changes when the worker restarts.
	Incarnation string `json:"incarnation"`
	// Finished lists the ended attempts that are not acknowledged, in ascending
	// order of Seq.
	Finished []FinishedAttempt `json:"finished,omitempty"`
	// Usage lists the running attempts with the resources they use. It may be out
	// of date.
	Usage []Usage `json:"usage,omitempty"`
	// Free is the free capacity according to the worker. It can be wrong.
	Free structs.Resources `json:"free"`
}

// Ack returns the acknowledgement of all finished attempts of r, to be sent with
// the next lease request.
func (r *Report) Ack() Ack {
	ack := Ack{Incarnation: r.Incarnation}
	if n := len(r.Finished); n > 0 {
		ack.Seq = r.Finished[n-1].Seq
	}
	return ack
}

// Result is the way in which an attempt ended on a worker.
type Result string

// Results of an attempt.
const (
	ResultSucceeded Result = "succeeded"
	ResultFailed    Result = "failed"
	ResultStopped   Result = "stopped"
	// ResultLapsed means that the worker stopped the attempt because no lease
	// renewal arrived within TaskTTLMS.
	ResultLapsed Result = "lapsed"
)

// FinishedAttempt is an attempt that ended on a worker.
type FinishedAttempt struct {
	// Seq numbers the finished attempts of one incarnation, see Ack.
	Seq     int64           `json:"seq"`
	Attempt structs.Attempt `json:"attempt"`
	Result  Result          `json:"result"`
	// RanMS is the run time of the attempt.
	RanMS int64 `json:"ran_ms"`
}

// Usage is the use of resources by a running attempt.
type Usage struct {
	Attempt structs.Attempt   `json:"attempt"`
	Used    structs.Resources `json:"used"`
}

// RunningAttempt is an attempt that runs on a worker, with the resources it was
// started with.
type RunningAttempt struct {
	Attempt   structs.Attempt   `json:"attempt"`
	Resources structs.Resources `json:"resources"`
	Service   bool              `json:"service"`
	// RanMS is the time since the start of the attempt.
	RanMS int64 `json:"ran_ms"`
}

// Inventory is the answer to GET /tasks: all that a worker runs.
type Inventory struct {
	// Holder, Term and RemainingMS describe the lease in force, if any.
	Holder      string            `json:"holder"`
	Term        int64             `json:"term"`
	RemainingMS int64             `json:"remaining_ms"`
	Capacity    structs.Resources `json:"capacity"`
	Running     []RunningAttempt  `json:"running"`
	Report      Report            `json:"report"`
}

// Authority identifies the holder of a lease. It is sent with each operation on
// tasks, since a worker refuses operations from anyone but the holder of its
// lease.
type Authority struct {
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
}

// Start is the request to start one attempt.
type Start struct {
	Attempt   structs.Attempt   `json:"attempt"`
	Resources structs.Resources `json:"resources"`
	Service   bool              `json:"service"`
	Payload   []byte            `json:"payload,omitempty"`
	// Checkpoint is the state to resume from, saved by an earlier attempt. The
	// task starts from the beginning if it is empty.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// StartRequest is the body of POST /tasks.
type StartRequest struct {
	Authority
	Tasks []Start `json:"tasks"`
}

// StartResult is the result of the start of one attempt.
type StartResult struct {
	Attempt structs.Attempt `json:"attempt"`
	// Started is true if the attempt is running or has run, even if an earlier
	// request started it.
	Started bool `json:"started"`
	// Reason is the reason for which the attempt was not started, as free text.
	Reason string `json:"reason,omitempty"`
}

// StartAnswer is the answer to POST /tasks. If Refusal is set, the worker refused
// the whole batch.
type StartAnswer struct {
	Refusal Refusal       `json:"refusal,omitempty"`
	Tasks   []StartResult `json:"tasks"`
}

// StopRequest is the body of POST /tasks/stop and POST /tasks/checkpoint.
type StopRequest struct {
	Authority
	Attempts []structs.Attempt `json:"attempts"`
}

// StopAnswer is the answer to POST /tasks/stop. It lists the attempts that are no
// longer running. A start request for one of them that arrives later has no
// effect.
type StopAnswer struct {
	Refusal Refusal           `json:"refusal,omitempty"`
	Stopped []structs.Attempt `json:"stopped"`
}

// Checkpoint is the saved state of a running attempt.
type Checkpoint struct {
	Attempt structs.Attempt `json:"attempt"`
	Data    []byte          `json:"data"`
}

// CheckpointAnswer is the answer to POST /tasks/checkpoint. It omits attempts that
// are not running.
type CheckpointAnswer struct {
	Refusal     Refusal      `json:"refusal,omitempty"`
	Checkpoints []Checkpoint `json:"checkpoints"`
}

// Throttle limits the CPU of a running attempt.
type Throttle struct {
	Attempt structs.Attempt `json:"attempt"`
	// MilliCPU is the limit in thousandths of a core. Zero removes the limit.
	MilliCPU int64 `json:"milli_cpu"`
}

// ThrottleRequest is the body of POST /tasks/throttle.
type ThrottleRequest struct {
	Authority
	Throttles []Throttle `json:"throttles"`
}

// ThrottleAnswer is the answer to POST /tasks/throttle. It lists the attempts that
// run with their new limit.
type ThrottleAnswer struct {
	Refusal   Refusal           `json:"refusal,omitempty"`
	Throttled []structs.Attempt `json:"throttled"`
}
