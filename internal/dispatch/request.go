package dispatch

import (
	"container/heap"
	"time"
)

// request is a caller's request from Enqueue until its final answer.
type request struct {
	Enqueue
	class *class
	// seq is the arrival number. Requests of a class are sent in its order.
	seq uint64
	// queue is the heap in which the request waits, nil while it runs or its
	// start record is on the way to the log.
	queue      *requestHeap
	queueIndex int

	isRunning  bool
	attempt    int
	server     *server
	sentAt     time.Duration
	isAborting bool
	// wasRestarted is set once an attempt was aborted as a straggler.
	wasRestarted   bool
	failedAttempts int
	// mayHaveRun is set once an attempt that may have run has ended. From then
	// on the request is never reported as not run.
	mayHaveRun   bool
	isCancelled  bool
	cancelReason string
	// isLoggedAhead is set between LogStart and the next send or final answer,
	// isStartLogged by StartLogged.
	isLoggedAhead bool
	isStartLogged bool
}

// requestHeap orders requests by arrival.
type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex, h[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.queueIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

func (h *requestHeap) add(r *request) {
	r.queue = h
	heap.Push(h, r)
}

func (h *requestHeap) first() *request {
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

// dequeue removes r from the heap it waits in, if any.
func (r *request) dequeue() {
	if r.queue == nil {
		return
	}
	heap.Remove(r.queue, r.queueIndex)
	r.queue = nil
}
