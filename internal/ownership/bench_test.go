package ownership

import (
	"fmt"
	"testing"
	"time"

	"gypsumwinch/internal/records"
)

// newMajorityOwner returns an owner of a data centre with the given workers.
// It relies on its majority once the workers have granted leases and reported
// their inventories.
func newMajorityOwner(workers int) (*Machine, time.Duration) {
	m := New(Options{VM: "e1", Instance: "i1", DataCentre: "krk-a", Addr: "127.0.0.1:1"})
	var roster []string
	for i := range workers {
		roster = append(roster, fmt.Sprintf("krk-a-w%04d", i))
	}
	m.Apply(0, RosterChanged{Workers: roster})
	m.Apply(0, LogRecord{Record: records.Record{Claim: &records.Claim{DataCentre: "krk-a", Instance: "i1", Base: -1}}})
	m.Apply(1, LogRead{SentAt: 1, AtEnd: true, NextOffset: 1})
	return m, 1
}

// BenchmarkOwnerSecond measures one second of an owner: five ticks, two
// reads, and the responses of all workers that it sends requests to. It
// reports requests per second.
func BenchmarkOwnerSecond(b *testing.B) {
	for _, workers := range []int{50, 400, 1300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m, now := newMajorityOwner(workers)
			requests := 0
			runSecond := func() {
				for i := range 5 {
					now += 200 * time.Millisecond
					if i%2 == 0 {
						m.Apply(now, LogRead{SentAt: now - time.Millisecond, AtEnd: true, NextOffset: 1})
					}
					for _, a := range m.Apply(now, Tick{}) {
						requests += respond(m, now, a)
					}
				}
			}
			for range 10 {
				runSecond()
			}
			if !m.reliesOnMajority {
				b.Fatal("the owner does not rely on its majority")
			}
			requests = 0
			b.ReportAllocs()
			for b.Loop() {
				runSecond()
			}
			b.ReportMetric(float64(requests)/float64(b.N), "requests/s")
		})
	}
}

// respond delivers the response to a worker request at once. It returns the
// number of requests.
func respond(m *Machine, now time.Duration, a Action) int {
	switch a := a.(type) {
	case AcquireLease:
		m.Apply(now, LeaseResult{Worker: a.Worker, Granted: true, RequestTerm: a.Term, HeldBy: "i1", Term: a.Term, SentAt: now})
		return 1
	case RenewLease:
		m.Apply(now, LeaseResult{Worker: a.Worker, Granted: true, RequestTerm: a.Term, HeldBy: "i1", Term: a.Term, SentAt: now})
		return 1
	case AskInventory:
		m.Apply(now, WorkerInventory{Worker: a.Worker, SentAt: now})
		return 1
	}
	return 0
}

// BenchmarkAuthority measures the authority check that precedes each message.
func BenchmarkAuthority(b *testing.B) {
	m, now := newMajorityOwner(1300)
	for b.Loop() {
		m.Authority(now)
	}
}
