package requests

import (
	"time"
)

// chooser is a baseline policy that selects the server of a request. choose calls
// then exactly once with the server, at once or after the answers to probes.
type chooser interface {
	choose(vm int, then func(s *server))
}

// runBaseline replays the trace with a baseline policy: entry VMs send each
// request as soon as a server is selected, and servers queue first come, first
// served.
func runBaseline(c *cluster, ch chooser) error {
	return c.replay(func(i int) {
		q := c.trace.Requests[i]
		ch.choose(q.VM, func(s *server) {
			c.results.sends++
			c.unsent--
			r := &run{request: i, vm: q.VM, attempt: 1}
			r.onEnd = func(bool) {
				c.results.recordEnd(i)
				c.results.classOfRequest(i).completed++
				c.unanswered--
			}
			c.after(c.delay(q.VM, s), func() { c.enqueue(s, r) })
		})
	})
}

// timeDecision calls f and records the real time that this decision took.
func (c *cluster) timeDecision(f func() *server) *server {
	start := time.Now()
	s := f()
	c.results.recordDecision(time.Since(start))
	return s
}

func (c *cluster) randomServer() *server {
	return c.servers[c.random.IntN(len(c.servers))]
}

func (s *server) load() int { return s.running + len(s.queue) }

// randomChoice selects servers uniformly at random.
type randomChoice struct{ c *cluster }

func (ch randomChoice) choose(_ int, then func(*server)) {
	then(ch.c.timeDecision(ch.c.randomServer))
}

// roundRobin holds the index of the last selected server of each VM.
type roundRobin struct {
	c    *cluster
	next []int
}

// newRoundRobin returns a round-robin policy in which each VM starts at a random
// server.
func newRoundRobin(c *cluster) *roundRobin {
	ch := &roundRobin{c: c}
	for range c.vms {
		ch.next = append(ch.next, c.random.IntN(len(c.servers)))
	}
	return ch
}

// choose selects the VM's next server in order.
func (ch *roundRobin) choose(vm int, then func(*server)) {
	then(ch.c.timeDecision(func() *server {
		ch.next[vm] = (ch.next[vm] + 1) % len(ch.c.servers)
		return ch.c.servers[ch.next[vm]]
	}))
}

// twoChoices probes two random servers, with previousBest also the least loaded
// one of the previous probes, and selects the least loaded.
type twoChoices struct {
	c            *cluster
	previousBest []*server // by VM; nil if it is not probed
}

// newTwoChoices returns the policy. If memory is set, it probes the previous best
// server too, which is random at the start.
func newTwoChoices(c *cluster, memory bool) *twoChoices {
	ch := &twoChoices{c: c}
	if memory {
		for range c.vms {
			ch.previousBest = append(ch.previousBest, c.randomServer())
		}
	}
	return ch
}

// choose sends the probes and calls then when all of them are answered.
func (ch *twoChoices) choose(vm int, then func(*server)) {
	c := ch.c
	probed := []*server{c.randomServer(), c.randomServer()}
	if ch.previousBest != nil {
		probed = append(probed, ch.previousBest[vm])
	}
	loads := make([]int, len(probed))
	pending := len(probed)
	for i, s := range probed {
		c.after(c.delay(vm, s), func() {
			loads[i] = s.load()
			c.after(c.delay(vm, s), func() {
				pending--
				if pending > 0 {
					return
				}
				then(c.timeDecision(func() *server { return ch.leastLoaded(vm, probed, loads) }))
			})
		})
	}
}

// leastLoaded returns the first probed server with the least load and stores it
// for the VM's next probes.
func (ch *twoChoices) leastLoaded(vm int, probed []*server, loads []int) *server {
	best := 0
	for i := range probed {
		if loads[i] < loads[best] {
			best = i
		}
	}
	if ch.previousBest != nil {
		ch.previousBest[vm] = probed[best]
	}
	return probed[best]
}

// leastKnown selects the server with the least load known to the VM: the load of
// the last report plus the requests that the VM has sent there since. Ties are
// broken at random.
type leastKnown struct {
	c          *cluster
	knownLoads [][]int
}

// newLeastKnown returns the policy; each server reports its load to all VMs at the
// given interval, starting at a random time within the first one.
func newLeastKnown(c *cluster, interval time.Duration) *leastKnown {
	ch := &leastKnown{c: c}
	for range c.vms {
		ch.knownLoads = append(ch.knownLoads, make([]int, len(c.servers)))
	}
	for i, s := range c.servers {
		first := time.Duration(c.random.Int64N(int64(interval)))
		c.every(first, interval, &c.unsent, func() { ch.reportLoad(i, s) })
	}
	return ch
}

// reportLoad sends the present load of server i to all VMs, which receive it after
// the network delay.
func (ch *leastKnown) reportLoad(i int, s *server) {
	load := s.load()
	for vm := range ch.knownLoads {
		ch.c.after(ch.c.delay(vm, s), func() { ch.knownLoads[vm][i] = load })
	}
}

// choose selects the server and counts the request into the VM's known load.
func (ch *leastKnown) choose(vm int, then func(*server)) {
	then(ch.c.timeDecision(func() *server {
		known := ch.knownLoads[vm]
		best, ties := 0, 0
		for i, load := range known {
			switch {
			case load < known[best] || ties == 0:
				best, ties = i, 1
			case load == known[best]:
				ties++
				if ch.c.random.IntN(ties) == 0 {
					best = i
				}
			}
		}
		known[best]++
		return ch.c.servers[best]
	}))
}
