package requests

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// localDelay and remoteDelay are the one-way delays to a server of the same
	// and of another data centre; up to delayJitter is added at random.
	localDelay  = 200 * time.Microsecond
	remoteDelay = 1200 * time.Microsecond
	delayJitter = 100 * time.Microsecond
)

// timer is a function to run at a virtual time; seq orders timers of equal time.
type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// cluster holds the virtual clock, the fake servers and the entry VMs that all
// policies share. It is not safe for concurrent use.
type cluster struct {
	trace   Trace
	now     time.Duration
	timers  timers
	seq     uint64
	random  *rand.Rand
	servers []*server
	vms     []vm
	// unanswered counts requests without a final answer.
	unanswered int
	// unsent counts requests for which a baseline has not chosen a server.
	unsent  int
	results *results
	err     error
}

type vm struct {
	name, centre string
}

// server is a fake backend server: slots and, for baselines, a queue.
type server struct {
	name, centre string
	running      int
	queue        []*run
}

// run is one attempt of a request on a server.
type run struct {
	request    int
	vm         int
	attempt    int
	hasStarted bool
	hasEnded   bool
	// onEnd is called when the run ends at the server; ok is false if it was
	// aborted.
	onEnd func(ok bool)
}

// newCluster returns the cluster for one replay of the trace. Equal seeds give
// equal random choices.
func newCluster(trace Trace, seed uint64) *cluster {
	c := &cluster{
		trace:      trace,
		random:     rand.New(rand.NewPCG(seed, 2)),
		unanswered: len(trace.Requests),
		unsent:     len(trace.Requests),
		results:    newResults(trace),
	}
	for _, dc := range trace.Centres {
		for i := range dc.Servers {
			c.servers = append(c.servers, &server{name: fmt.Sprintf("%s-s%d", dc.Name, i), centre: dc.Name})
		}
		for i := range dc.VMs {
			c.vms = append(c.vms, vm{name: fmt.Sprintf("%s-e%d", dc.Name, i), centre: dc.Name})
		}
	}
	return c
}

// after schedules f at d from the present virtual time.
func (c *cluster) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.timers, timer{at: c.now + d, seq: c.seq, run: f})
}

// every calls f after first and then at the given interval until the count is
// zero.
func (c *cluster) every(first, interval time.Duration, count *int, f func()) {
	c.after(first, func() {
		if *count == 0 {
			return
		}
		f()
		c.every(interval, interval, count, f)
	})
}

// replay processes all events of the trace in order of virtual time and calls
// arrive when a request arrives. It returns the first error of a fake, or an error
// if requests are left without an answer.
func (c *cluster) replay(arrive func(request int)) error {
	for i, r := range c.trace.Requests {
		c.after(r.At, func() { arrive(i) })
	}
	for len(c.timers) > 0 && c.err == nil {
		next := heap.Pop(&c.timers).(timer)
		c.now = next.at
		next.run()
	}
	if c.err == nil && c.unanswered > 0 {
		c.err = eris.Errorf("%d requests have no answer", c.unanswered)
	}
	c.results.duration = c.now
	return c.err
}

// delay returns a random one-way network delay between a VM and a server.
func (c *cluster) delay(vm int, s *server) time.Duration {
	d := remoteDelay
	if c.vms[vm].centre == s.centre {
		d = localDelay
	}
	return d + time.Duration(c.random.Int64N(int64(delayJitter)))
}

// enqueue appends a run to the server's queue and starts runs in free slots.
// Baselines call it when a request reaches the server.
func (c *cluster) enqueue(s *server, r *run) {
	s.queue = append(s.queue, r)
	c.startNext(s)
}

// startNext starts queued runs while the server has free slots.
func (c *cluster) startNext(s *server) {
	for s.running < slotsPerServer && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		c.startRun(s, r)
	}
}

// startRun starts a run on the server and schedules its end. A server without a
// free slot fails the replay.
func (c *cluster) startRun(s *server, r *run) {
	if s.running >= slotsPerServer {
		c.err = eris.Errorf("%s has more than %d runs", s.name, slotsPerServer)
		return
	}
	s.running++
	r.hasStarted = true
	c.err = c.results.recordStart(c.now, r)
	request := c.trace.Requests[r.request]
	length := request.Run
	if r.attempt > 1 {
		length = request.Rerun
	}
	c.after(length, func() { c.endRun(s, r, true) })
}

// endRun frees the slot and starts the next queued run. ok is false if the run was
// aborted. A run that has already ended is ignored.
func (c *cluster) endRun(s *server, r *run, ok bool) {
	if r.hasEnded {
		return
	}
	r.hasEnded = true
	s.running--
	r.onEnd(ok)
	c.startNext(s)
}
